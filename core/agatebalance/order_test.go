package agatebalance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agateplan"
)

// orderTable returns a Table with upstreams of one service, all in the region of the
// host, and a plan that orders them by ordinal and slots.
func orderTable(upstreams []UpstreamInfo) *Table {
	t := New(Config{Host: "h", Region: "ra", Domain: "a", Regions: map[string]string{"a": "ra"}})
	t.SetPlan(agateplan.NewIndex(&agateplan.Plan{Version: 1, Ordinals: true}))
	t.UpdateUpstreams(time.Unix(1000, 0), upstreams, true, nil)
	return t
}

func orderUpstream(id string, ordinal, slots int) UpstreamInfo {
	return UpstreamInfo{
		ID: id, Service: "s", Domain: "a", Slots: slots, Ordinal: ordinal, StartedAtMs: 1, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), 80),
	}
}

// fleetOf returns n upstreams of 4, 6 or 9 slots.
func fleetOf(n int) (list []UpstreamInfo) {
	for i := range n {
		list = append(list, orderUpstream(fmt.Sprintf("u%d", i), i+1, []int{4, 6, 9}[i%3]))
	}
	return list
}

// firstOf returns the first upstream in the order of each of n objects.
func firstOf(t *Table, n int) []string {
	out := make([]string, n)
	for k := range out {
		best := math.Inf(1)
		for _, u := range t.service("s").upstreams {
			if score := u.score(uint64(k)*0x9e3779b97f4a7c15 | 1); score < best {
				best, out[k] = score, u.info.ID
			}
		}
	}
	return out
}

// moved returns the share of the objects whose first upstream differs.
func moved(a, b []string) float64 {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return float64(n) / float64(len(a))
}

const orderObjects = 100000

// Guards against shares of objects that do not follow the sizes of upstreams.
func TestSharesFollowSlots(t *testing.T) {
	list := fleetOf(100)
	count := map[string]int{}
	for _, id := range firstOf(orderTable(list), orderObjects) {
		count[id]++
	}
	total := 0
	shares := map[int]float64{} // by slots
	for _, u := range list {
		total += u.Slots
		shares[u.Slots] += float64(count[u.ID])
	}
	for slots, objects := range shares {
		want := 0
		for _, u := range list {
			if u.Slots == slots {
				want += u.Slots
			}
		}
		ratio := objects / orderObjects * float64(total) / float64(want)
		assert.Assert(t, math.Abs(ratio-1) < 0.05, "upstreams with %d slots get %.3f of their part", slots, ratio)
	}
}

// Guards against objects that move although neither their old nor their new upstream has
// been added, removed or replaced, and against orders that depend on that of events.
func TestFewObjectsMove(t *testing.T) {
	t.Parallel()
	const n = 100
	list := fleetOf(n)
	before := firstOf(orderTable(list), orderObjects)

	added := firstOf(orderTable(append(fleetOf(n), orderUpstream("new", n+1, 6))), orderObjects)
	assert.Assert(t, moved(before, added) <= 1.0/n+0.02, "added: %.4f moved", moved(before, added))
	for i := range before {
		assert.Assert(t, before[i] == added[i] || added[i] == "new", "an object moved between others")
	}

	removed := firstOf(orderTable(fleetOf(n)[1:]), orderObjects)
	assert.Assert(t, moved(before, removed) <= 1.0/n+0.02, "removed: %.4f moved", moved(before, removed))

	// A release: the new upstream has the ordinal of the one that it replaces.
	replaced := fleetOf(n)
	for i := range n / 3 {
		replaced[i].ID = "new-" + replaced[i].ID
	}
	after := firstOf(orderTable(replaced), orderObjects)
	for i := range before {
		assert.Assert(t, after[i] == before[i] || after[i] == "new-"+before[i], "%s became %s", before[i], after[i])
	}

	rng := rand.New(rand.NewPCG(1, 1))
	rng.Shuffle(n, func(i, j int) { list[i], list[j] = list[j], list[i] })
	tb := orderTable(list[:n/2])
	for _, u := range list[n/2:] {
		tb.UpdateUpstreams(time.Unix(1001, 0), []UpstreamInfo{u}, false, nil)
	}
	assert.Equal(t, moved(before, firstOf(tb, orderObjects)), 0.0, "the order depends on that of events")
}

// Guards against another order for plans that do not ask for ordinals, and for upstreams
// of the same size.
func TestOrderWithoutOrdinals(t *testing.T) {
	list := fleetOf(20)
	plain := orderTable(list)
	plain.SetPlan(agateplan.NewIndex(&agateplan.Plan{Version: 2}))
	for _, u := range plain.service("s").upstreams {
		for key := range uint64(1000) {
			assert.Equal(t, u.score(key), keyScore(key, u.info.ID))
		}
	}
}

// BenchmarkScore measures the order of 300 upstreams for one object.
func BenchmarkScore(b *testing.B) {
	for _, ordinals := range []bool{false, true} {
		b.Run(fmt.Sprintf("ordinals=%t", ordinals), func(b *testing.B) {
			t := orderTable(fleetOf(300))
			t.SetPlan(agateplan.NewIndex(&agateplan.Plan{Version: 1, Ordinals: ordinals}))
			for b.Loop() {
				for _, u := range t.service("s").upstreams {
					u.score(12345)
				}
			}
		})
	}
}
