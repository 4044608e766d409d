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

// Guards against requests that leave their region, and take its links, although the
// region has upstreams enough to even out how its objects fall to them. With few of
// them, a part of the objects has its first upstream elsewhere.
func TestLocalShareGrowsWithUpstreams(t *testing.T) {
	t.Parallel()
	tests := []struct {
		perRegion          int
		minShare, maxShare float64
	}{
		{perRegion: 4, minShare: 0.8, maxShare: 0.9},
		{perRegion: 100, minShare: 0.93, maxShare: 0.99},
		{perRegion: 300, minShare: 0.95, maxShare: 1},
	}
	for _, c := range tests {
		t.Run(fmt.Sprint(c.perRegion), func(t *testing.T) {
			table := agatebalance.New(agatebalance.Config{
				Host: "h1", Region: "a", Domain: "a-1", Regions: map[string]string{"a-1": "a", "b-1": "b", "c-1": "c"},
			})
			var infos []agatebalance.UpstreamInfo
			for i := range 3 * c.perRegion {
				info := newInfo(fmt.Sprintf("u%d", i))
				info.Domain = []string{"a-1", "b-1", "c-1"}[i%3]
				infos = append(infos, info)
			}
			now := time.Unix(1000, 0)
			table.UpdateUpstreams(now, infos, true, nil)
			rng := rand.New(rand.NewPCG(seed, 1))
			const requests = 4000
			local := 0
			for range requests {
				d := table.Choose(now, &agatebalance.Request{Service: "s", Route: &agateplan.Route{}, AffinityKey: rng.Uint64(), Deadline: now.Add(time.Second)})
				if d.Region == "a" {
					local++
				}
			}
			share := float64(local) / requests
			t.Logf("%.3f of the requests stay in the region", share)
			assert.Assert(t, share >= c.minShare && share <= c.maxShare)
		})
	}
}
