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
	// searchInterval is the pause between two rounds of queries for a group.
	searchInterval = 200 * time.Millisecond
	// queryTimeout bounds one query of another replica.
	queryTimeout = 500 * time.Millisecond
	// joinInterval and repairInterval are the intervals of the tasks that heal
	// the membership.
	joinInterval   = 500 * time.Millisecond
	repairInterval = 500 * time.Millisecond
	// targetVoters is the number of voters of a group that heals itself. Five
	// voters tolerate the loss of two.
	targetVoters = 5
)

// findGroup returns the initial membership of a new group, or nil if the
// replica continues in or joins an existing one. It returns false if the
// process stops first.
func (c *Control) findGroup(fresh bool) (agatequorum.Members, bool) {
	if !fresh {
		return nil, true
	}
	for {
		bootstrap, found := c.findGroupOnce()
		if found {
			return bootstrap, true
		}
		if report, _ := c.leaderless.due(time.Now(), false); report {
			c.log.Warn("changes and reads are refused: this replica has no state and finds no group to join", "kind", "placement", "reason", "no-group-to-join", "seeds", len(c.cfg.Seeds()))
		}
		select {
		case <-c.ctx.Done():
			return nil, false
		case <-time.After(searchInterval):
		}
	}
}

// findGroupOnce queries the initial members once. An existing group takes
// precedence: only the first initial member starts a new group, and only if all
// others answer that they belong to none. Since a group acknowledges nothing
// before a majority of the initial members has adopted it, at most one group
// can commit anything.
func (c *Control) findGroupOnce() (bootstrap agatequorum.Members, found bool) {
	members := agatequorum.Members{{ID: c.id, Address: c.cfg.Settings.PeerAddr}}
	isFirst := true
	for i, m := range c.cfg.Seeds() {
		if m.Address == c.cfg.Settings.PeerAddr {
			isFirst = i == 0
			continue
		}
		reply, err := c.queryGroup(m.Address)
		if err != nil {
			members = nil
			continue
		}
		if !reply.Fresh {
			return c.bootstrapMembers(reply), true
		}
		if members != nil {
			members = append(members, agatequorum.Member{ID: reply.Id, Address: m.Address})
		}
	}
	if reply, ok := c.queryPeers(); ok {
		return c.bootstrapMembers(reply), true
	}
	if c.cfg.Settings.Join || !isFirst || len(members) != len(c.cfg.Seeds()) {
		return nil, false
	}
	slices.SortFunc(members, func(a, b agatequorum.Member) int { return cmp.Compare(a.ID, b.ID) })
	c.log.Info("starting a new group", "members", len(members))
	return members, true
}

// queryPeers queries the replicas that sent a message to this one. A replica
// that waits to be added knows no initial members and learns of its group when
// the leader starts to send to it.
func (c *Control) queryPeers() (reply *agatewire.GroupReply, ok bool) {
	c.peerAddresses.Range(func(_, addr any) bool {
		r, err := c.queryGroup(addr.(netip.AddrPort))
		if err == nil && !r.Fresh {
			reply = r
		}
		return reply == nil
	})
	return reply, reply != nil
}

// bootstrapMembers returns the members to start with if the group still has its
// initial membership and includes this replica, or nil if the replica must join
// it.
func (c *Control) bootstrapMembers(reply *agatewire.GroupReply) agatequorum.Members {
	if !reply.Initial {
		c.log.Info("joining an existing group", "from", reply.Sender.GetHost())
		return nil
	}
	var members agatequorum.Members
	isMember := false
	for _, m := range reply.Members {
		addr, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return nil
		}
		members = append(members, agatequorum.Member{ID: m.Id, Address: addr, Learner: m.Learner})
		isMember = isMember || m.Id == c.id
	}
	if !isMember {
		return nil
	}
	c.log.Info("adopting a new group", "from", reply.Sender.GetHost(), "members", len(members))
	return members
}

func (c *Control) queryGroup(addr netip.AddrPort) (*agatewire.GroupReply, error) {
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(c.ctx, queryTimeout)
	defer cancel()
	reply, err := agatewire.NewQuorumClient(conn).Group(ctx, &agatewire.GroupAsk{Sender: c.identity()})
	c.dialer.Report(addr, err)
	return reply, err
}

// groupReply describes this replica and its group to other replicas.
func (c *Control) groupReply() *agatewire.GroupReply {
	reply := &agatewire.GroupReply{
		Sender: c.identity(),
		Id:     c.id,
		Fresh:  c.fresh.Load(),
		Admin:  c.cfg.Settings.Admin.String(),
	}
	r := c.replica.Load()
	if r == nil {
		// The group cannot be described before the replica is open. A process
		// that restarts with state is not fresh and opens it within seconds.
		return reply
	}
	st := r.Status()
	reply.Applied = st.Applied
	for _, m := range st.Members {
		reply.Members = append(reply.Members, &agatewire.Replica{Id: m.ID, Address: m.Address.String(), Learner: m.Learner})
	}
	// The membership is still the initial one if nothing after the bootstrap entry
	// (index 1) is committed.
	reply.Initial = st.Commit <= 1 && len(st.Members) == len(c.cfg.Seeds())
	return reply
}

