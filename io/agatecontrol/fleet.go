package agatecontrol

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"agategate/core/agatequorum"
	"agategate/core/agatestate"
	"agategate/io/agateclient"
	"agategate/io/agatereplica"
	"agategate/io/agatewire"
)

const (
	// commitTimeout bounds one commit, whether local or forwarded to the
	// leader, and one report of contacts. It is below the second after which
	// clients of the control hosts try another one.
	commitTimeout = 800 * time.Millisecond
	// unnamedRate and unnamedBurst bound the changes a second, and at once, that a
	// replica proposes for upstreams whose service the plan in force does not name, so
	// that they do not delay the changes of others. A plan that names the service lifts
	// the bound.
	unnamedRate  = 50
	unnamedBurst = 200
)

// errUnnamedRate is returned for a change above unnamedRate.
var errUnnamedRate = errors.New("agatecontrol: too many changes of upstreams whose service no plan names")

// ErrDisputed is wrapped when an announcement contradicts a member of the fleet, or a
// process that has deregistered. It has no effect, unless its sender goes on while that
// member is silent.
var ErrDisputed = errors.New("agatecontrol: announcement contradicts the fleet")

// ErrOutcomeUnknown is returned when a forwarded command may or may not take
// effect. It corresponds to agatereplica.ErrUnknown for local ones.
var ErrOutcomeUnknown = errors.New("agatecontrol: outcome unknown, the command may still take effect")

// commit proposes a command locally or forwards it to the leader, and returns
// once the leader has applied it.
func (c *Control) commit(ctx context.Context, cmd agatestate.Command) (agatestate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	res, err := c.propose(ctx, cmd)
	var notLeader *agatereplica.NotLeaderError
	if !errors.As(err, &notLeader) {
		return res, err
	}
	addr := c.addressOf(notLeader.Leader)
	if notLeader.Leader == 0 || !addr.IsValid() {
		return res, err
	}
	conn, err := c.dialer.Conn(addr)
	if err != nil {
		return res, err
	}
	reply, err := agatewire.NewControlClient(conn).Submit(ctx, &agatewire.SubmitAsk{Sender: c.identity(), Command: agatestate.Encode(cmd)})
	c.dialer.Report(addr, err)
	switch {
	case err != nil:
		return res, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	case reply.Code == agateclient.CodeApplied:
		return agatestate.DecodeResult(reply.Result)
	case reply.Code == agateclient.CodeNotLeader:
		return res, &agatereplica.NotLeaderError{}
	}
	return res, fmt.Errorf("%w: %s", ErrOutcomeUnknown, reply.Error)
}

// Announce handles an announcement of an upstream that a writer sent. It returns once
// the group has stored the change, if there is one, and the upstream is in the fleet.
// After an error the upstream must announce itself again, here or at another replica;
// one that wraps ErrDisputed says that the announcement contradicts the fleet.
func (c *Control) Announce(ctx context.Context, writer netip.Addr, up agatestate.Upstream) error {
	known, ok := c.machine.Upstream(up.ID)
	service := up.Service
	if up.Gone {
		if ok && !canLeave(&known, &up) {
			return nil
		}
		service = known.Service
	} else if done, err := c.answerLocally(writer, &up, ok); done {
		return err
	}
	if !c.mayPropose(service) {
		c.RefuseAnnouncement(writer, up.ID, "too many for unnamed services", errUnnamedRate)
		return errUnnamedRate
	}
	res, err := c.commit(ctx, agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{up}}})
	switch {
	case err == nil && res.Verdict == agatestate.Disputed:
		_, reason, _ := c.machine.Judge(&up)
		return c.dispute(writer, &up, reason)
	case err == nil && res.Verdict != agatestate.Accepted:
		err = fmt.Errorf("agatecontrol: announcement: %s", res.Verdict)
	case err == nil && !up.Gone:
		c.contacts.recordLocal(up.ID, up.StartedAtMs, time.Now())
	}
	c.log.Info("upstream announced", "kind", "announce", "choice", up.ID, "service", up.Service, "address", up.Address,
		"draining", up.Draining, "gone", up.Gone, "cold", up.WarmupLeft, "seq", up.Sequence, "changed", res.Count, "error", err)
	return err
}

// answerLocally answers an announcement that changes nothing, and reports whether it did.
// Nothing is stored for it. member is set if the id is known.
func (c *Control) answerLocally(writer netip.Addr, up *agatestate.Upstream, member bool) (done bool, err error) {
	standing, reason, settles := c.machine.Judge(up)
	if member && (standing == agatestate.Changing || standing == agatestate.Confirming) {
		c.contacts.recordLocal(up.ID, up.StartedAtMs, time.Now())
	}
	if standing != agatestate.Rejected && (standing != agatestate.Confirming || settles) {
		return false, nil
	}
	if _, hasLeader := c.Leader(); !hasLeader {
		return true, errNoLeader
	}
	if standing == agatestate.Rejected {
		return true, c.dispute(writer, up, reason)
	}
	return true, nil
}

// mayPropose reports whether a change of an upstream of a service may be proposed now.
func (c *Control) mayPropose(service string) bool {
	return c.machine.Names(service) || c.machine.Config().Revision == 0 || c.unnamed.Allow()
}

// dispute logs that an announcement contradicts the fleet, and returns the error.
func (c *Control) dispute(writer netip.Addr, up *agatestate.Upstream, reason string) error {
	err := fmt.Errorf("%w: %s", ErrDisputed, reason)
	c.RefuseAnnouncement(writer, up.ID, reason, err)
	return err
}

// canLeave reports whether a deregistration changes the state of an upstream. One that has
// expired may still deregister, so that hosts do not go on to use it, and so may a later
// process that was contested.
func canLeave(known, up *agatestate.Upstream) bool {
	return !known.Gone || known.Expired || up.StartedAtMs > known.StartedAtMs
}

// RefuseAnnouncement logs that an announcement has no effect, once for each writer and
// reason. reason is one of a few fixed texts.
func (c *Control) RefuseAnnouncement(writer netip.Addr, id, reason string, err error) {
	if c.refusals.first(writer, reason, time.Now()) {
		c.log.Warn("announcement refused", "kind", "announce", "writer", writer, "choice", id, "reason", reason, "error", err)
	}
}

var errNoLeader = errors.New("agatecontrol: no leader is known")

// Evacuate starts or ends the evacuation of a failure domain, which gets no new
// work meanwhile. It returns once the group has stored the change.
func (c *Control) Evacuate(ctx context.Context, domain string, on bool) error {
	_, err := c.commit(ctx, agatestate.Command{Evacuate: &agatestate.Evacuate{Domain: domain, On: on}})
	c.log.Info("evacuation requested", "kind", "evacuate", "choice", domain, "on", on, "error", err)
	return err
}

// IsLeader reports whether this replica considers itself the leader.
func (c *Control) IsLeader() bool { return c.isLeader() }

// Leader returns the leader's address for agategate processes, if known.
func (c *Control) Leader() (netip.AddrPort, bool) {
	r := c.replica.Load()
	if r == nil {
		return netip.AddrPort{}, false
	}
	st := r.Status()
	if st.Role == agatequorum.Leader {
		return c.cfg.Settings.PeerAddr, true
	}
	addr := c.addressOf(st.Leader)
	return addr, st.Leader != 0 && addr.IsValid()
}
