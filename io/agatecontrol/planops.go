package agatecontrol

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"agategate/core/agateplan"
	"agategate/core/agatestate"
	"agategate/io/agateops"
	"agategate/io/agatereplica"
)

// readPlanText returns the newest plan as TOML text for operators, whatever
// format it was written in.
func (c *Control) readPlanText(ctx context.Context) agateops.PlanResult {
	doc, res := c.ReadPlan(ctx)
	if res.Outcome != PlanAccepted {
		return agateops.PlanResult{Reply: c.planReply(ctx, res, false), Version: res.Version}
	}
	out := agateops.PlanResult{Reply: agateops.Reply{Outcome: agateops.Done}, Version: doc.Plan.Version, Document: doc.Source}
	if doc.Plan.Version > 0 && doc.SourceFormat != agateplan.SourceTOML {
		text, err := agateplan.Format(&doc.Plan)
		if err != nil {
			return agateops.PlanResult{Reply: agateops.Reply{Outcome: agateops.NotRun, Reason: err.Error()}}
		}
		out.Document = text
	}
	return out
}

// applyPlanText puts in force a plan that an operator wrote as TOML text.
func (c *Control) applyPlanText(ctx context.Context, r agateops.PlanRequest) agateops.PlanResult {
	doc := &agateplan.Document{Plan: *r.Plan, Source: r.Document, SourceFormat: agateplan.SourceTOML}
	res := c.ApplyPlan(ctx, r.ChangeID, r.Base, doc)
	reply := c.planReply(ctx, res, true)
	c.metrics.countChange(string(reply.Outcome))
	return agateops.PlanResult{Reply: reply, Version: res.Version}
}

// planReply converts a PlanResult to an agateops.Reply. A read with an unknown
// outcome changed nothing and is reported as not run.
func (c *Control) planReply(ctx context.Context, res PlanResult, write bool) agateops.Reply {
	switch res.Outcome {
	case PlanAccepted:
		return agateops.Reply{Outcome: agateops.Done}
	case PlanConflict:
		return agateops.Reply{Outcome: agateops.Conflict, Reason: res.Reason}
	case PlanInvalid:
		return agateops.Reply{Outcome: agateops.Invalid, Reason: res.Reason}
	case PlanNotLeader:
		return c.notLeaderReply(ctx)
	}
	if write {
		return agateops.Reply{Outcome: agateops.Unknown, Reason: res.Reason}
	}
	return agateops.Reply{Outcome: agateops.NotRun, Reason: res.Reason}
}

// notLeaderReply refers the caller to the leader, if it is known.
func (c *Control) notLeaderReply(ctx context.Context) agateops.Reply {
	reply := agateops.Reply{Outcome: agateops.NotLeader, Reason: "another replica leads"}
	if r := c.replica.Load(); r != nil {
		reply.Leader = c.leaderAdmin(ctx, r.Status().Leader)
	}
	return reply
}

// fleet returns the announced upstreams, the evacuated failure domains and the
// present entry hosts.
func (c *Control) fleet(ctx context.Context) agateops.FleetResult {
	if _, err := c.leaderReplica(ctx); err != nil {
		return agateops.FleetResult{Reply: c.readErrorReply(ctx, err)}
	}
	out := agateops.FleetResult{Reply: agateops.Reply{Outcome: agateops.Done}}
	cur := c.readLocalConfig("")
	if doc, err := cur.plan(); err == nil {
		out.Version = doc.Plan.Version
	}
	out.Evacuated = c.machine.Evacuated()
	for _, m := range c.machine.Members() {
		out.Upstreams = append(out.Upstreams, fleetUpstream(&m))
	}
	slices.SortFunc(out.Upstreams, func(a, b agateops.FleetUpstream) int {
		if n := strings.Compare(a.Service, b.Service); n != 0 {
			return n
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, h := range c.presence.all(time.Now()) {
		out.Hosts = append(out.Hosts, agateops.FleetHost{
			Name: h.name, Region: h.region, Domain: h.domain, CallerAddr: h.callerAddr.String(), Ready: h.ready,
		})
	}
	out.Limits = c.quotaStatus()
	return out
}

func fleetUpstream(u *agatestate.Member) agateops.FleetUpstream {
	out := agateops.FleetUpstream{
		ID:           u.ID,
		Service:      u.Service,
		Domain:       u.Domain,
		Slots:        u.Slots,
		Draining:     u.Draining,
		Deregistered: u.Gone,
		Expired:      u.Expired,
		Unnamed:      !u.Named,
		WarmupLeft:   u.WarmupLeft,
	}
	if u.Address.IsValid() {
		out.Address = u.Address.String()
	}
	return out
}

// applyEvacuation starts or ends the evacuation of a failure domain. A domain
// without known upstreams or entry hosts is refused: it is most likely
// misspelled, and nobody would notice that the intended domain stays in use.
func (c *Control) applyEvacuation(ctx context.Context, r agateops.EvacuateRequest) agateops.Reply {
	if !c.knownDomain(r.Domain) {
		return agateops.Reply{Outcome: agateops.Invalid, Reason: "no upstream or entry host is known in failure domain " + r.Domain}
	}
	err := c.Evacuate(ctx, r.Domain, r.On)
	var notLeader *agatereplica.NotLeaderError
	switch {
	case err == nil:
		return agateops.Reply{Outcome: agateops.Done}
	case errors.As(err, &notLeader):
		return c.notLeaderReply(ctx)
	case errors.Is(err, ErrOutcomeUnknown):
		return agateops.Reply{Outcome: agateops.Unknown, Reason: err.Error()}
	}
	return c.errorReply(ctx, err)
}

func (c *Control) knownDomain(domain string) bool {
	if slices.Contains(c.machine.Evacuated(), domain) {
		return true
	}
	if slices.ContainsFunc(c.machine.Members(), func(m agatestate.Member) bool { return m.Domain == domain }) {
		return true
	}
	for _, h := range c.presence.all(time.Now()) {
		if h.domain == domain {
			return true
		}
	}
	return false
}
