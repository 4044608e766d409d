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
	// heartbeat: four intervals of 500 ms and one for the way.
	sessionLease = 2500 * time.Millisecond
	// sessionKeep is how long a silent entry host is still shown to operators.
	sessionKeep = 10 * time.Minute
	// loadStep is the change of a host's load that others are told of. Smaller
	// changes would make every heartbeat a change of the list.
	loadStep = 0.1
)

// session is what the leader knows of one entry host.
type session struct {
	host string
	beat *agatewire.BeatAsk
	at   time.Time
	// inForce is the revision that the host last reported, since when.
	inForce uint64
	since   time.Time
	// told is the state that the list shows, version that of its last change.
	told    *agatewire.HostState
	version uint64
	gone    bool
}

// sessions are the entry hosts that send heartbeats to this replica. They are
// kept in memory only; a new leader knows them after one interval. Replies
// carry only what changed since the version that a host holds. They are safe
// for concurrent use.
type sessions struct {
	mu    sync.Mutex
	hosts map[string]*list.Element // of *session
	// order has the hosts in the order of their last change.
	order   *list.List
	version uint64
}

func newSessions() *sessions {
	return &sessions{hosts: make(map[string]*list.Element), order: list.New()}
}

// heard takes a heartbeat.
func (s *sessions) heard(now time.Time, beat *agatewire.BeatAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	host := beat.Sender.Host
	el := s.hosts[host]
	if el == nil {
		el = s.order.PushBack(&session{host: host, gone: true})
		s.hosts[host] = el
	}
	h := el.Value.(*session)
	if h.beat == nil || h.inForce != beat.Sender.Revision || h.beat.Sender.Epoch != beat.Sender.Epoch {
		h.inForce = beat.Sender.Revision
		h.since = now
	}
	h.beat = beat
	h.at = now
	state := h.state()
	if h.gone || differs(h.told, state) {
		h.told = state
		h.gone = false
		s.touch(el)
	}
}

// touch makes a host the one that changed last.
func (s *sessions) touch(el *list.Element) {
	s.version++
	el.Value.(*session).version = s.version
	s.order.MoveToBack(el)
}

// differs reports whether other hosts need to know of a change.
func differs(a, b *agatewire.HostState) bool {
	return a.Epoch != b.Epoch || a.Region != b.Region || a.Domain != b.Domain ||
		a.Caller != b.Caller || a.Peer != b.Peer || a.Draining != b.Draining ||
		a.Revision != b.Revision || math.Abs(a.Load-b.Load) >= loadStep
}

// sweep ends leases and forgets hosts that have been silent for long.
func (s *sessions) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, el := range s.hosts {
		h := el.Value.(*session)
		silent := now.Sub(h.at)
		if !h.gone && silent > sessionLease {
			h.gone = true
			s.touch(el)
		}
		if silent > sessionKeep {
			s.order.Remove(el)
			delete(s.hosts, host)
		}
	}
}

// fill writes the changes since the version that the sender of a heartbeat
// holds, or the whole list when it holds another replica's.
func (s *sessions) fill(reply *agatewire.BeatReply, epoch uint64, ask *agatewire.BeatAsk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.View = epoch
	reply.Version = s.version
	reply.Whole = ask.View != epoch
	for el := s.order.Back(); el != nil; el = el.Prev() {
		h := el.Value.(*session)
		if !reply.Whole && h.version <= ask.Version {
			return
		}
		if h.gone {
			reply.Gone = append(reply.Gone, h.host)
			continue
		}
		reply.Hosts = append(reply.Hosts, h.told)
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
		Epoch:    h.beat.Sender.Epoch,
		Region:   h.beat.Region,
		Domain:   h.beat.Domain,
		Caller:   h.beat.Caller,
		Peer:     h.beat.Peer,
		Draining: h.beat.Draining,
		Load:     h.beat.Load,
		Revision: h.inForce,
	}
}
