package agatecli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/core/agateinventory"
	"agategate/io/agateops"
)

// pollEvery is the time between two looks at the status. Hosts report the
// revision in force every 500 ms.
const pollEvery = 250 * time.Millisecond

type applyBody struct {
	agateops.Revision
	// Hosts lists the hosts in which the revision is in force. It is empty
	// without --wait.
	Hosts   []agateops.Host `json:"hosts"`
	Missing []string        `json:"missing"`
}

func (a *app) apply() *ffcli.Command {
	fs := a.flags("apply")
	r := a.remote(fs)
	change := fs.String("change", "", "id of the change, to send a change again after an unknown result")
	base := fs.Int64("base", -1, "revision that the file is based on (default: the newest)")
	wait := fs.Bool("wait", false, "wait until the revision is in force on all entry hosts")
	asJSON := jsonFlag(fs)
	return a.command("apply", "FILE", "put an inventory into force",
		"agategate apply --control 127.0.2.1:9001,127.0.2.2:9001 --wait samples/quetzal/inventory.toml", fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("apply needs one file")
			}
			doc, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("agatecli: %w", err)
			}
			if _, problems := agateinventory.Parse(args[0], doc); len(problems) > 0 {
				return a.refuse(problems)
			}
			client, ctx, cancel, err := r.open(ctx)
			if err != nil {
				return err
			}
			defer cancel()
			req, err := a.changeOf(ctx, client, *change, *base, doc)
			if err != nil {
				return err
			}
			rev, err := client.Apply(ctx, req)
			return a.finish(ctx, client, rev, err, *wait, *asJSON)
		})
}

// changeOf completes a change and prints its id before it is sent, so that an
// operator who loses the answer can send it again.
func (a *app) changeOf(ctx context.Context, client *agateops.Client, id string, base int64, doc []byte) (agateops.ChangeRequest, error) {
	if id == "" {
		id = newChange()
	}
	if base < 0 {
		current, err := client.Config(ctx)
		if err != nil {
			return agateops.ChangeRequest{}, err
		}
		base = int64(current.Revision)
	}
	a.warnf("change %s, based on revision %d\n", id, base)
	return agateops.ChangeRequest{Change: id, Base: uint64(base), Document: doc}, nil
}

// finish prints the result of a change and, if asked to, where it is in
// force.
func (a *app) finish(ctx context.Context, client *agateops.Client, rev agateops.Revision, err error, wait, asJSON bool) error {
	if err != nil {
		return err
	}
	if !asJSON {
		a.printf("%s\n", accepted(rev))
	}
	out := applyBody{Revision: rev, Hosts: []agateops.Host{}, Missing: []string{}}
	if wait {
		err = a.await(ctx, client, &out, asJSON)
	}
	if asJSON {
		if err := a.json(out); err != nil {
			return err
		}
	}
	return err
}

func accepted(rev agateops.Revision) string {
	if rev.Unchanged {
		return fmt.Sprintf("revision %d is already as asked for", rev.Revision)
	}
	return fmt.Sprintf("revision %d accepted", rev.Revision)
}

// await polls the status until all live entry hosts have a revision in force
// and prints each host once.
func (a *app) await(ctx context.Context, client *agateops.Client, out *applyBody, quiet bool) error {
	seen := make(map[string]bool)
	for {
		s, err := client.Status(ctx)
		if err != nil {
			return a.notEverywhere(out, err)
		}
		out.Missing = out.Missing[:0]
		for _, h := range s.Hosts {
			if h.Revision < out.Revision.Revision {
				out.Missing = append(out.Missing, h.Name)
				continue
			}
			if seen[h.Name] {
				continue
			}
			seen[h.Name] = true
			out.Hosts = append(out.Hosts, h)
			if !quiet {
				a.printf("%s: in force after %s\n", h.Name, h.Took.Round(time.Millisecond))
			}
		}
		if len(out.Missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return a.notEverywhere(out, ctx.Err())
		case <-time.After(pollEvery):
		}
	}
}

func (a *app) notEverywhere(out *applyBody, err error) error {
	text := fmt.Sprintf("revision %d is accepted but not known to be in force on %v: %v", out.Revision.Revision, out.Missing, err)
	return &agateops.CallError{Outcome: agateops.Unknown, Text: text}
}
