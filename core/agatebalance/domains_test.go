package agatebalance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
)

// Guards against a host that finds out about each upstream of a lost failure domain by
// a request that waits in vain, and against one that gives up a domain because some of
// its upstreams fail.
func TestLostDomainIsAvoided(t *testing.T) {
	const (
		lostAt, backAt, end = 2 * time.Second, 8 * time.Second, 14 * time.Second
		latency             = 50 * time.Millisecond
		connectTimeout      = 500 * time.Millisecond
	)
	tests := []struct {
		perDomain int     // upstreams in each of three failure domains
		rate      float64 // requests per second at the host
		lost      int     // upstreams of the first domain that are lost
		maxFailed int     // requests that may wait in vain while the domain is lost
		minUsed   int     // requests that the domain must get after it is back, or beside the lost upstreams
	}{
		// Of a lost domain, three upstreams fail, and the requests that arrive until the
		// third attempt has timed out. Then one trial each follows after 0.5, 1, 2 and 2 s.
		{perDomain: 4, rate: 20, lost: 4, maxFailed: 3 + 10 + 4, minUsed: 20},
		{perDomain: 60, rate: 20, lost: 60, maxFailed: 3 + 10 + 4, minUsed: 20},
		{perDomain: 200, rate: 100, lost: 200, maxFailed: 3 + 50 + 4, minUsed: 100},
		{perDomain: 60, rate: 20, lost: 10, maxFailed: 60, minUsed: 30},
	}
	for _, c := range tests {
		t.Run(fmt.Sprintf("%d-of-%d", c.lost, c.perDomain), func(t *testing.T) {
			table := newTable()
			var infos []agatebalance.UpstreamInfo
			lost := map[string]bool{}
			for i := range 3 * c.perDomain {
				info := newInfo(fmt.Sprintf("u%d", i))
				info.Domain = []string{"a-1", "b-1", "c-1"}[i%3]
				lost[info.ID] = i%3 == 0 && i/3 < c.lost
				infos = append(infos, info)
			}
			begin := time.Unix(1000, 0)
			table.UpdateUpstreams(begin, infos, true, nil)
			rng := rand.New(rand.NewPCG(seed, 1))
			failed, used := 0, 0
			ends := map[int][]func(now time.Time){}
			for ms := range int(end / time.Millisecond) {
				at := time.Duration(ms) * time.Millisecond
				now := begin.Add(at)
				for _, run := range ends[ms] {
					run(now)
				}
				if rng.Float64() >= c.rate/1000 {
					continue
				}
				d := table.Choose(now, &agatebalance.Request{
					Service: "s", Route: &agateplan.Route{}, AffinityKey: rng.Uint64(), Deadline: now.Add(2 * time.Second),
				})
				assert.Assert(t, d.Upstream != "")
				table.Start(now, d.Upstream)
				took, o := latency, agatebalance.Observation{Outcome: agatebalance.Answered, Latency: latency, Basis: d.Basis}
				if lost[d.Upstream] && at >= lostAt && at < backAt {
					failed++
					took, o = connectTimeout, agatebalance.Observation{Outcome: agatebalance.NotSent, Unreachable: true}
				} else if d.Region == "a" && (at >= backAt+3*time.Second || c.lost < c.perDomain && at >= lostAt && at < backAt) {
					used++
				}
				ends[ms+int(took/time.Millisecond)] = append(ends[ms+int(took/time.Millisecond)], func(now time.Time) { table.Finish(now, d.Upstream, o) })
			}
			t.Logf("%d requests waited in vain, %d used the domain", failed, used)
			assert.Assert(t, failed <= c.maxFailed)
			assert.Assert(t, used >= c.minUsed)
		})
	}
}
