package agatefront

import (
	"context"
	"slices"
	"sync"
	"time"

	"agategate/core/agatestate"
	"agategate/core/agatesuspect"
	"agategate/io/agateclient"
	"agategate/io/agatewire"
)

const (
	// reportTime bounds the report of an upstream's death.
	reportTime = 3 * time.Second
	// answeredMost bounds the fingerprints that are known to be harmless.
	answeredMost = 32768
	// refusedFor is how long a request is refused after the last death that it
	// is held to have caused. An upstream that dies of something else twice
	// with a request in flight must not end its service for good.
	refusedFor = 30 * time.Second
	// absolveAgain is how long a host waits before it states once more that a
	// request is harmless.
	absolveAgain = 2 * time.Second
)

// suspects is what this host knows of requests that crash upstreams. It is
// safe for concurrent use.
type suspects struct {
	mu       sync.Mutex
	tracker  *agatesuspect.Tracker
	answered map[agatesuspect.Fingerprint]struct{}
	// blamed is when this host learned of the last death of a request, and
	// stated when it last told the control group that one is harmless.
	blamed map[agatesuspect.Fingerprint]time.Time
	stated map[agatesuspect.Fingerprint]time.Time
}

func newSuspects() *suspects {
	return &suspects{
		tracker:  agatesuspect.New(agatesuspect.Config{}),
		answered: make(map[agatesuspect.Fingerprint]struct{}),
		blamed:   make(map[agatesuspect.Fingerprint]time.Time),
		stated:   make(map[agatesuspect.Fingerprint]time.Time),
	}
}

// refused returns for how much longer a request must not run, because
// upstreams died of it. Zero means that it may run.
func (s *suspects) refused(now time.Time, p agatesuspect.Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, harmless := s.answered[p]; harmless || s.tracker.Check(p) != agatesuspect.Refused {
		return 0
	}
	return max(0, s.blamed[p].Add(refusedFor).Sub(now))
}

// blame notes the time of a death. The caller holds mu.
func (s *suspects) blame(now time.Time, p agatesuspect.Fingerprint) {
	if len(s.blamed) >= answeredMost {
		clear(s.blamed)
	}
	s.blamed[p] = now
}

// running notes a request at an upstream, and returns what ends the note.
func (s *suspects) running(p agatesuspect.Fingerprint, upstream string) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Start(p, upstream)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tracker.Finish(p, upstream)
	}
}

// survived notes that an upstream answered a request.
func (s *suspects) survived(p agatesuspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answered) >= answeredMost {
		clear(s.answered)
	}
	s.answered[p] = struct{}{}
}

// died returns the requests that were in flight at an upstream, but for those
// that an upstream has answered before.
func (s *suspects) died(now time.Time, upstream string) []agatesuspect.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	prints := slices.DeleteFunc(s.tracker.UpstreamDied(upstream), func(p agatesuspect.Fingerprint) bool {
		_, harmless := s.answered[p]
		return harmless
	})
	for _, p := range prints {
		s.blame(now, p)
	}
	return prints
}

// merge takes the control group's records. It returns those requests among
// them that an upstream has answered, which the group is to be told.
func (s *suspects) merge(now time.Time, reply *agatewire.WatchReply) (harmless []agatestate.Fingerprint) {
	if len(reply.Suspects) == 0 && reply.Index == 0 {
		return nil
	}
	list := agateclient.SuspectRecords(reply.Suspects)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range list {
		if r.Deaths == 0 {
			continue
		}
		s.blame(now, r.Fingerprint)
		if _, answered := s.answered[r.Fingerprint]; answered && now.Sub(s.stated[r.Fingerprint]) > absolveAgain {
			s.stated[r.Fingerprint] = now
			harmless = append(harmless, agateclient.StateFingerprint(r.Fingerprint))
		}
	}
	if len(s.stated) >= answeredMost {
		clear(s.stated)
	}
	s.tracker.Merge(list, reply.Index)
	return harmless
}

func (s *suspects) index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Index()
}

// report tells the control group which requests were in flight at an upstream
// that died.
func (f *Front) report(upstream string) {
	prints := f.suspects.died(time.Now(), upstream)
	if len(prints) == 0 {
		return
	}
	death := &agatestate.Death{Host: f.cfg.Name, Upstream: upstream}
	for _, p := range prints {
		death.Fingerprints = append(death.Fingerprints, agateclient.StateFingerprint(p))
	}
	f.log.Warn("upstream died", "kind", "suspect", "choice", upstream, "prints", len(prints), "first", prints[0])
	f.submit(agatestate.Command{Death: death})
}

// absolve tells the control group which suspects an upstream has answered.
func (f *Front) absolve(prints []agatestate.Fingerprint) {
	if len(prints) == 0 {
		return
	}
	f.log.Info("suspects are harmless", "kind", "suspect", "prints", len(prints))
	f.submit(agatestate.Command{ClearSuspects: &agatestate.ClearSuspects{Fingerprints: prints}})
}

// submit hands a command to the control group, in the background.
func (f *Front) submit(cmd agatestate.Command) {
	f.duties.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, reportTime)
		defer cancel()
		client := agateclient.New(agateclient.Config{Replicas: f.link.replicas(), Dialer: f.dialer, Sender: f.sender})
		if _, outcome := client.Submit(ctx, agatestate.Encode(cmd)); outcome != agateclient.Applied {
			f.log.Warn("suspects not reported", "kind", "suspect", "outcome", int(outcome))
		}
	})
}

// sender is the identity that each message carries.
func (f *Front) sender() *agatewire.Sender {
	return &agatewire.Sender{Host: f.cfg.Name, Epoch: f.epoch, Revision: f.link.revision()}
}
