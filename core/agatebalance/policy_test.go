package agatebalance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The workloads are those of a service whose upstreams work three times as
// long on objects that they do not know, and that cannot carry its load unless
// most requests meet a known object.
var base = load{
	objects: 57, keeps: 59, work: 240 * time.Millisecond, warm: 0.3, slots: 5, upstreams: [3]int{4, 6, 2}, hosts: 9,
	target: 200 * time.Millisecond, deadline: 1200 * time.Millisecond, length: 20 * time.Second,
}

func with(name string, change func(*load)) load {
	l := base
	l.name = name
	change(&l)
	return l
}

type workload struct {
	load  load
	least float64 // share in time that the users' target asks for
}

var workloads = []workload{
	{with("calm", func(l *load) { l.rate = 230 }), 0.9},
	{with("high", func(l *load) { l.rate = 458 }), 0.75},
	{with("burst", func(l *load) { l.rate = 400; l.burst = 1.5 }), 0.75},
	{with("over", func(l *load) { l.rate = 760 }), 0.6},
	{with("flood", func(l *load) { l.rate = 400; l.burst = 3 }), 0.5},
	{with("wide", func(l *load) {
		l.rate = 2750
		l.objects = 342
		l.upstreams = [3]int{24, 36, 12}
		l.hosts = 30
		l.length = 10 * time.Second
	}), 0.75},
	{with("blind", func(l *load) { l.rate = 458; l.blind = true }), 0.75},
	{with("one-region", func(l *load) { l.rate = 458; l.upstreams = [3]int{12, 0, 0} }), 0.75},
	{with("slow", func(l *load) { l.rate = 400; l.slow = 3; l.slowBy = 8 }), 0.5},
}

// Guards against the collapse in which full upstreams send objects to others
// that do not know them, whose longer work fills these in turn.
func TestPolicyServesUnderLoad(t *testing.T) {
	for _, w := range workloads {
		t.Run(w.load.name, func(t *testing.T) {
			got := play(w.load, 20261203, newProduct)
			t.Logf("%+v share %.3f", got, got.share())
			assert.Assert(t, got.share() >= w.least, "%+v", got)
		})
	}
}

// shiftMost is the share of a region's requests that may change the region in
// which they run within 2 s, without a failure: the users' bound.
const shiftMost = 0.15

// Guards against load that swings between regions when traffic rises and
// falls: a burst must not move more of a region's requests than the bound.
func TestPolicyKeepsRegions(t *testing.T) {
	loads := []load{with("deluge", func(l *load) { l.rate = 350; l.burst = 6 })}
	for _, w := range workloads {
		switch w.load.name {
		case "slow": // a failure, which may move requests
		case "one-region": // nothing can move
		default:
			loads = append(loads, w.load)
		}
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			got := play(l, 20261203, newProduct)
			t.Logf("moved %.3f", got.shift)
			assert.Assert(t, got.shift > 0 && got.shift <= shiftMost, "%.3f", got.shift)
		})
	}
}

// Guards against a policy that is worse, over all workloads together, than a
// rule of ten lines that counts only its own requests.
func TestPolicyBeatsCrudeRule(t *testing.T) {
	rows := []struct{ far, sticky, cut float64 }{{20, 0, 1}, {3, 6, 1}, {3, 12, 1}, {4, 12, 1.5}, {3, 24, 1}, {0.5, 6, 1}}
	sum := 0.0
	workloads := slices.DeleteFunc(slices.Clone(workloads), func(w workload) bool { return w.load.name == "wide" })
	for _, w := range workloads {
		sum += play(w.load, 20261203, newProduct).share()
	}
	for _, r := range rows {
		t.Run(fmt.Sprint(r), func(t *testing.T) {
			other := 0.0
			for _, w := range workloads {
				other += play(w.load, 20261203, newCrude(r.far, r.sticky, r.cut)).share()
			}
			n := float64(len(workloads))
			t.Logf("mean share %.3f, product %.3f", other/n, sum/n)
			assert.Assert(t, sum > other)
		})
	}
}