// healView returns the input of the tasks that heal the membership.
func (c *Control) healView(st agatereplica.Status) agateheal.View {
	return agateheal.View{
		Now:        time.Now(),
		Self:       c.id,
		Term:       st.Term,
		Leader:     st.Leader,
		Members:    st.Members,
		NeverVoter: c.fresh.Load(),
	}
}

// join requests the admission of this replica while it has no vote or knows no
// leader, and clears fresh once it is a voter with a leader. A replica knows no
// leader if it was removed while it was suspended.
func (c *Control) join(ctx context.Context) {
	st := c.replica.Load().Status()
	if st.Members.IsVoter(c.id) && st.Leader != 0 {
		c.fresh.Store(false)
	}
	if !c.healer.ShouldJoin(c.healView(st)) {
		return
	}
	req := &agatewire.JoinAsk{
		Sender: c.identity(),
		Replica: &agatewire.Replica{
			Id:      c.id,
			Name:    c.cfg.Settings.Name,
			Address: c.cfg.Settings.PeerAddr.String(),
		},
	}
	agateheal.FindLeader(c.knownReplicas(), func(addr netip.AddrPort) (leader netip.AddrPort, done bool) {
		return c.requestJoin(ctx, addr, req)
	})
}

// requestJoin sends a join request to one replica. A replica that is not the
// leader may return the leader's address.
func (c *Control) requestJoin(ctx context.Context, addr netip.AddrPort, req *agatewire.JoinAsk) (leader netip.AddrPort, done bool) {
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return netip.AddrPort{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, err := agatewire.NewQuorumClient(conn).Join(ctx, req)
	c.dialer.Report(addr, err)
	if err != nil || reply.Leader == "" {
		return netip.AddrPort{}, err == nil
	}
	if leader, err = netip.ParseAddrPort(reply.Leader); err != nil || leader == c.cfg.Settings.PeerAddr {
		return netip.AddrPort{}, false // it knows no leader
	}
	return leader, false
}

// knownReplicas returns the addresses of the other known replicas: the seeds
// and the members.
func (c *Control) knownReplicas() []netip.AddrPort {
	var out []netip.AddrPort
	add := func(addr netip.AddrPort) {
		if addr != c.cfg.Settings.PeerAddr && !slices.Contains(out, addr) {
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

// admit adds a replica as a learner. Only the leader can do this.
func (c *Control) admit(ctx context.Context, req *agatewire.JoinAsk) (*agatewire.JoinReply, error) {
	reply := &agatewire.JoinReply{Sender: c.identity()}
	r := c.replica.Load()
	if r == nil {
		reply.Leader = agateclient.LeaderUnknown
		return reply, nil
	}
	st := r.Status()
	if member, ok := st.Members.Find(req.Replica.GetId()); ok {
		reply.Member = !member.Learner
		return reply, nil
	}
	addr, err := netip.ParseAddrPort(req.Replica.GetAddress())
	if err != nil {
		return nil, invalid("address: %v", err)
	}
	err = r.AddLearner(ctx, req.Replica.GetId(), addr)
	var notLeader *agatereplica.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		reply.Leader = c.leaderAddress(notLeader.Leader)
	case err != nil:
		return nil, unavailable("join: %v", err)
	default:
		c.logMembership(agatequorum.AddLearner, agatequorum.Member{ID: req.Replica.GetId(), Address: addr}, "joined")
	}
	return reply, nil
}

// identityAt returns the identity of the replica at an address.
func (c *Control) identityAt(addr netip.AddrPort) (uint64, bool) {
	reply, err := c.queryGroup(addr)
	if err != nil {
		return 0, false
	}
	return reply.Id, true
}

// logMembership logs a membership change.
func (c *Control) logMembership(kind agatequorum.ChangeKind, m agatequorum.Member, reason string) {
	text := "replica removed"
	switch kind {
	case agatequorum.AddLearner:
		text = "replica admitted as learner"
	case agatequorum.Promote:
		text = "learner promoted"
	}
	c.log.Info(text, "kind", "placement", "choice", m.Address, "id", m.ID, "reason", reason)
}

// addressOf returns the address of a replica: that of the membership or, for a
// replica that is not a member yet, the one in its last message. It returns the
// zero value if none is known.
func (c *Control) addressOf(id uint64) netip.AddrPort {
	if r := c.replica.Load(); r != nil {
		if m, ok := r.Status().Members.Find(id); ok {
			return m.Address
		}
	}
	if addr, ok := c.peerAddresses.Load(id); ok {
		return addr.(netip.AddrPort)
	}
	return netip.AddrPort{}
}

// leaderAddress returns the address of the leader for replies that redirect to
// it, or agateclient.LeaderUnknown.
func (c *Control) leaderAddress(id uint64) string {
	addr := c.addressOf(id)
	if id == 0 || !addr.IsValid() {
		return agateclient.LeaderUnknown
	}
	return addr.String()
}
