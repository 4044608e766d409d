// Package agatecli implements the command line: commands that run processes and
// commands for operators.
//
// Exit codes are 0 for success, 1 for failure, 2 for wrong usage, 3 for a change
// that conflicts with another one or with the current state, and 4 if a call was
// not run, for example because no control host answered, or its result is unknown.
//
// # Usage
//
//	os.Exit(agatecli.Run(ctx, agatecli.Config{
//		Entry: runEntry, Control: runControl, Demo: runDemo,
//		Environ: os.Environ(), Stdout: os.Stdout, Stderr: os.Stderr,
//	}, os.Args[1:]))
package agatecli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/io/agateops"
	"agategate/io/agatesettings"
)

// Exit codes.
const (
	ExitOK           = 0
	ExitFailed       = 1
	ExitUsage        = 2
	ExitConflict     = 3 // conflict with another change or with the current state
	ExitNotConfirmed = 4 // not run, or the result is unknown
)

// Config holds the implementations of the commands and the environment of the
// process.
type Config struct {
	// Entry runs an entry process until its context ends.
	Entry func(ctx context.Context, s agatesettings.Entry) error
	// Control runs a control replica until its context ends.
	Control func(ctx context.Context, s agatesettings.Control) error
	// Demo runs the demo and writes its report to out.
	Demo func(ctx context.Context, out io.Writer, args []string) error
	// Reload makes a running process reload its settings for each value
	// received, such as a signal. If nil, settings are never reloaded.
	Reload <-chan os.Signal
	// ReloadEntry and ReloadControl are called with reloaded settings, in which
	// only keys that take effect without a restart differ.
	ReloadEntry   func(s agatesettings.Entry)
	ReloadControl func(s agatesettings.Control)
	// Version is printed by the version command. The default is the version in
	// the build information.
	Version string
	// Environ is the environment in the format of os.Environ.
	Environ []string
	// Stdout and Stderr default to those of the process.
	Stdout io.Writer
	Stderr io.Writer
}

// app is the state of one invocation.
type app struct {
	cfg Config
}

// usageError reports an invalid command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// errReported is the error of a failure whose details are already printed.
var errReported = errors.New("agatecli: failed")

// Run executes a command line, given without the program name, and returns the
// exit code.
func Run(ctx context.Context, cfg Config, args []string) int {
	if cfg.Stdout == nil {
		cfg.Stdout = os.Stdout
	}
	if cfg.Stderr == nil {
		cfg.Stderr = os.Stderr
	}
	a := &app{cfg: cfg}
	root := a.root()
	if len(args) > 0 && args[0] == "help" {
		args = append(args[1:len(args):len(args)], "-h")
	}
	args = flagsBeforeArgs(root, args)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return a.reportError(&usageError{err.Error()})
	}
	return a.reportError(root.Run(ctx))
}

// reportError prints an error and returns its exit code.
func (a *app) reportError(err error) int {
	var usage *usageError
	var call *agateops.CallError
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, errReported):
		return ExitFailed
	case errors.As(err, &usage):
		fmt.Fprintf(a.cfg.Stderr, "agategate: %s\nRun 'agategate help' for the commands.\n", usage.text)
		return ExitUsage
	case errors.As(err, &call):
		return a.reportCallError(call)
	}
	fmt.Fprintf(a.cfg.Stderr, "agategate: %v\n", err)
	return ExitFailed
}

func (a *app) reportCallError(e *agateops.CallError) int {
	w := a.cfg.Stderr
	switch e.Outcome {
	case agateops.Conflict:
		fmt.Fprintf(w, "agategate: refused: %s", e.Message)
		if e.ChangeID != "" {
			fmt.Fprintf(w, " (revision %d, change %s)", e.Revision, e.ChangeID)
		}
		fmt.Fprintln(w)
		return ExitConflict
	case agateops.Invalid:
		fmt.Fprintf(w, "agategate: %s\n", e.Message)
		for _, p := range e.Problems {
			fmt.Fprintln(w, p)
		}
		return ExitFailed
	case agateops.NotRun:
		fmt.Fprintf(w, "agategate: not run: %s\n", e.Message)
		return ExitNotConfirmed
	}
	fmt.Fprintf(w, "agategate: the result is unknown: %s\n", e.Message)
	return ExitNotConfirmed
}

func (a *app) root() *ffcli.Command {
	commands := []*ffcli.Command{
		a.entry(), a.control(), a.check(), a.apply(), a.show(), a.drain(), a.undrain(),
		a.status(), a.explain(), a.member(), a.plan(), a.fleet(), a.evacuate(), a.demo(), a.version(),
	}
	root := &ffcli.Command{
		Name:       "agategate",
		ShortUsage: "agategate <command> [flags] [arguments]",
		LongHelp:   "agategate steers requests between callers and upstreams.\n\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 refused because another change won,\n4 no control host could be reached or the result is unknown.",
		FlagSet:    a.flags("agategate"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("a command is missing")
			}
			return usagef("%q is not a command", args[0])
		},
	}
	for _, c := range commands {
		c.UsageFunc = usage
		root.Subcommands = append(root.Subcommands, c)
	}
	root.UsageFunc = usage
	return root
}

// flags returns an empty flag set whose errors are reported by Run.
func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.cfg.Stdout)
	return fs
}

// command returns a command whose help text includes an example.
func (a *app) command(name, args, short, example string, fs *flag.FlagSet, run func(ctx context.Context, args []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: strings.TrimSpace("agategate " + name + " [flags] " + args),
		ShortHelp:  short,
		LongHelp:   short + ".\n\nExample:\n  " + example,
		FlagSet:    fs,
		Exec:       run,
	}
}

func (a *app) printf(format string, args ...any) {
	fmt.Fprintf(a.cfg.Stdout, format, args...)
}
