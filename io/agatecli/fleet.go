package agatecli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/io/agateops"
)

// fleet prints the upstreams and entry hosts that use the routing plan.
func (a *app) fleet() *ffcli.Command {
	fs := a.flags("fleet")
	r := a.controlFlags(fs)
	asJSON := jsonFlag(fs)
	return a.command("fleet", "", "print upstreams, entry hosts and evacuated failure domains of a routing plan",
		"agategate fleet --control 127.0.2.1:9001", fs,
		r.exec(noArgs, func(ctx context.Context, client *agateops.Client, _ []string) error {
			f, err := client.Fleet(ctx)
			if err != nil {
				return err
			}
			if *asJSON {
				return a.json(f)
			}
			a.printFleet(f)
			return nil
		}))
}

func (a *app) printFleet(f agateops.Fleet) {
	evacuated := "none"
	if len(f.Evacuated) > 0 {
		evacuated = strings.Join(f.Evacuated, ", ")
	}
	a.printf("plan version %d, evacuated: %s\n", f.Version, evacuated)
	tw := tabwriter.NewWriter(a.cfg.Stdout, 0, 2, 2, ' ', 0)
	fmt.Fprintln(tw, "\nHOST\tREGION\tDOMAIN\tCALLER\tREADY")
	for _, h := range f.Hosts {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%t\n", h.Name, h.Region, h.Domain, h.CallerAddr, h.Ready)
	}
	fmt.Fprintln(tw, "\nSERVICE\tUPSTREAM\tDOMAIN\tADDRESS\tSLOTS\tSTATE")
	for _, u := range f.Upstreams {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%s\n", u.Service, u.ID, u.Domain, u.Address, u.Slots, upstreamState(u))
	}
	if len(f.Limits) > 0 {
		fmt.Fprintln(tw, "\nWORKSPACE\tRATE\tBURST\tLEFT\tLENT")
	}
	for _, l := range f.Limits {
		fmt.Fprintf(tw, "%s\t%g/s\t%g\t%.0f\t%d\n", l.Workspace, l.Rate, l.Burst, l.Left, l.Lent)
	}
	tw.Flush()
}

func upstreamState(u agateops.FleetUpstream) string {
	switch {
	case u.Expired:
		return "silent"
	case u.Deregistered:
		return "left"
	case u.Unnamed:
		return "not in the plan"
	case u.Draining:
		return "draining"
	case u.WarmupLeft > 0:
		return "cold for " + u.WarmupLeft.Round(100*time.Millisecond).String()
	}
	return "up"
}

// evacuate starts or ends the evacuation of a failure domain.
func (a *app) evacuate() *ffcli.Command {
	fs := a.flags("evacuate")
	r := a.controlFlags(fs)
	end := fs.Bool("end", false, "end the evacuation")
	asJSON := jsonFlag(fs)
	return a.command("evacuate", "DOMAIN", "keep new requests away from a failure domain, or end that",
		"agategate evacuate --control 127.0.2.1:9001 centro-a", fs,
		r.exec(oneArg("evacuate needs one failure domain"), func(ctx context.Context, client *agateops.Client, args []string) error {
			e, err := client.Evacuate(ctx, agateops.EvacuateRequest{Domain: args[0], On: !*end})
			if err != nil {
				return err
			}
			if *asJSON {
				return a.json(e)
			}
			if e.Evacuated {
				a.printf("%s is evacuated\n", e.Domain)
			} else {
				a.printf("%s is in use\n", e.Domain)
			}
			return nil
		}))
}
