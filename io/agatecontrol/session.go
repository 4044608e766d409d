package agatecontrol

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"sync"
	"time"

	"agategate/io/agatewire"
)

const (
	// sessionLease is how long an entry host counts as present after its last
	// heartbeat: four intervals of 500 ms and one for network delay.
	sessionLease = 2500 * time.Millisecond
	// sessionRetention is how long an entry host without heartbeats stays
	// visible to operators.
	sessionRetention = 10 * time.Minute
	// minLoadChange is the smallest change of a host's load that is sent to
	// other hosts. Smaller changes would alter the list with every heartbeat.
	minLoadChange = 0.1
)

// session is the leader's record of one entry host.
type session struct {
	host          string
	heartbeat     *agatewire.BeatAsk
	lastHeartbeat time.Time
	// reportedRevision is the revision that the host last reported to be in
	// force, reportedSince the time of its first such report.
	reportedRevision uint64
	reportedSince    time.Time
	// published is the state in the list, and version the list version of its
	// last change.
	published *agatewire.HostState
	version   uint64
	expired   bool
}

// sessions tracks the entry hosts that use an inventory and send heartbeats to
// the leader, in memory only: a new leader knows them after one heartbeat
// interval. Replies carry only the changes since the version that a host holds.
// It is safe for concurrent use.
type sessions struct {
	mu    sync.Mutex
	hosts map[string]*list.Element // of *session
	// order lists the hosts by the time of their last change, oldest first.
	order   *list.List
	version uint64
}

func newSessions() *sessions {
	return &sessions{hosts: make(map[string]*list.Element), order: list.New()}
}

// recordHeartbeat records the heartbeat of an entry host.
func (s *sessions) recordHeartbeat(now time.Time, heartbeat *agatewire.BeatAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := heartbeat.Sender.Host
	el := s.hosts[host]
	if el == nil {
		el = s.order.PushBack(&session{host: host, expired: true})
		s.hosts[host] = el
	}
	h := el.Value.(*session)
	if h.heartbeat == nil || h.reportedRevision != heartbeat.Sender.Revision || h.heartbeat.Sender.Epoch != heartbeat.Sender.Epoch {
		h.reportedRevision = heartbeat.Sender.Revision
		h.reportedSince = now
	}
	h.heartbeat = heartbeat
	h.lastHeartbeat = now
	state := h.state()
	if h.expired || differs(h.published, state) {
		h.published = state
		h.expired = false
		s.markChanged(el)
	}
}

// markChanged gives a host the newest list version.
func (s *sessions) markChanged(el *list.Element) {
	s.version++
	el.Value.(*session).version = s.version
	s.order.MoveToBack(el)
}

// differs reports whether other hosts need to be sent a change.
func differs(a, b *agatewire.HostState) bool {
	return a.Epoch != b.Epoch || a.Region != b.Region || a.Domain != b.Domain ||
		a.Caller != b.Caller || a.Peer != b.Peer || a.Draining != b.Draining ||
		a.Revision != b.Revision || math.Abs(a.Load-b.Load) >= minLoadChange
}

// sweep expires leases and removes hosts without a heartbeat for
// sessionRetention.
func (s *sessions) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, el := range s.hosts {
		h := el.Value.(*session)
		sinceHeartbeat := now.Sub(h.lastHeartbeat)
		if !h.expired && sinceHeartbeat > sessionLease {
			h.expired = true
			s.markChanged(el)
		}
		if sinceHeartbeat > sessionRetention {
			s.order.Remove(el)
			delete(s.hosts, host)
		}
	}
}

// fillReply adds the changes since the list version of the host that sent a
// heartbeat, or the whole list if the host holds that of another replica.
func (s *sessions) fillReply(reply *agatewire.BeatReply, epoch uint64, req *agatewire.BeatAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.View = epoch
	reply.Version = s.version
	reply.Whole = req.View != epoch
	for el := s.order.Back(); el != nil; el = el.Prev() {
		h := el.Value.(*session)
		if !reply.Whole && h.version <= req.Version {
			return
		}
		if h.expired {
			reply.Gone = append(reply.Gone, h.host)
			continue
		}
		reply.Hosts = append(reply.Hosts, h.published)
	}
}

// all returns copies of all sessions, ordered by host name.
func (s *sessions) all() []session {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]session, 0, len(s.hosts))
	for _, el := range s.hosts {
		out = append(out, *el.Value.(*session))
	}
	slices.SortFunc(out, func(a, b session) int { return cmp.Compare(a.host, b.host) })
	return out
}

func (h *session) state() *agatewire.HostState {
	return &agatewire.HostState{
		Host:     h.host,
		Epoch:    h.heartbeat.Sender.Epoch,
		Region:   h.heartbeat.Region,
		Domain:   h.heartbeat.Domain,
		Caller:   h.heartbeat.Caller,
		Peer:     h.heartbeat.Peer,
		Draining: h.heartbeat.Draining,
		Load:     h.heartbeat.Load,
		Revision: h.reportedRevision,
	}
}
