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
)

// suspects is what this host knows of requests that crash upstreams. It is
// safe for concurrent use.
type suspects struct {
	mu       sync.Mutex
	tracker  *agatesuspect.Tracker
	answered map[agatesuspect.Fingerprint]struct{}
}

func newSuspects() *suspects {
	return &suspects{
		tracker:  agatesuspect.New(agatesuspect.Config{}),
		answered: make(map[agatesuspect.Fingerprint]struct{}),
	}
}

// refused reports whether a request must not run, because upstreams died of
// it.
func (s *suspects) refused(p agatesuspect.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Check(p) == agatesuspect.Refused
}

// running notes a request at an upstream, and returns what ends the note.
func (s *suspects) running(p agatesuspect.Fingerprint, upstream string) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Running(p, upstream)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tracker.Done(p, upstream)
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
func (s *suspects) died(upstream string) []agatesuspect.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.tracker.Died(upstream), func(p agatesuspect.Fingerprint) bool {
		_, harmless := s.answered[p]
		return harmless
	})
}

// merge takes the control group's records.
func (s *suspects) merge(reply *agatewire.WatchReply) {
	if len(reply.Suspects) == 0 && reply.Index == 0 {
		return
	}
	list := make([]agatesuspect.Record, 0, len(reply.Suspects))
	for _, w := range reply.Suspects {
		r := agatesuspect.Record{Deaths: int(w.Deaths), Index: w.Index}
		if w.Deaths == 0 {
			r.Cleared = w.Index
		}
		if copy(r.Print[:], w.Print) == len(r.Print) {
			list = append(list, r)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Merge(list, reply.Index)
}

func (s *suspects) index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Index()
}

// report tells the control group which requests were in flight at an upstream
// that died.
func (f *Front) report(upstream string) {
	prints := f.suspects.died(upstream)
	if len(prints) == 0 {
		return
	}
	death := &agatestate.Death{Host: f.cfg.Name, Upstream: upstream}
	for _, p := range prints {
		var print agatestate.Fingerprint
		copy(print[:], p[:])
		death.Prints = append(death.Prints, print)
	}
	f.log.Warn("upstream died", "kind", "suspect", "choice", upstream, "prints", len(prints), "first", prints[0])
	f.duties.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, reportTime)
		defer cancel()
		client := agateclient.New(agateclient.Config{Replicas: f.link.replicas(), Dialer: f.dialer, Sender: f.sender})
		_, outcome := client.Submit(ctx, agatestate.Encode(agatestate.Command{Death: death}))
		if outcome != agateclient.Applied {
			f.log.Warn("death not reported", "kind", "suspect", "choice", upstream, "outcome", int(outcome))
		}
	})
}

// sender is the identity that each message carries.
func (f *Front) sender() *agatewire.Sender {
	return &agatewire.Sender{Host: f.cfg.Name, Epoch: f.epoch, Revision: f.link.revision()}
}
