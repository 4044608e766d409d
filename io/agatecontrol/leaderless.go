package agatecontrol

import (
	"context"
	"net/netip"
	"time"

	"agategate/core/agatequorum"
)

const (
	// leaderlessCheckInterval is the interval at which a replica checks for how long it
	// has known no leader.
	leaderlessCheckInterval = time.Second
	// leaderlessAfter is the time without a leader after which a replica reports it. It
	// is longer than several elections.
	leaderlessAfter = 5 * time.Second
	// leaderlessRepeat is the time after which it reports it again.
	leaderlessRepeat = 30 * time.Second
)

// leaderless tells when a replica without a leader reports that. The zero value knows a
// leader.
type leaderless struct {
	since    time.Time // when the replica began to know no leader, or zero
	reported time.Time // the last report since then, or zero
}

// due reports whether the absence of a leader is to be reported now, and whether a
// leader is known again after such a report.
func (l *leaderless) due(now time.Time, hasLeader bool) (report, ended bool) {
	if hasLeader {
		ended = !l.reported.IsZero()
		*l = leaderless{}
		return false, ended
	}
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) < leaderlessAfter || (!l.reported.IsZero() && now.Sub(l.reported) < leaderlessRepeat) {
		return false, false
	}
	l.reported = now
	return true, false
}

// voterCount counts the voters of a membership by what became of them.
type voterCount struct {
	voters int
	// alive are those that answer, lost those in whose place another replica answers,
	// which has lost their disk. The others are unreachable.
	alive, lost int
}

// countVoters counts the voters. idAt returns the ID of the replica at an address.
func countVoters(ms agatequorum.Members, self uint64, idAt func(netip.AddrPort) (uint64, bool)) voterCount {
	var n voterCount
	for _, m := range ms {
		if m.Learner {
			continue
		}
		n.voters++
		if m.ID == self {
			n.alive++
			continue
		}
		switch id, ok := idAt(m.Address); {
		case ok && id == m.ID:
			n.alive++
		case ok:
			n.lost++
		}
	}
	return n
}

// needed returns the number of voters that elect a leader.
func (n voterCount) needed() int { return n.voters/2 + 1 }

// majorityLost reports whether so many voters have lost their disks that the others can
// never elect a leader again.
func (n voterCount) majorityLost() bool { return n.voters-n.lost < n.needed() }

// reportLeaderless logs that no leader is known, and whether the group can elect one
// again by itself.
func (c *Control) reportLeaderless(context.Context) {
	st := c.replica.Load().Status()
	report, ended := c.leaderless.due(time.Now(), st.Leader != 0)
	if ended {
		c.log.Info("a leader is known again", "kind", "placement", "choice", c.addressOf(st.Leader), "term", st.Term)
	}
	if !report {
		return
	}
	n := countVoters(st.Members, c.id, c.identityAt)
	fields := []any{
		"kind", "placement", "voters", n.voters, "needed", n.needed(), "alive", n.alive, "lost", n.lost,
		"member", st.Members.IsVoter(c.id), "term", st.Term, "applied", st.Applied,
	}
	if n.majorityLost() {
		c.log.Error("a majority of the voters has lost its disk: no leader can be elected without an operator, changes and reads are refused", fields...)
		return
	}
	c.log.Warn("no leader is known, changes and reads are refused", fields...)
}
