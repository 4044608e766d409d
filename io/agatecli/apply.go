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

// statusPollInterval is the interval of status polls. Hosts report their active
// revision every 500 ms.
const statusPollInterval = 250 * time.Millisecond

type changeOutput struct {
	agateops.AcceptedChange
	// Hosts lists the hosts on which the revision is active. It is empty
	// without --wait.
	Hosts []agateops.Host `json:"hosts"`
	// Pending lists the hosts on which the revision is not known to be active.
	Pending []string `json:"missing"`
}

func (a *app) apply() *ffcli.Command {
	fs := a.flags("apply")
	r := a.controlFlags(fs)
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
				return a.reportProblems(problems)
			}
			client, ctx, cancel, err := r.newClient(ctx)
			if err != nil {
				return err
			}
			defer cancel()
			req, err := a.prepareChange(ctx, client, *change, *base, doc)
			if err != nil {
				return err
			}
			rev, err := client.Apply(ctx, req)
			return a.printChange(ctx, client, rev, err, *wait, *asJSON)
		})
}

// prepareChange fills in a missing change id and base revision. It prints the id
// before the request is sent, so that an operator can resend it if the reply is
// lost.
func (a *app) prepareChange(ctx context.Context, client *agateops.Client, id string, base int64, doc []byte) (agateops.ChangeRequest, error) {
	if id == "" {
		id = newChangeID()
	}
	if base < 0 {
		current, err := client.Config(ctx)
		if err != nil {
			return agateops.ChangeRequest{}, err
		}
		base = int64(current.Revision)
	}
	a.stderrf("change %s, based on revision %d\n", id, base)
	return agateops.ChangeRequest{ChangeID: id, Base: uint64(base), Document: doc}, nil
}

// printChange prints the result of a change. If wait is set, it also waits until
// the revision is active on all entry hosts and prints them.
func (a *app) printChange(ctx context.Context, client *agateops.Client, rev agateops.AcceptedChange, err error, wait, asJSON bool) error {
	if err != nil {
		return err
	}
	if !asJSON {
		a.printf("%s\n", changeText(rev))
	}
	out := changeOutput{AcceptedChange: rev, Hosts: []agateops.Host{}, Pending: []string{}}
	if wait {
		err = a.waitActive(ctx, client, &out, asJSON)
	}
	if asJSON {
		if err := a.json(out); err != nil {
			return err
		}
	}
	return err
}

func changeText(rev agateops.AcceptedChange) string {
	if rev.Unchanged {
		return fmt.Sprintf("revision %d is already as asked for", rev.Revision)
	}
	return fmt.Sprintf("revision %d accepted", rev.Revision)
}

// waitActive polls the status until the revision is active on all entry hosts. It
// adds the hosts to out and, unless quiet, prints each of them once.
func (a *app) waitActive(ctx context.Context, client *agateops.Client, out *changeOutput, quiet bool) error {
	seen := make(map[string]bool)
	for {
		s, err := client.Status(ctx)
		if err != nil {
			return a.notActiveError(out, err)
		}
		out.Pending = out.Pending[:0]
		for _, h := range s.Hosts {
			if h.Revision < out.AcceptedChange.Revision {
				out.Pending = append(out.Pending, h.Name)
				continue
			}
			if seen[h.Name] {
				continue
			}
			seen[h.Name] = true
			out.Hosts = append(out.Hosts, h)
			if !quiet {
				a.printf("%s: in force after %s\n", h.Name, h.PropagationDelay.Round(time.Millisecond))
			}
		}
		if len(out.Pending) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return a.notActiveError(out, ctx.Err())
		case <-time.After(statusPollInterval):
		}
	}
}

func (a *app) notActiveError(out *changeOutput, err error) error {
	text := fmt.Sprintf("revision %d is accepted but not known to be in force on %v: %v", out.AcceptedChange.Revision, out.Pending, err)
	return &agateops.CallError{Outcome: agateops.Unknown, Message: text}
}
