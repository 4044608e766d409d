package agatecli

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/core/agateplan"
	"agategate/io/agateops"
)

type planOutput struct {
	Version  uint64 `json:"version"`
	Document string `json:"document,omitempty"`
}

// plan prints the active routing plan or replaces it.
func (a *app) plan() *ffcli.Command {
	fs := a.flags("plan")
	r := a.controlFlags(fs)
	change := fs.String("change", "", "id of the change, to send a change again after an unknown result")
	base := fs.Int64("base", -1, "version that the file is based on (default: the newest)")
	asJSON := jsonFlag(fs)
	check := func(args []string) error {
		if len(args) > 1 {
			return usagef("plan takes at most one file")
		}
		return nil
	}
	return a.command("plan", "[FILE]", "print the routing plan in force, or put that of a file in force",
		"agategate plan --control 127.0.2.1:9001 samples/plan.toml", fs,
		r.exec(check, func(ctx context.Context, client *agateops.Client, args []string) error {
			if len(args) == 0 {
				return a.showPlan(ctx, client, *asJSON)
			}
			return a.applyPlan(ctx, client, args[0], *change, *base, *asJSON)
		}))
}

func (a *app) showPlan(ctx context.Context, client *agateops.Client, asJSON bool) error {
	version, doc, err := client.Plan(ctx)
	if err != nil {
		return err
	}
	if asJSON {
		return a.json(planOutput{Version: version, Document: string(doc)})
	}
	a.stderrf("version %d\n", version)
	a.printf("%s", doc)
	return nil
}

func (a *app) applyPlan(ctx context.Context, client *agateops.Client, file, change string, base int64, asJSON bool) error {
	doc, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("agatecli: %w", err)
	}
	if _, problems := agateplan.Parse(file, doc); len(problems) > 0 {
		return a.reportProblems(problems)
	}
	if change == "" {
		change = newChangeID()
	}
	req := agateops.PlanRequest{ChangeID: change, Base: uint64(max(0, base)), Document: doc}
	if base < 0 {
		if req.Base, _, err = client.Plan(ctx); err != nil {
			return err
		}
	}
	// The id is printed before the request is sent, so that an operator can
	// resend it if the reply is lost.
	a.stderrf("change %s, based on version %d\n", req.ChangeID, req.Base)
	version, err := client.ApplyPlan(ctx, req)
	if err != nil {
		return err
	}
	if asJSON {
		return a.json(planOutput{Version: version})
	}
	a.printf("version %d accepted\n", version)
	return nil
}
