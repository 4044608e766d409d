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

// printed is a request with its fingerprint.
type printed struct {
	print agatesuspect.Fingerprint
	// suspect says that the request may only run alone.
	suspect bool
}

// suspects is what this host knows of requests that were in flight when an
// upstream died. It is safe for concurrent use.
type suspects struct {
	e *Entry

	mu      sync.Mutex
	tracker *agatesuspect.Tracker
	// answered are fingerprints that an upstream answered.
	answered generations
	// incarnations are the last announced ones, by upstream.
	incarnations map[agateroute.UpstreamID]uint64
}

func newSuspects(e *Entry) *suspects {
	return &suspects{
		e:            e,
		tracker:      agatesuspect.New(agatesuspect.Config{}),
		incarnations: make(map[agateroute.UpstreamID]uint64),
	}
}

// announced notes the incarnation of an upstream.
func (s *suspects) announced(id agateroute.UpstreamID, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[id] = max(s.incarnations[id], incarnation)
}

// forget drops the incarnation of an upstream that is gone.
func (s *suspects) forget(id agateroute.UpstreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.incarnations, id)
}

// run names one start of an upstream.
func (s *suspects) run(id agateroute.UpstreamID) (name string, incarnation uint64) {
	n := s.incarnations[id]
	return string(id) + "#" + strconv.FormatUint(n, 10), n
}

// running notes that a request is about to be sent, and returns what ends the
// note.
func (s *suspects) running(p printed, id agateroute.UpstreamID) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, _ := s.run(id)
	s.tracker.Start(p.print, name)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tracker.Finish(p.print, name)
	}
}

// check returns how a request may run. One death proves nothing against a
// request that another upstream has answered, so a popular request is not held
// back because it was on the upstream that died.
func (s *suspects) check(f agatesuspect.Fingerprint) agatesuspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.tracker.Check(f)
	if v == agatesuspect.Suspect && s.answered.has(f) {
		return agatesuspect.Clear
	}
	return v
}

// survived notes that an upstream answered a request.
func (s *suspects) survived(f agatesuspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.add(f)
}

// died takes the fingerprints that were in flight at an upstream, but for
// those that an upstream has answered.
func (s *suspects) died(id agateroute.UpstreamID) (prints []agatesuspect.Fingerprint, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, n := s.run(id)
	all := s.tracker.UpstreamDied(name)
	return slices.DeleteFunc(all, s.answered.has), n
}

// generationSize bounds the fingerprints of one generation: with 16 bytes
// each, both take about 2 MiB.
const generationSize = 32768

// generations is a bounded set that forgets its oldest half when it is full.
type generations struct {
	young map[agatesuspect.Fingerprint]struct{}
	old   map[agatesuspect.Fingerprint]struct{}
}

func (g *generations) add(f agatesuspect.Fingerprint) {
	if g.young == nil || len(g.young) >= generationSize {
		g.old = g.young
		g.young = make(map[agatesuspect.Fingerprint]struct{})
	}
	g.young[f] = struct{}{}
}

func (g *generations) has(f agatesuspect.Fingerprint) bool {
	if _, ok := g.young[f]; ok {
		return true
	}
	_, ok := g.old[f]
	return ok
}

func (s *suspects) index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Index()
}

// count returns the number of fingerprints that run only alone or are refused.
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

// control takes what the control group knows.
func (s *suspects) control(reply *agatewire.BeatReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Merge(agateclient.SuspectRecords(reply.Suspects), reply.Index)
}

// merge takes what a peer knows.
func (s *suspects) merge(list []*agatewire.Suspect) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Merge(agateclient.SuspectRecords(list), 0)
}

// export returns the records that the control group may not have told peers.
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
