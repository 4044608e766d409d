package agatecontrol

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"agategate/core/agateheal"
	"agategate/core/agatequorum"
	"agategate/io/agateclient"
	"agategate/io/agatereplica"
	"agategate/io/agatewire"
)

const (
	// searchPause is the pause between two rounds of questions for a group.
	searchPause = 200 * time.Millisecond
	// searchTime bounds one question.
	searchTime = 500 * time.Millisecond
	// joinEvery and repairEvery are the intervals of the duties that heal the
	// membership.
	joinEvery   = 500 * time.Millisecond
	repairEvery = 500 * time.Millisecond
	// healVoters is the number of voters of a group that heals itself. Five
	// survive the loss of two.
	healVoters = 5
	// repairMost bounds the changes of one round: two replicas that are
	// replaced need four.
	repairMost = 8
)

// findGroup returns the first membership of a new group, or none when the
// replica continues or joins one. It reports false when the process stops
// before.
func (c *Control) findGroup(fresh bool) (agatequorum.Members, bool) {
	if !fresh {
		return nil, true
	}
	for {
		bootstrap, found := c.search()
		if found {
			return bootstrap, true
		}
		select {
		case <-c.ctx.Done():
			return nil, false
		case <-time.After(searchPause):
		}
	}
}

// search asks the initial members once. An existing group always goes first:
// a new one is started only by the first initial member, and only when all
// others answer that they belong to none. Since a group acknowledges nothing
// before a majority of the initial members adopted it, two groups cannot both
// come into force.
func (c *Control) search() (bootstrap agatequorum.Members, found bool) {
	members := agatequorum.Members{{ID: c.id, Address: c.cfg.Settings.Peer}}
	first := true
	for i, m := range c.cfg.Seeds() {
		if m.Address == c.cfg.Settings.Peer {
			first = i == 0
			continue
		}
		reply, err := c.askGroup(m.Address)
		if err != nil {
			members = nil
			continue
		}
		if !reply.Fresh {
			return c.adopt(reply), true
		}
		if members != nil {
			members = append(members, agatequorum.Member{ID: reply.Id, Address: m.Address})
		}
	}
	if reply, ok := c.added(); ok {
		return c.adopt(reply), true
	}
	if c.cfg.Settings.Join || !first || len(members) != len(c.cfg.Seeds()) {
		return nil, false
	}
	slices.SortFunc(members, func(a, b agatequorum.Member) int { return cmp.Compare(a.ID, b.ID) })
	c.log.Info("starting a new group", "members", len(members))
	return members, true
}

// added asks the replicas that sent a message. A replica that waits to be
// added knows no initial members and hears of its group when the leader
// begins to send to it.
func (c *Control) added() (reply *agatewire.GroupReply, ok bool) {
	c.callers.Range(func(_, addr any) bool {
		r, err := c.askGroup(addr.(netip.AddrPort))
		if err == nil && !r.Fresh {
			reply = r
		}
		return reply == nil
	})
	return reply, reply != nil
}

// adopt returns the first membership of a group that has not changed since,
// if this replica is in it.
func (c *Control) adopt(reply *agatewire.GroupReply) agatequorum.Members {
	if !reply.Initial {
		c.log.Info("joining an existing group", "from", reply.Sender.GetHost())
		return nil
	}
	var members agatequorum.Members
	mine := false
	for _, m := range reply.Members {
		addr, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return nil
		}
		members = append(members, agatequorum.Member{ID: m.Id, Address: addr, Learner: m.Learner})
		mine = mine || m.Id == c.id
	}
	if !mine {
		return nil
	}
	c.log.Info("adopting a new group", "from", reply.Sender.GetHost(), "members", len(members))
	return members
}

func (c *Control) askGroup(addr netip.AddrPort) (*agatewire.GroupReply, error) {
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, searchTime)
	defer cancel()
	reply, err := agatewire.NewQuorumClient(conn).Group(ctx, &agatewire.GroupAsk{Sender: c.identity()})
	c.dialer.Report(addr, err)
	return reply, err
}

// groupReply tells a starting replica what this one knows.
func (c *Control) groupReply() *agatewire.GroupReply {
	reply := &agatewire.GroupReply{
		Sender: c.identity(),
		Id:     c.id,
		Fresh:  c.fresh.Load(),
		Admin:  c.cfg.Settings.Admin.String(),
	}
	r := c.replica.Load()
	if r == nil {
		// Without a replica a known group cannot be named yet. A process that
		// restarts with state is not fresh and only seconds away from it.
		return reply
	}
	st := r.Status()
	reply.Applied = st.Applied
	for _, m := range st.Members {
		reply.Members = append(reply.Members, &agatewire.Replica{Id: m.ID, Address: m.Address.String(), Learner: m.Learner})
	}
	reply.Initial = st.Commit <= 1 && len(st.Members) == len(c.cfg.Seeds())
	return reply
}

// view is what the healing duties look at.
func (c *Control) view(st agatereplica.Status) agateheal.View {
	return agateheal.View{
		Now:        time.Now(),
		Self:       c.id,
		Term:       st.Term,
		Leader:     st.Leader,
		Members:    st.Members,
		NeverVoter: c.fresh.Load(),
	}
}

