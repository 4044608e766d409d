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
}

func (a *app) check() *ffcli.Command {
	fs := a.flags("check")
	kind := fs.String("as", "", "kind of the files: "+strings.Join(checkKinds, ", ")+" (default: by their keys)")
	asJSON := jsonFlag(fs)
	return a.command("check", "FILE...", "check inventories, plans and settings without a running system",
		"agategate check samples/quetzal/inventory.toml samples/quetzal/entry-1.toml", fs,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("check needs at least one file")
			}
			if *kind != "" && !slices.Contains(checkKinds, *kind) {
				return usagef("--as must be one of %s, not %q", strings.Join(checkKinds, ", "), *kind)
			}
			return a.checkFiles(args, *kind, *asJSON)
		})
}

func (a *app) checkFiles(files []string, kind string, asJSON bool) error {
	var failed bool
	list := make([]checkOutput, 0, len(files))
	for _, file := range files {
		b, err := checkFile(file, kind)
		if err != nil {
			return err
		}
		failed = failed || len(b.Problems) > 0
		list = append(list, b)
		if !asJSON {
			a.printCheck(b)
		}
	}
	if asJSON {
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
	if len(b.Problems) == 0 {
		a.printf("%s: ok (%s)\n", b.File, b.Kind)
	}
}

func checkFile(file, kind string) (checkOutput, error) {
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
		_, problems = agateplan.Parse(file, data)
	default:
		_, problems = agateinventory.Parse(file, data)
	}
	b.Problems = append(b.Problems, problems...)
	return b, nil
}
