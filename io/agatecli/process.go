package agatecli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/internal/agatebuild"
	"agategate/io/agatelog"
	"agategate/io/agatesettings"
)

func (a *app) entry() *ffcli.Command {
	fs := a.flags("entry")
	file := fs.String("settings", "", "file with the settings")
	flags := agatesettings.Register[agatesettings.Entry](fs)
	return a.command("entry", "", "run an entry process",
		"agategate entry --settings samples/quetzal/entry-1.toml", fs,
		func(ctx context.Context, args []string) error {
			return runProcess(ctx, a, args, *file, flags, a.cfg.Entry, a.cfg.ReloadEntry)
		})
}

func (a *app) control() *ffcli.Command {
	fs := a.flags("control")
	file := fs.String("settings", "", "file with the settings")
	flags := agatesettings.Register[agatesettings.Control](fs)
	return a.command("control", "", "run a control replica",
		"agategate control --settings samples/quetzal/control-1.toml", fs,
		func(ctx context.Context, args []string) error {
			return runProcess(ctx, a, args, *file, flags, a.cfg.Control, a.cfg.ReloadControl)
		})
}

// runProcess loads the settings and calls run with them. Until run returns, it
// reloads them on request.
func runProcess[T agatesettings.Settings](ctx context.Context, a *app, args []string, file string, flags *agatesettings.Flags,
	run func(context.Context, T) error, reload func(T),
) error {
	if err := noArgs(args); err != nil {
		return err
	}
	if run == nil {
		return errors.New("agatecli: process not available in this program")
	}
	src := agatesettings.Source{File: file, Environ: a.cfg.Environ, Flags: flags.Values()}
	s, problems := agatesettings.Load[T](src)
	if len(problems) > 0 {
		return a.reportProblems(problems)
	}
	log, insecure := a.logger(s)
	if insecure {
		log.Warn("connections are not encrypted", "insecure", true)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watchReload(ctx, a, log, src, s, reload)
	return run(ctx, s)
}

func noArgs(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}

// logger returns a logger for messages about the settings of a process, and
// whether they disable TLS.
func (a *app) logger(settings any) (log hclog.Logger, insecure bool) {
	cfg := agatelog.Config{Output: a.cfg.Stderr}
	switch s := settings.(type) {
	case agatesettings.Entry:
		cfg.Name, cfg.Level, cfg.JSON, insecure = s.Name, s.Log.Level, s.Log.Format == "json", s.TLS.Insecure
	case agatesettings.Control:
		cfg.Name, cfg.Level, cfg.JSON, insecure = s.Name, s.Log.Level, s.Log.Format == "json", s.TLS.Insecure
	}
	return agatelog.New(cfg).Logger(), insecure
}

// watchReload reloads the settings on each value of Config.Reload until ctx ends.
// If the new settings have problems, the current ones stay active.
func watchReload[T agatesettings.Settings](ctx context.Context, a *app, log hclog.Logger, src agatesettings.Source, s T, reload func(T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.cfg.Reload:
		}
		updated, problems := agatesettings.Load[T](src)
		if len(problems) > 0 {
			log.Warn("settings not reloaded", "problems", problems.Error())
			continue
		}
		applied, restart := agatesettings.ChangedKeys(s, updated)
		log.Info("settings read again", "applied", strings.Join(applied, " "), "restart", strings.Join(restart, " "))
		s = agatesettings.Merge(s, updated)
		if reload != nil {
			reload(s)
		}
	}
}

// reportProblems prints the problems, one per line, and returns errReported.
func (a *app) reportProblems(problems agatesettings.Problems) error {
	for _, p := range problems {
		fmt.Fprintln(a.cfg.Stderr, p)
	}
	return errReported
}

func (a *app) demo() *ffcli.Command {
	return a.command("demo", "[arguments]", "run control and entry roles with test upstreams in one process",
		"agategate demo", a.flags("demo"),
		func(ctx context.Context, args []string) error {
			if a.cfg.Demo == nil {
				return errors.New("agatecli: demo not available in this program")
			}
			return a.cfg.Demo(ctx, a.cfg.Stdout, args)
		})
}

func (a *app) version() *ffcli.Command {
	fs := a.flags("version")
	asJSON := jsonFlag(fs)
	return a.command("version", "", "print the version", "agategate version --json", fs,
		func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			v := versionOf(a.cfg.Version)
			if *asJSON {
				return a.json(v)
			}
			a.printf("agategate %s (%s)\n", v.Version, v.Go)
			return nil
		})
}

type versionOutput struct {
	Version string `json:"version"`
	Commit  string `json:"commit"`
	Go      string `json:"go"`
}

func versionOf(version string) versionOutput {
	b := agatebuild.Read()
	return versionOutput{Version: cmp.Or(version, b.Version), Commit: b.Commit, Go: b.Go}
}

func jsonFlag(fs *flag.FlagSet) *bool { return fs.Bool("json", false, "print JSON for tools") }

func (a *app) json(v any) error {
	enc := json.NewEncoder(a.cfg.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