// join asks the group to admit this replica while it has no vote, or while it
// knows no leader, as when it was removed during a long pause.
func (c *Control) join(ctx context.Context) {
	st := c.replica.Load().Status()
	if st.Members.IsVoter(c.id) && st.Leader != 0 {
		c.fresh.Store(false)
	}
	if !c.healer.ShouldJoin(c.view(st)) {
		return
	}
	ask := &agatewire.JoinAsk{
		Sender: c.identity(),
		Replica: &agatewire.Replica{
			Id:      c.id,
			Name:    c.cfg.Settings.Name,
			Address: c.cfg.Settings.Peer.String(),
		},
	}
	agateheal.FindLeader(c.replicas(), func(addr netip.AddrPort) (leader netip.AddrPort, done bool) {
		return c.askJoin(ctx, addr, ask)
	})
}

// askJoin asks one replica. One that does not lead may name the leader.
func (c *Control) askJoin(ctx context.Context, addr netip.AddrPort, ask *agatewire.JoinAsk) (leader netip.AddrPort, done bool) {
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return netip.AddrPort{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, searchTime)
	defer cancel()
	reply, err := agatewire.NewQuorumClient(conn).Join(ctx, ask)
	c.dialer.Report(addr, err)
	if err != nil || reply.Leader == "" {
		return netip.AddrPort{}, err == nil
	}
	if leader, err = netip.ParseAddrPort(reply.Leader); err != nil || leader == c.cfg.Settings.Peer {
		return netip.AddrPort{}, false // it knows no leader
	}
	return leader, false
}

// replicas returns the addresses of the other replicas that are known: the
// seeds and the members.
func (c *Control) replicas() []netip.AddrPort {
	var out []netip.AddrPort
	add := func(addr netip.AddrPort) {
		if addr != c.cfg.Settings.Peer && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for _, m := range c.cfg.Seeds() {
		add(m.Address)
	}
	if r := c.replica.Load(); r != nil {
		for _, m := range r.Status().Members {
			add(m.Address)
		}
	}
	return out
}

// admit adds a replica as a learner. Only the leader can.
func (c *Control) admit(ctx context.Context, ask *agatewire.JoinAsk) (*agatewire.JoinReply, error) {
	reply := &agatewire.JoinReply{Sender: c.identity()}
	r := c.replica.Load()
	if r == nil {
		reply.Leader = agateclient.LeaderUnknown
		return reply, nil
	}
	st := r.Status()
	if member, ok := st.Members.Find(ask.Replica.GetId()); ok {
		reply.Member = !member.Learner
		return reply, nil
	}
	addr, err := netip.ParseAddrPort(ask.Replica.GetAddress())
	if err != nil {
		return nil, invalid("address: %v", err)
	}
	err = r.AddLearner(ctx, ask.Replica.GetId(), addr)
	var notLeader *agatereplica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		reply.Leader = c.leaderAddress(notLeader.Leader)
	case err != nil:
		return nil, unavailable("join: %v", err)
	default:
		c.placed(agatequorum.AddLearner, agatequorum.Member{ID: ask.Replica.GetId(), Address: addr}, "joined")
	}
	return reply, nil
}

// repair heals the membership, one change at a time.
func (c *Control) repair(ctx context.Context) {
	for range repairMost {
		if !c.leads() || !c.repairOnce(ctx) {
			return
		}
	}
}

// repairOnce reports whether the membership changed.
func (c *Control) repairOnce(ctx context.Context) bool {
	r := c.replica.Load()
	st := r.Status()
	for _, step := range c.healer.Steps(c.view(st), c.holder) {
		m, _ := st.Members.Find(step.Change.ID)
		err := r.Change(ctx, step.Change)
		if err == nil {
			c.placed(step.Change.Kind, m, step.Reason)
			return true
		}
		if step.Change.Kind == agatequorum.Remove {
			c.log.Warn("replica not removed", "kind", "placement", "choice", m.Address, "id", m.ID, "reason", step.Reason, "error", err)
		}
	}
	return false
}

// holder returns the identity of the replica at an address.
func (c *Control) holder(addr netip.AddrPort) (uint64, bool) {
	reply, err := c.askGroup(addr)
	if err != nil {
		return 0, false
	}
	return reply.Id, true
}

// placed writes the line of a change of the membership.
func (c *Control) placed(kind agatequorum.ChangeKind, m agatequorum.Member, reason string) {
	text := "replica removed"
	switch kind {
	case agatequorum.AddLearner:
		text = "replica admitted as learner"
	case agatequorum.Promote:
		text = "learner promoted"
	}
	c.log.Info(text, "kind", "placement", "choice", m.Address, "id", m.ID, "reason", reason)
}

// addressOf returns where a replica is reached: as the membership says, or as
// a replica that is not a member yet wrote in its message.
func (c *Control) addressOf(id uint64) netip.AddrPort {
	if r := c.replica.Load(); r != nil {
		if m, ok := r.Status().Members.Find(id); ok {
			return m.Address
		}
	}
	if addr, ok := c.callers.Load(id); ok {
		return addr.(netip.AddrPort)
	}
	return netip.AddrPort{}
}

// leaderAddress names a leader for callers that must ask it.
func (c *Control) leaderAddress(id uint64) string {
	addr := c.addressOf(id)
	if id == 0 || !addr.IsValid() {
		return agateclient.LeaderUnknown
	}
	return addr.String()
}
