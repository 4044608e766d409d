package agatecli

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/core/agateinventory"
	"agategate/core/agateplan"
	"agategate/io/agatesettings"
)

var checkKinds = []string{"inventory", "plan", "entry", "control"}

type checkOutput struct {
	File     string                  `json:"file"`
	Kind     string                  `json:"kind"`
	Problems agateinventory.Problems `json:"problems"`
	Warnings agateinventory.Problems `json:"warnings,omitempty"`
	// Changes tells what differs from the plan of --against, and Next is the lowest
	// version that would be accepted.
	Changes []string `json:"changes,omitempty"`
	Next    uint64   `json:"next,omitempty"`
}

// checkOptions are the flags of check.
type checkOptions struct {
	kind    string
	asJSON  bool
	strict  bool
	against string // file, or currentPlan
	control *controlFlags
}

// currentPlan is the value of --against that stands for the plan in force.
const currentPlan = "current"

func (a *app) check() *ffcli.Command {
	fs := a.flags("check")
	opts := checkOptions{control: a.controlFlags(fs)}
	fs.StringVar(&opts.kind, "as", "", "kind of the files: "+strings.Join(checkKinds, ", ")+" (default: by their keys)")
	fs.StringVar(&opts.against, "against", "", "plan to compare with: a file, or \"current\" for the one in force")
	fs.BoolVar(&opts.strict, "strict", false, "fail on warnings, too")
	asJSON := jsonFlag(fs)
	return a.command("check", "FILE...", "check inventories, plans and settings without a running system",
		"agategate check samples/quetzal/inventory.toml samples/quetzal/entry-1.toml", fs,
		func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("check needs at least one file")
			}
			if opts.kind != "" && !slices.Contains(checkKinds, opts.kind) {
				return usagef("--as must be one of %s, not %q", strings.Join(checkKinds, ", "), opts.kind)
			}
			opts.asJSON = *asJSON
			return a.checkFiles(ctx, args, &opts)
		})
}

func (a *app) checkFiles(ctx context.Context, files []string, opts *checkOptions) error {
	old, err := opts.oldPlan(ctx)
	if err != nil {
		return err
	}
	var failed bool
	list := make([]checkOutput, 0, len(files))
	for _, file := range files {
		b, err := checkFile(file, opts.kind, old)
		if err != nil {
			return err
		}
		failed = failed || len(b.Problems) > 0 || opts.strict && len(b.Warnings) > 0
		list = append(list, b)
		if !opts.asJSON {
			a.printCheck(b)
		}
	}
	if opts.asJSON {
		if err := a.json(list); err != nil {
			return err
		}
	}
	if failed {
		return errReported
	}
	return nil
}

func (a *app) printCheck(b checkOutput) {
	for _, p := range b.Problems {
		fmt.Fprintln(a.cfg.Stderr, p)
	}
	for _, w := range b.Warnings {
		fmt.Fprintln(a.cfg.Stderr, "warning:", w)
	}
	if len(b.Problems) == 0 {
		a.printf("%s: ok (%s)\n", b.File, b.Kind)
	}
	for _, change := range b.Changes {
		a.printf("  %s\n", change)
	}
	if b.Next > 0 {
		a.printf("  the next version is %d or higher\n", b.Next)
	}
}

// oldPlan returns the plan to compare with, or nil if there is none.
func (o *checkOptions) oldPlan(ctx context.Context) (*agateplan.Plan, error) {
	if o.against == "" {
		return nil, nil
	}
	name, data := o.against, []byte(nil)
	if o.against == currentPlan {
		client, ctx, cancel, err := o.control.newClient(ctx)
		if err != nil {
			return nil, err
		}
		defer cancel()
		if _, data, err = client.Plan(ctx); err != nil {
			return nil, err
		}
	} else {
		var err error
		if data, err = os.ReadFile(o.against); err != nil {
			return nil, fmt.Errorf("agatecli: %w", err)
		}
	}
	p, problems := agateplan.Parse(name, data)
	if len(problems) > 0 {
		return nil, fmt.Errorf("agatecli: the plan to compare with is not valid: %w", problems)
	}
	return p, nil
}

func checkFile(file, kind string, old *agateplan.Plan) (checkOutput, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return checkOutput{}, fmt.Errorf("agatecli: %w", err)
	}
	if kind == "" {
		kind = agatesettings.DetectKind(data)
	}
	b := checkOutput{File: file, Kind: kind, Problems: agateinventory.Problems{}}
	src := agatesettings.Source{File: file, Read: func(string) ([]byte, error) { return data, nil }}
	var problems agateinventory.Problems
	switch kind {
	case "entry":
		_, problems = agatesettings.Load[agatesettings.Entry](src)
	case "control":
		_, problems = agatesettings.Load[agatesettings.Control](src)
	case "plan":
		var p *agateplan.Plan
		p, b.Warnings, problems = agateplan.Lint(file, data)
		if p != nil && old != nil {
			b.Changes = agateplan.Diff(old, p)
			b.Next = old.Version + 1
		}
	default:
		_, problems = agateinventory.Parse(file, data)
	}
	b.Problems = append(b.Problems, problems...)
	return b, nil
}
