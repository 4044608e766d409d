package agateroute

import (
	"fmt"
	"testing"
	"time"
)

// even is the same load in every region.
func even(load float64) [simRegions]float64 {
	return [simRegions]float64{load, load, load}
}

const simLength = 20 * time.Second

// faultAt is when the fault of a workload begins.
const faultAt = 6 * time.Second

var workloads = []workload{
	{name: "normal-0.7", load: even(0.7)},
	{name: "high-0.9", load: even(0.9)},
	{name: "high-0.95", load: even(0.95)},
	{name: "over-1.3", load: [simRegions]float64{1.3, 0.6, 0.6}, shift: 0.15},
	{name: "domain-lost", load: even(0.6), shift: 0.15, setup: loseDomain},
	{name: "region-lost", load: even(0.5), shift: 0.25, setup: loseRegion},
	{name: "stopped", load: even(0.7), setup: func(s *sim) {
		s.at(faultAt, func() { s.muted = true })
	}},
	{name: "misleading", load: even(0.9), setup: func(s *sim) {
		for i, u := range s.ups {
			u.lies = (i/simRegions)%2 == 0
		}
	}},
	{name: "rolling-drain", load: even(0.6), length: 30 * time.Second, setup: rollingDrain},
	{name: "cold-shift", load: [simRegions]float64{1.3, 0, 0.7}, shift: 0.2, prepare: func(s *sim) {
		for _, u := range s.ups {
			if u.at.region == 1 {
				u.answers = 0
				u.sequence = 0
			}
		}
	}},
	{name: "crashing", load: even(0.7), setup: func(s *sim) {
		s.at(faultAt, func() {
			r := &simRequest{service: 1, home: 0, crash: true, work: s.d.mean}
			r.Class = 1
			s.issue(r, s.hostFor(0, 0))
		})
	}},
	{name: "silent", load: even(0.7), setup: func(s *sim) {
		s.at(faultAt, func() {
			for _, h := range s.hosts {
				h.silence()
			}
		})
	}},
}

func loseDomain(s *sim) {
	s.at(faultAt, func() { s.lose(place{0, 1}) })
}

func loseRegion(s *sim) {
	s.at(faultAt, func() {
		s.lose(place{0, 0})
		s.lose(place{0, 1})
	})
}

// lose cuts a failure domain off for good.
func (s *sim) lose(p place) {
	for _, u := range s.ups {
		if u.at == p {
			u.lost = true
			s.idealSlots(u.service, p.region, -u.slots)
		}
	}
	for _, h := range s.hosts {
		if h.at == p {
			h.lost = true
		}
	}
}

// rollingDrain restarts every upstream once, one after the other.
func rollingDrain(s *sim) {
	for i, u := range s.ups {
		s.at(simWarmup+time.Duration(i)*700*time.Millisecond, func() {
			s.idealSlots(u.service, u.at.region, -u.slots)
			u.drain()
		})
		s.at(simWarmup+time.Duration(i)*700*time.Millisecond+800*time.Millisecond, func() {
			s.idealSlots(u.service, u.at.region, u.slots)
		})
	}
}

// silence makes half of the open connections of a host go silent.
func (h *simHost) silence() {
	i := 0
	mark := func(c *simConn) {
		c.silent = i%2 == 0
		i++
	}
	for _, u := range h.s.ups {
		for _, c := range h.idle[u.id] {
			mark(c)
		}
	}
	for _, c := range h.order {
		if h.busy[c] {
			mark(c)
		}
	}
}

// Baselines and earlier rules of this package.
var (
	product = policy{name: "product"}
	ideal   = policy{name: "ideal", ideal: true}

	baselines = []policy{
		{name: "random", rule: func(h *simHost, c []*upstream) *upstream {
			return c[h.s.own.IntN(len(c))]
		}},
		{name: "round-robin", rule: func(h *simHost, c []*upstream) *upstream {
			h.last++
			return c[h.last%len(c)]
		}},
		{name: "least", rule: func(h *simHost, c []*upstream) *upstream {
			return lowest(h, c, func(u *upstream) float64 { return float64(u.ownInFlight) / u.slots })
		}},
		{name: "two-choices", rule: func(h *simHost, c []*upstream) *upstream {
			a, b := c[h.s.own.IntN(len(c))], c[h.s.own.IntN(len(c))]
			if float64(b.ownInFlight)/b.slots < float64(a.ownInFlight)/a.slots {
				return b
			}
			return a
		}},
		{name: "own+peers", rule: func(h *simHost, c []*upstream) *upstream {
			return lowest(h, c, func(u *upstream) float64 { return (float64(u.ownInFlight) + u.peerInFlight) / u.slots })
		}},
		{name: "own+report", rule: func(h *simHost, c []*upstream) *upstream {
			return lowest(h, c, func(u *upstream) float64 {
				return max(0, h.report[u.id].held+float64(u.ownInFlight)-h.report[u.id].own) / u.slots
			})
		}},
	}
)

// lowest returns the upstream with the lowest cost, from a random start.
func lowest(h *simHost, c []*upstream, cost func(*upstream) float64) *upstream {
	at := h.s.own.IntN(len(c))
	best := c[at]
	for i := range c {
		if u := c[(at+i)%len(c)]; cost(u) < cost(best) {
			best = u
		}
	}
	return best
}

// BenchmarkPolicy reports, for each deployment, workload and policy, the share
// of requests answered in time and what the targets bound.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range []deployment{deploymentA, deploymentB} {
		for _, w := range workloads {
			if w.length == 0 {
				w.length = simLength
			}
			for _, p := range append([]policy{ideal, product}, baselines...) {
				b.Run(fmt.Sprintf("%s/%s/%s", d.name, w.name, p.name), func(b *testing.B) {
					report(b, run(d, w, p))
				})
			}
		}
	}
}

func report(b *testing.B, o *outcome) {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*o.share(), "%intime")
	b.ReportMetric(100*(1-o.share()), "%lost")
	b.ReportMetric(ms(o.quantile(0.5)), "p50ms")
	b.ReportMetric(ms(o.quantile(0.99)), "p99ms")
	b.ReportMetric(o.topLoad, "load")
	b.ReportMetric(o.topDue, "due")
	b.ReportMetric(o.topHeld, "held")
	b.ReportMetric(o.topShift, "shift")
	b.ReportMetric(o.topUsed, "used")
	b.ReportMetric(float64(o.refused), "refused")
	b.ReportMetric(float64(o.shed), "shed")
	var longest time.Duration
	for _, d := range o.drains {
		longest = max(longest, d)
	}
	b.ReportMetric(ms(longest), "drainms")
	b.ReportMetric(float64(o.shiftCount), "shifted")
	b.Logf("reasons %v, events %v, retries %d, hedges %d, crashes %d", o.reasons, o.events, o.retries, o.hedges, o.crashes)
	b.ReportMetric(ms(o.newAfter), "newms")
}
