package agatecli

import (
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// flagsBeforeArgs moves the flags of a command before its arguments: package flag
// stops parsing at the first argument, so it would ignore the flag in
// "apply FILE --wait". The demo parses its own arguments and gets them unchanged.
func flagsBeforeArgs(root *ffcli.Command, args []string) []string {
	if len(args) == 0 {
		return args
	}
	for _, c := range root.Subcommands {
		if c.Name != args[0] {
			continue
		}
		if c.Name == "demo" && !wantsHelp(args) {
			return append([]string{"demo", "--"}, args[1:]...)
		}
		return append([]string{args[0]}, reorderArgs(c.FlagSet, args[1:])...)
	}
	return args
}

func wantsHelp(args []string) bool {
	for _, arg := range args {
		if arg == "-h" || arg == "--help" || arg == "-help" {
			return true
		}
	}
	return false
}

// reorderArgs returns the flags with their values, then "--" and the arguments.
func reorderArgs(fs *flag.FlagSet, args []string) []string {
	var flags, rest []string
	for len(args) > 0 {
		arg := args[0]
		args = args[1:]
		if arg == "--" {
			rest = append(rest, args...)
			break
		}
		if len(arg) < 2 || arg[0] != '-' {
			rest = append(rest, arg)
			continue
		}
		flags = append(flags, arg)
		if len(args) > 0 && takesValue(fs, arg) {
			flags = append(flags, args[0])
			args = args[1:]
		}
	}
	return append(append(flags, "--"), rest...)
}

// takesValue reports whether the argument after the flag arg is its value.
func takesValue(fs *flag.FlagSet, arg string) bool {
	name := strings.TrimLeft(arg, "-")
	if strings.Contains(name, "=") {
		return false
	}
	f := fs.Lookup(name)
	if f == nil {
		return false
	}
	b, ok := f.Value.(interface{ IsBoolFlag() bool })
	return !ok || !b.IsBoolFlag()
}
