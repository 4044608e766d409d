package agatecontrol

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"agategate/core/agatequorum"
	"agategate/core/agatestate"
	"agategate/io/agateops"
	"agategate/io/agatereplica"
)

// ops returns the configuration of the operators' interface.
func (c *Control) ops() agateops.Config {
	return agateops.Config{
		Apply:        c.proposeInventory,
		Config:       c.configuration,
		Status:       c.status,
		Explain:      c.explain,
		ChangeMember: c.handleMemberRequest,

		Plan:      c.readPlanText,
		ApplyPlan: c.applyPlanText,
		Fleet:     c.fleet,
		Evacuate:  c.applyEvacuation,

		Ready:        c.readinessError,
		Metrics:      c.metrics.set,
		MaxBodyBytes: int64(c.cfg.Settings.Limit.Body),
		CallTimeout:  c.cfg.Settings.Wait.Call,
		Log:          c.log.Named("operators"),
	}
}

// reasonHoldsPlan is the reason for refusing inventory calls while the group
// holds a routing plan.
const reasonHoldsPlan = "the group holds a routing plan, not an inventory"

var errNoGroup = errors.New("agatecontrol: the replica belongs to no group yet")

// readinessError returns the reason why operators cannot be served, or nil.
func (c *Control) readinessError() error {
	r := c.replica.Load()
	if r == nil {
		return errNoGroup
	}
	if err := r.Fault(); err != nil {
		return err
	}
	if r.Status().Leader == 0 {
		return errors.New("agatecontrol: no leader is known")
	}
	return nil
}

// proposeInventory proposes an operator's change of the inventory.
func (c *Control) proposeInventory(ctx context.Context, r agateops.ChangeRequest) agateops.ChangeResult {
	cur, err := c.readConfig(ctx, r.ChangeID)
	if err != nil {
		c.metrics.countChange("failed")
		return agateops.ChangeResult{Reply: c.readErrorReply(ctx, err)}
	}
	return c.replaceInventory(ctx, cur, r)
}

// replaceInventory puts an inventory in force if the configuration that was read is not
// a plan, and if the base of the request is in force.
func (c *Control) replaceInventory(ctx context.Context, cur configReading, r agateops.ChangeRequest) agateops.ChangeResult {
	if cur.holdsPlan() {
		return agateops.ChangeResult{Reply: agateops.Reply{Outcome: agateops.Conflict, Reason: reasonHoldsPlan}}
	}
	res, err := c.replaceConfig(ctx, cur, agatestate.Configure{ChangeID: r.ChangeID, Base: r.Base, Document: r.Document})
	if err != nil {
		c.metrics.countChange("failed")
		return agateops.ChangeResult{Reply: c.errorReply(ctx, err)}
	}
	out := agateops.ChangeResult{Revision: res.Revision, ChangeID: res.ChangeID}
	switch res.Verdict {
	case agatestate.Accepted:
		out.Outcome = agateops.Done
	case agatestate.Conflict:
		out.Outcome = agateops.Conflict
		out.Reason = "another change was accepted first"
	case agatestate.Reused:
		out.Outcome = agateops.Conflict
		out.Reason = "the change id was used with another document"
	default:
		out.Outcome = agateops.Invalid
		out.Reason = res.Verdict.String()
	}
	c.metrics.countChange(string(out.Outcome))
	c.log.Info("configuration change", "kind", "change", "choice", res.Revision, "reason", res.Verdict.String(),
		"change", r.ChangeID, "base", r.Base)
	return out
}

// errorReply converts the error of a proposal or read.
func (c *Control) errorReply(ctx context.Context, err error) agateops.Reply {
	var notLeader *agatereplica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return agateops.Reply{Outcome: agateops.NotLeader, Leader: c.leaderAdmin(ctx, notLeader.Leader), Reason: "another replica leads"}
	case errors.Is(err, agatereplica.ErrUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return agateops.Reply{Outcome: agateops.Unknown, Reason: "outcome unknown, the change may still take effect"}
	}
	return agateops.Reply{Outcome: agateops.NotRun, Reason: err.Error()}
}

// leaderAdmin queries the leader for the address of its operators' interface.
// It returns "" if that fails.
func (c *Control) leaderAdmin(ctx context.Context, id uint64) string {
	addr := c.addressOf(id)
	if id == 0 || !addr.IsValid() || ctx.Err() != nil {
		return ""
	}
	reply, err := c.queryGroup(addr)
	if err != nil {
		return ""
	}
	return reply.Admin
}

// leaderReplica returns the local replica after confirming that it is the
// leader.
func (c *Control) leaderReplica(ctx context.Context) (*agatereplica.Replica, error) {
	r := c.replica.Load()
	if r == nil {
		return nil, &agatereplica.NotLeaderError{}
	}
	return r, r.Read(ctx)
}

// configuration returns the newest configuration.
func (c *Control) configuration(ctx context.Context) agateops.ConfigResult {
	cur, err := c.readConfig(ctx, "")
	if err != nil {
		return agateops.ConfigResult{Reply: c.readErrorReply(ctx, err)}
	}
	if cur.holdsPlan() {
		return agateops.ConfigResult{Reply: agateops.Reply{Outcome: agateops.Conflict, Reason: reasonHoldsPlan}}
	}
	return agateops.ConfigResult{
		Reply: agateops.Reply{Outcome: agateops.Done},
		Configuration: agateops.Configuration{
			Revision:   cur.Revision,
			ChangeID:   cur.ChangeID,
			AcceptedAt: cur.AcceptedAt,
			Document:   cur.Document,
		},
	}
}

