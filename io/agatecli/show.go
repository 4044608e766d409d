package agatecli

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/io/agateops"
)

type showOutput struct {
	agateops.Configuration
	Document string `json:"document"`
}

func (a *app) show() *ffcli.Command {
	fs := a.flags("show")
	r := a.controlFlags(fs)
	asJSON := jsonFlag(fs)
	return a.command("show", "", "print the configuration in force",
		"agategate show --control 127.0.2.1:9001 > inventory.toml", fs,
		r.exec(noArgs, func(ctx context.Context, client *agateops.Client, _ []string) error {
			c, err := client.Config(ctx)
			if err != nil {
				return err
			}
			if *asJSON {
				return a.json(showOutput{Configuration: c, Document: string(c.Document)})
			}
			a.stderrf("revision %d, change %s, accepted %s\n", c.Revision, c.ChangeID, formatTime(c.AcceptedAt))
			a.printf("%s", c.Document)
			return nil
		}))
}

// formatTime formats a time in UTC with milliseconds, or the zero time as "-".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

func (a *app) status() *ffcli.Command {
	fs := a.flags("status")
	r := a.controlFlags(fs)
	asJSON := jsonFlag(fs)
	return a.command("status", "", "print replicas, entry hosts, capacity, grants and drains",
		"agategate status --control 127.0.2.1:9001 --json", fs,
		r.exec(noArgs, func(ctx context.Context, client *agateops.Client, _ []string) error {
			s, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if *asJSON {
				return a.json(s)
			}
			a.printStatus(s)
			return nil
		}))
}

func (a *app) printStatus(s agateops.Status) {
	a.printf("leader %s, term %d, committed %d\n", s.Leader, s.Term, s.Commit)
	a.printf("revision %d, change %s, accepted %s\n", s.Revision, s.ChangeID, formatTime(s.AcceptedAt))
	tw := tabwriter.NewWriter(a.cfg.Stdout, 0, 2, 2, ' ', 0)
	fmt.Fprintln(tw, "\nREPLICA\tID\tADDRESS\tROLE\tINDEX\tALIVE")
	for _, m := range s.Members {
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\t%d\t%t\n", m.Name, m.ID, m.Address, m.Role, m.AppliedIndex, m.Alive)
	}
	fmt.Fprintln(tw, "\nHOST\tREGION\tDOMAIN\tREVISION\tSINCE\tLOAD\tSTATE")
	for _, h := range s.Hosts {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%.2f\t%s\n", h.Name, h.Region, h.Domain, h.Revision, formatTime(h.ActiveSince), h.Load, hostState(h))
	}
	fmt.Fprintln(tw, "\nSERVICE\tREGION\tCAPACITY/s\tDEMAND/s\tINFLIGHT")
	for _, u := range s.Capacities {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", u.Service, u.Region, formatNumber(u.Capacity), formatNumber(u.Demand), formatNumber(u.InFlight))
	}
	fmt.Fprintln(tw, "\nGRANT\tFROM\tTO\tHOST\tREQUESTS/s\tBYTES/s\tUNTIL")
	for _, g := range s.Grants {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", g.Service, g.From, g.To, g.Host, formatNumber(g.RequestRate), formatNumber(g.ByteRate), formatTime(g.ExpiresAt))
	}
	fmt.Fprintln(tw, "\nDRAIN\tNAME\tSHARE")
	for _, d := range s.Drains {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", d.Kind, d.Name, formatNumber(d.Share))
	}
	tw.Flush()
}

func hostState(h agateops.Host) string {
	switch {
	case !h.Alive:
		return "silent"
	case h.Draining:
		return "draining"
	}
	return "up"
}

func formatNumber(n float64) string { return strconv.FormatFloat(n, 'g', 6, 64) }
