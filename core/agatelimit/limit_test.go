package agatelimit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatelimit"
)

// Guards against an older statement that replaces a newer one, and against a
// statement of an upstream's earlier process that outlives it.
func TestNewestStatementWins(t *testing.T) {
	var b agatelimit.Board
	now := time.Unix(1000, 0)
	report := func(startedAtMs int64, rate float64, age time.Duration) agatelimit.Report {
		return agatelimit.Report{Upstream: "u1", StartedAtMs: startedAtMs, Value: agatelimit.Limit{Named: true, Rate: rate}, Age: age}
	}
	rate := func() float64 {
		reports, _ := b.Since(now, 0)
		assert.Equal(t, len(reports), 1)
		return reports[0].Value.Rate
	}
	assert.Assert(t, b.Merge(now, []agatelimit.Report{report(1, 7, time.Second)}))
	assert.Assert(t, !b.Merge(now, []agatelimit.Report{report(1, 9, 2*time.Second)}), "an older statement")
	assert.Equal(t, rate(), 7.0)
	assert.Assert(t, !b.Merge(now, []agatelimit.Report{report(1, 7, 0)}), "the same limit, stated again")
	assert.Assert(t, b.Merge(now, []agatelimit.Report{report(2, 3, 5*time.Second)}), "a later process")
	assert.Assert(t, !b.Merge(now, []agatelimit.Report{report(1, 7, 0)}), "an earlier process")
	assert.Equal(t, rate(), 3.0)
}

// Guards against hosts that never learn of a statement, or of one that was replaced,
// whatever the order in which boards exchange them.
func TestBoardsConverge(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1000, 0)
		var replica agatelimit.Board
		hosts := make([]agatelimit.Board, 5)
		sent, got := make([]uint64, len(hosts)), make([]uint64, len(hosts))
		last := agatelimit.Report{}
		exchange := func(i int) {
			var reports []agatelimit.Report
			reports, sent[i] = hosts[i].Since(now, sent[i])
			replica.Merge(now, reports)
			reports, got[i] = replica.Since(now, got[i])
			hosts[i].Merge(now, reports)
		}
		for n := range 100 {
			now = now.Add(time.Duration(1+rng.IntN(200)) * time.Millisecond)
			i := rng.IntN(len(hosts))
			if rng.IntN(3) == 0 {
				last = agatelimit.Report{Upstream: "u1", StartedAtMs: 1, Value: agatelimit.Limit{Named: true, Rate: float64(n)}}
				hosts[i].Merge(now, []agatelimit.Report{last})
				continue
			}
			exchange(i)
		}
		for range 2 {
			for i := range hosts {
				exchange(i)
			}
		}
		for i := range hosts {
			reports, _ := hosts[i].Since(now, 0)
			assert.Equal(t, len(reports), 1)
			assert.Equal(t, reports[0].Value, last.Value, "seed %d, host %d", seed, i)
		}
	}
}
