package agatequorum_test

import (
	"slices"
	"testing"
	"time"

	"agategate/core/agatequorum"
)

// BenchmarkFailover measures, on virtual time, how long a group cannot commit
// after its leader crashes. Its five replicas are spread over three regions
// (2-2-1). The one-way delay is 20 ms on each link except that between replicas 1
// and 2.
func BenchmarkFailover(b *testing.B) {
	var gaps []time.Duration
	for seed := uint64(0); b.Loop(); seed++ {
		s := newSim(b, seed)
		s.startGroup(5)
		for id := uint64(3); id <= 5; id++ {
			s.oneWayDelay[id] = 20 * time.Millisecond
		}
		var old *simNode
		newLeader := func() bool {
			l := s.leader()
			return l != nil && l != old && l.core.Status().Role == agatequorum.Leader && l.core.Status().Commit == l.core.Status().LastIndex
		}
		if !s.runUntil(s.now+10*time.Second, newLeader) {
			b.Fatal("no leader within 10 s")
		}
		s.advance(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
		old = s.leader()
		crashed := s.now
		old.crash()
		if !s.runUntil(s.now+10*time.Second, newLeader) {
			b.Fatal("no new leader within 10 s")
		}
		gaps = append(gaps, s.now-crashed)
	}
	slices.Sort(gaps)
	for name, i := range map[string]int{"p50-ms": len(gaps) / 2, "p99-ms": len(gaps) * 99 / 100, "max-ms": len(gaps) - 1} {
		b.ReportMetric(float64(gaps[i])/float64(time.Millisecond), name)
	}
}
