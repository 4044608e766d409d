package agatequorum_test

import (
	"slices"
	"testing"
	"time"

	"agategate/core/agatequorum"
)

// BenchmarkFailover measures, on virtual time, how long a group of five over
// three regions (2-2-1, 20 ms apart) commits nothing after its leader crashes.
func BenchmarkFailover(b *testing.B) {
	var gaps []time.Duration
	for seed := uint64(0); b.Loop(); seed++ {
		s := newSim(b, seed)
		s.group(5)
		for id := uint64(3); id <= 5; id++ {
			s.delays[id] = 20 * time.Millisecond
		}
		var old *simNode
		lead := func() bool {
			l := s.leader()
			return l != nil && l != old && l.core.Status().Role == agatequorum.Leader && l.core.Status().Commit == l.core.Status().Last
		}
		if !s.runUntil(s.now+10*time.Second, lead) {
			b.Fatal("no leader within 10 s")
		}
		s.advance(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
		old = s.leader()
		crashed := s.now
		old.crash()
		if !s.runUntil(s.now+10*time.Second, lead) {
			b.Fatal("no new leader within 10 s")
		}
		gaps = append(gaps, s.now-crashed)
	}
	slices.Sort(gaps)
	for name, at := range map[string]int{"p50-ms": len(gaps) / 2, "p99-ms": len(gaps) * 99 / 100, "max-ms": len(gaps) - 1} {
		b.ReportMetric(float64(gaps[at])/float64(time.Millisecond), name)
	}
}
