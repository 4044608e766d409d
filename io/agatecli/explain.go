package agatecli

import (
	"context"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"agategate/io/agatelog"
	"agategate/io/agateops"
)

type explainOutput struct {
	Hosts   []agateops.HostDecisions `json:"hosts"`
	Missing []string                 `json:"missing"`
}

func (a *app) explain() *ffcli.Command {
	fs := a.flags("explain")
	r := a.controlFlags(fs)
	asJSON := jsonFlag(fs)
	return a.command("explain", "REQUEST", "print the decisions on a request by the id in its Agate-Request header",
		"agategate explain --control 127.0.2.1:9001 entry-1-4f2a", fs,
		r.exec(oneArg("explain needs the id of one request"), func(ctx context.Context, client *agateops.Client, args []string) error {
			hosts, missing, err := client.Explain(ctx, args[0])
			if err != nil {
				return err
			}
			if *asJSON {
				return a.json(explainOutput{Hosts: hosts, Missing: missing})
			}
			a.printDecisions(hosts, missing)
			return nil
		}))
}

func (a *app) printDecisions(hosts []agateops.HostDecisions, missing []string) {
	for _, h := range hosts {
		for _, d := range h.Decisions {
			a.printDecision(h.Host, d)
		}
	}
	for _, name := range missing {
		a.stderrf("%s did not answer\n", name)
	}
}

func (a *app) printDecision(host string, d agatelog.Decision) {
	class := "read"
	if d.Action {
		class = "action"
	}
	a.printf("%s %s: %s of %s %s: chose %q because %s; %s, took %s\n",
		formatTime(d.Time), host, d.Kind, d.Service, class, d.Choice, d.Reason, d.Outcome, d.Duration)
	if d.CandidateCount > 0 {
		a.printf("  compared: %d\n", d.CandidateCount)
	}
	for _, c := range d.Candidates {
		note := c.Note
		if note == "" {
			note = "eligible, expected " + c.ExpectedLatency.String()
		}
		a.printf("  %s: %s\n", c.Name, note)
	}
}

func (a *app) member() *ffcli.Command {
	fs := a.flags("member")
	r := a.controlFlags(fs)
	asJSON := jsonFlag(fs)
	return a.command("member", "add NAME ADDRESS | promote ID | remove ID", "change the members of the control group",
		"agategate member --control 127.0.2.1:9001 add control-6 127.0.2.6:9000", fs,
		r.exec(checkMemberArgs, func(ctx context.Context, client *agateops.Client, args []string) error {
			req, err := parseMemberRequest(args)
			if err != nil {
				return err
			}
			list, err := client.ChangeMember(ctx, req)
			if err != nil {
				return err
			}
			if *asJSON {
				return a.json(list)
			}
			for _, m := range list {
				a.printf("%d %s %s %s\n", m.ID, m.Name, m.Address, m.Role)
			}
			return nil
		}))
}

func checkMemberArgs(args []string) error {
	_, err := parseMemberRequest(args)
	return err
}

func parseMemberRequest(args []string) (agateops.MemberRequest, error) {
	switch {
	case len(args) == 3 && args[0] == "add":
		return agateops.MemberRequest{Action: agateops.AddLearner, Name: args[1], Address: args[2]}, nil
	case len(args) == 2 && (args[0] == "promote" || args[0] == "remove"):
		id, err := strconv.ParseUint(args[1], 10, 64)
		if err != nil || id == 0 {
			return agateops.MemberRequest{}, usagef("%q is not the id of a member", args[1])
		}
		return agateops.MemberRequest{Action: agateops.MemberAction(args[0]), ID: id}, nil
	}
	return agateops.MemberRequest{}, usagef("member needs add NAME ADDRESS, promote ID or remove ID")
}
