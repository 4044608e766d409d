package agatecli

import (
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// usage returns the help of a command.
func usage(c *ffcli.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "USAGE\n  %s\n\n%s\n", c.ShortUsage, c.LongHelp)
	if len(c.Subcommands) > 0 {
		b.WriteString("\nCOMMANDS\n")
		tw := tabwriter.NewWriter(&b, 0, 2, 2, ' ', 0)
		for _, sub := range c.Subcommands {
			fmt.Fprintf(tw, "  %s\t%s\n", sub.Name, sub.ShortHelp)
		}
		tw.Flush()
		b.WriteString("\nRun 'agategate help COMMAND' for its flags and an example.\n")
	}
	writeFlags(&b, c.FlagSet)
	return b.String()
}

func writeFlags(b *strings.Builder, fs *flag.FlagSet) {
	lines := 0
	tw := tabwriter.NewWriter(b, 0, 2, 2, ' ', 0)
	fs.VisitAll(func(f *flag.Flag) {
		if lines == 0 {
			b.WriteString("\nFLAGS\n")
		}
		lines++
		fmt.Fprintf(tw, "  --%s\t%s\n", f.Name, f.Usage)
	})
	tw.Flush()
}
