package agatecli

import (
	"context"
	"flag"
	"slices"

	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/core/agateinventory"
	"agategate/io/agateops"
)

var drainKinds = []string{"upstream", "host", "domain", "region"}

func (a *app) drain() *ffcli.Command {
	fs := a.flags("drain")
	share := fs.Float64("share", 1, "share of new requests to keep away, above 0 and at most 1")
	c := a.drainCommand("drain", "keep new requests away from an upstream, host, failure domain or region",
		"agategate drain --control 127.0.2.1:9001 --share 0.5 region centro", fs,
		func(ctx context.Context, client *agateops.Client, r agateops.DrainRequest) (agateops.AcceptedChange, error) {
			r.Share = *share
			return client.Drain(ctx, r)
		})
	run := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		if !(*share > 0 && *share <= 1) {
			return usagef("--share must be above 0 and at most 1")
		}
		return run(ctx, args)
	}
	return c
}

func (a *app) undrain() *ffcli.Command {
	return a.drainCommand("undrain", "end a drain",
		"agategate undrain --control 127.0.2.1:9001 region centro", a.flags("undrain"),
		func(ctx context.Context, client *agateops.Client, r agateops.DrainRequest) (agateops.AcceptedChange, error) {
			return client.Undrain(ctx, r)
		})
}

type drainFunc func(ctx context.Context, client *agateops.Client, r agateops.DrainRequest) (agateops.AcceptedChange, error)

func (a *app) drainCommand(name, short, example string, fs *flag.FlagSet, call drainFunc) *ffcli.Command {
	r := a.controlFlags(fs)
	change := fs.String("change", "", "id of the change, to send a change again after an unknown result")
	wait := fs.Bool("wait", false, "wait until the revision is in force on all entry hosts")
	asJSON := jsonFlag(fs)
	check := func(args []string) error {
		if len(args) != 2 || !slices.Contains(drainKinds, args[0]) {
			return usagef("%s needs a kind (upstream, host, domain or region) and a name", name)
		}
		return nil
	}
	return a.command(name, "KIND NAME", short, example, fs, r.exec(check, func(ctx context.Context, client *agateops.Client, args []string) error {
		req := agateops.DrainRequest{Kind: agateinventory.DrainKind(args[0]), Name: args[1], ChangeID: *change}
		if req.ChangeID == "" {
			req.ChangeID = newChangeID()
		}
		a.stderrf("change %s\n", req.ChangeID)
		rev, err := call(ctx, client, req)
		return a.printChange(ctx, client, rev, err, *wait, *asJSON)
	}))
}
