package agateentry

import (
	"slices"
	"strconv"
	"sync"

	"agategate/core/agateroute"
	"agategate/core/agatesuspect"
	"agategate/io/agateclient"
	"agategate/io/agatewire"
)

// requestFingerprint is the fingerprint of a request and whether the request is
// a suspect.
type requestFingerprint struct {
	fingerprint agatesuspect.Fingerprint
	// suspect is set if the request may only run isolated.
	suspect bool
}

// suspects tracks the requests that were in flight when an upstream died. It is
// safe for concurrent use.
type suspects struct {
	e *Entry

	mu      sync.Mutex
	tracker *agatesuspect.Tracker
	// answered holds fingerprints of requests that an upstream has answered.
	answered generationSet
	// incarnations holds the highest announced incarnation of each upstream.
	incarnations map[agateroute.UpstreamID]uint64
}

func newSuspects(e *Entry) *suspects {
	return &suspects{
		e:            e,
		tracker:      agatesuspect.New(agatesuspect.Config{}),
		incarnations: make(map[agateroute.UpstreamID]uint64),
	}
}

// setIncarnation records the announced incarnation of an upstream.
func (s *suspects) setIncarnation(id agateroute.UpstreamID, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[id] = max(s.incarnations[id], incarnation)
}

// forget removes the incarnation of an upstream that was removed.
func (s *suspects) forget(id agateroute.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.incarnations, id)
}

// instance returns a name for the current incarnation of an upstream, and the
// incarnation. s.mu must be held.
func (s *suspects) instance(id agateroute.UpstreamID) (name string, incarnation uint64) {
	n := s.incarnations[id]
	return string(id) + "#" + strconv.FormatUint(n, 10), n
}

// trackInFlight records that a request is about to be sent to an upstream. The
// returned function must be called when the request has ended.
func (s *suspects) trackInFlight(f requestFingerprint, id agateroute.UpstreamID) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, _ := s.instance(id)
	s.tracker.Start(f.fingerprint, name)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tracker.Finish(f.fingerprint, name)
	}
}

// check returns whether a request may run, run isolated, or is refused. A
// request that another upstream has answered is not a suspect after one death,
// so that a frequent request is not isolated because it happened to be in flight
// at the upstream that died.
func (s *suspects) check(f agatesuspect.Fingerprint) agatesuspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.tracker.Check(f)
	if v == agatesuspect.Suspect && s.answered.contains(f) {
		return agatesuspect.Clear
	}
	return v
}

// markAnswered records that an upstream has answered a request.
func (s *suspects) markAnswered(f agatesuspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.add(f)
}

// upstreamDied records the death of an upstream. It returns the fingerprints
// that were in flight there and that no upstream has answered.
func (s *suspects) upstreamDied(id agateroute.UpstreamID) (fingerprints []agatesuspect.Fingerprint, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, n := s.instance(id)
	all := s.tracker.UpstreamDied(name)
	return slices.DeleteFunc(all, s.answered.contains), n
}

// generationSize is the limit of fingerprints in one generation. The fingerprints
// of two generations, 16 bytes each, take 1 MiB, or about 2 MiB with the overhead
// of the maps.
const generationSize = 32768

// generationSet is a bounded set of two generations. When the current
// generation is full, the previous one is dropped and the current one takes its
// place.
type generationSet struct {
	current  map[agatesuspect.Fingerprint]struct{}
	previous map[agatesuspect.Fingerprint]struct{}
}

func (g *generationSet) add(f agatesuspect.Fingerprint) {
	if g.current == nil || len(g.current) >= generationSize {
		g.previous = g.current
		g.current = make(map[agatesuspect.Fingerprint]struct{})
	}
	g.current[f] = struct{}{}
}

func (g *generationSet) contains(f agatesuspect.Fingerprint) bool {
	if _, ok := g.current[f]; ok {
		return true
	}
	_, ok := g.previous[f]
	return ok
}

func (s *suspects) index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Index()
}

// count returns the number of fingerprints that are suspect or refused.
func (s *suspects) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.tracker.Since(0) {
		if s.tracker.Check(r.Fingerprint) != agatesuspect.Clear {
			n++
		}
	}
	return n
}

// mergeControl merges the records of the control group.
func (s *suspects) mergeControl(reply *agatewire.BeatReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Merge(agateclient.FromWireSuspects(reply.Suspects), reply.Index)
}

// mergePeer merges the records of a peer.
func (s *suspects) mergePeer(list []*agatewire.Suspect) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Merge(agateclient.FromWireSuspects(list), 0)
}

// export returns, for the peers, the records at or after the last index that this
// host has received from the control group. They include deaths that the group
// has not committed yet.
func (s *suspects) export() []*agatewire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.tracker.Since(s.tracker.Index())
	out := make([]*agatewire.Suspect, 0, len(list))
	for _, r := range list {
		out = append(out, &agatewire.Suspect{
			Print:   r.Fingerprint[:],
			Deaths:  uint32(r.Deaths),
			Index:   r.Index,
			Cleared: r.ClearedIndex,
		})
	}
	return out
}
