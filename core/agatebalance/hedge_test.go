package agatebalance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// firstRuns is a service that starts with empty caches, at a third of its capacity. A
// request for an object that is not cached takes twice the target. With many hosts,
// each one sees an object seldom.
func firstRuns(hosts int) workload {
	perRegion := max(1, hosts*4/15)
	return workload{
		name: fmt.Sprint("first-runs-", hosts), hosts: hosts, upstreams: [3]int{perRegion, perRegion, perRegion}, slots: 4,
		rate: 12.4 * float64(perRegion), objects: 3 * perRegion, cacheSize: 17,
		serviceTime: 1200 * time.Millisecond, cachedFactor: 0.25,
		target: 600 * time.Millisecond, deadline: 1350 * time.Millisecond, duration: 10 * time.Second,
	}
}

// Guards against requests that wait for the first run of an object although a second
// one is answered sooner.
func TestHedgesOvertakeFirstRuns(t *testing.T) {
	t.Parallel()
	// Few hosts have few requests, of which more runs give a mean.
	runs := map[int]int{3: 32, 21: 8, 96: 2, 300: 1}
	for _, hosts := range []int{3, 21, 96, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			var requests, copies, inTime, inTimeWithout int
			for i := range runs[hosts] {
				w := firstRuns(hosts)
				w.duration = 5 * time.Second
				got := simulate(w, seed+uint64(i), newTablePolicy)
				w.noHedges = true
				without := simulate(w, seed+uint64(i), newTablePolicy)
				requests += got.requests
				copies += got.copies
				inTime += got.inTime
				inTimeWithout += without.inTime
			}
			t.Logf("of %d requests %d in time, without copies %d, copies %d", requests, inTime, inTimeWithout, copies)
			assert.Assert(t, float64(requests-inTime) < 0.95*float64(requests-inTimeWithout))
			budget := 0.1*float64(requests) + 10*float64(hosts*runs[hosts])
			assert.Assert(t, float64(copies) <= budget, "%d copies, budget %.0f", copies, budget)
		})
	}
}

// Guards against copies without use, to upstreams that make a copy wait until the
// original has loaded the object. The caches are too small for all objects.
func TestHedgesEndIfUseless(t *testing.T) {
	w := firstRuns(96)
	w.name, w.hosts = "shared-loads", 3
	w.rate /= 3
	w.objects *= 10
	w.duration *= 6
	useful := simulate(w, seed, newTablePolicy)
	w.sharedLoads = true
	got := simulate(w, seed, newTablePolicy)
	t.Logf("copies %d, %d where they are of use, of %d requests", got.copies, useful.copies, got.requests)
	assert.Assert(t, got.copies < useful.copies/4)
}