// readErrorReply is errorReply for a call that proposed nothing, so that the
// outcome is never unknown.
func (c *Control) readErrorReply(ctx context.Context, err error) agateops.Reply {
	reply := c.errorReply(ctx, err)
	if reply.Outcome == agateops.Unknown {
		reply.Outcome = agateops.NotRun
		reply.Reason = "no majority answered in time"
	}
	return reply
}

// status returns the leader's view of the system.
func (c *Control) status(ctx context.Context) agateops.StatusResult {
	r, err := c.leaderReplica(ctx)
	if err != nil {
		return agateops.StatusResult{Reply: c.readErrorReply(ctx, err)}
	}
	now := time.Now()
	st := r.Status()
	cur := c.machine.Config()
	out := agateops.StatusResult{Reply: agateops.Reply{Outcome: agateops.Done}}
	out.Status = agateops.Status{
		Name:       c.cfg.Settings.Name,
		Leader:     c.cfg.Settings.Name,
		Term:       st.Term,
		Commit:     st.Commit,
		Applied:    st.Applied,
		Revision:   cur.Revision,
		ChangeID:   cur.ChangeID,
		AcceptedAt: cur.AcceptedAt,
		Members:    c.members(st.Members, st.Leader),
		Grants:     c.activeGrants(now),
		Drains:     c.drains(cur.Document),
	}
	sums := newUpstreamSums()
	for _, h := range c.sessions.all() {
		out.Hosts = append(out.Hosts, c.host(now, h))
		sums.add(now, h)
	}
	out.Capacities = sums.list()
	return out
}

// host describes one entry host. The times at which the revision was applied and
// first reported are both taken from this process's clock, so PropagationDelay
// needs no synchronized clocks.
func (c *Control) host(now time.Time, h session) agateops.Host {
	out := agateops.Host{
		Name:        h.host,
		Region:      h.heartbeat.Region,
		Domain:      h.heartbeat.Domain,
		CallerAddr:  h.heartbeat.Caller,
		Revision:    h.reportedRevision,
		ActiveSince: h.reportedSince,
		Draining:    h.heartbeat.Draining,
		Load:        h.heartbeat.Load,
		Alive:       now.Sub(h.lastHeartbeat) <= sessionLease,
	}
	if at, ok := c.applied.at(h.reportedRevision); ok && h.reportedSince.After(at) {
		out.PropagationDelay = h.reportedSince.Sub(at)
	}
	return out
}

// members describes the control group. Names come from the settings, since the
// membership holds only identities and addresses.
func (c *Control) members(ms agatequorum.Members, leader uint64) []agateops.Member {
	out := make([]agateops.Member, 0, len(ms))
	for _, m := range ms {
		role := "voter"
		switch {
		case m.Learner:
			role = "learner"
		case m.ID == leader:
			role = "leader"
		}
		out = append(out, agateops.Member{
			ID:      m.ID,
			Name:    c.nameOf(m.Address),
			Address: m.Address.String(),
			Role:    role,
		})
	}
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			reply, err := c.queryGroup(ms[i].Address)
			out[i].Alive = ms[i].ID == c.id || (err == nil && reply.Id == ms[i].ID)
			if err == nil {
				out[i].AppliedIndex = reply.Applied
			}
		})
	}
	wg.Wait()
	return out
}

func (c *Control) nameOf(addr netip.AddrPort) string {
	for _, m := range c.cfg.Seeds() {
		if m.Address == addr {
			return m.Name
		}
	}
	return ""
}

// handleMemberRequest applies an operator's membership change.
func (c *Control) handleMemberRequest(ctx context.Context, req agateops.MemberRequest) agateops.MemberResult {
	r, err := c.leaderReplica(ctx)
	if err == nil {
		err = c.changeMember(ctx, r, req)
	}
	switch {
	case errors.Is(err, agatereplica.ErrInvalidChange), errors.Is(err, agatereplica.ErrBehind), errors.Is(err, agatereplica.ErrBusy):
		return agateops.MemberResult{Reply: agateops.Reply{Outcome: agateops.Conflict, Reason: err.Error()}}
	case err != nil:
		return agateops.MemberResult{Reply: c.errorReply(ctx, err)}
	}
	st := r.Status()
	return agateops.MemberResult{
		Reply:   agateops.Reply{Outcome: agateops.Done},
		Members: c.members(st.Members, st.Leader),
	}
}

func (c *Control) changeMember(ctx context.Context, r *agatereplica.Replica, req agateops.MemberRequest) error {
	switch req.Action {
	case agateops.Promote:
		return r.Promote(ctx, req.ID)
	case agateops.Remove:
		return r.Remove(ctx, req.ID)
	}
	addr, err := netip.ParseAddrPort(req.Address)
	if err != nil {
		return agatereplica.ErrInvalidChange
	}
	reply, err := c.queryGroup(addr)
	if err != nil {
		return err
	}
	return r.AddLearner(ctx, reply.Id, addr)
}
