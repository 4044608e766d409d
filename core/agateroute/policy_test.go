package agateroute

import (
	"fmt"
	"testing"
	"time"
)

// uniformDemand returns the same demand for every region.
func uniformDemand(load float64) [simRegions]float64 {
	return [simRegions]float64{load, load, load}
}

const simDuration = 20 * time.Second

// faultTime is when the fault of a workload begins.
const faultTime = 6 * time.Second

var workloads = []workload{
	// Demand below capacity, without faults.
	{name: "normal-0.7", demand: uniformDemand(0.7)},
	{name: "high-0.9", demand: uniformDemand(0.9)},
	{name: "high-0.95", demand: uniformDemand(0.95)},
	// One region has more demand than capacity.
	{name: "over-1.3", demand: [simRegions]float64{1.3, 0.6, 0.6}, shiftCap: 0.15},
	// One failure domain becomes unreachable.
	{name: "domain-lost", demand: uniformDemand(0.6), shiftCap: 0.15, scheduleFaults: failDomain},
	// One region becomes unreachable.
	{name: "region-lost", demand: uniformDemand(0.5), shiftCap: 0.25, scheduleFaults: failRegion},
	// All announcements and exchanges are lost.
	{name: "stopped", demand: uniformDemand(0.7), scheduleFaults: func(s *sim) {
		s.after(faultTime, func() { s.controlLost = true })
	}},
	// Half of the upstreams report no load.
	{name: "misleading", demand: uniformDemand(0.9), scheduleFaults: func(s *sim) {
		for i, u := range s.upstreams {
			u.misreports = (i/simRegions)%2 == 0
		}
	}},
	// All upstreams are drained and restarted in turn.
	{name: "rolling-drain", demand: uniformDemand(0.6), duration: 30 * time.Second, scheduleFaults: rollingDrain},
	// Overflow goes to a region whose upstreams are cold.
	{name: "cold-shift", demand: [simRegions]float64{1.3, 0, 0.7}, shiftCap: 0.2, prepare: func(s *sim) {
		for _, u := range s.upstreams {
			if u.location.region == 1 {
				u.started = 0
				u.sequence = 0
			}
		}
	}},
	// A request that crashes its upstream is sent repeatedly.
	{name: "crashing", demand: uniformDemand(0.7), scheduleFaults: func(s *sim) {
		s.after(faultTime, func() {
			r := &simRequest{service: 1, home: 0, crashesUpstream: true, serviceTime: s.deployment.serviceTime}
			r.Class = 1 // agateinventory.Read
			s.submit(r, s.hostFor(0, 0))
		})
	}},
	// Half of the open connections stop responding.
	{name: "silent", demand: uniformDemand(0.7), scheduleFaults: func(s *sim) {
		s.after(faultTime, func() {
			for _, h := range s.hosts {
				h.silenceConns()
			}
		})
	}},
}

func failDomain(s *sim) {
	s.after(faultTime, func() { s.disconnect(location{0, 1}) })
}

func failRegion(s *sim) {
	s.after(faultTime, func() {
		s.disconnect(location{0, 0})
		s.disconnect(location{0, 1})
	})
}

// disconnect makes a failure domain unreachable permanently.
func (s *sim) disconnect(p location) {
	for _, u := range s.upstreams {
		if u.location == p {
			u.unreachable = true
			s.addIdealSlots(u.service, p.region, -u.slots)
		}
	}
	for _, h := range s.hosts {
		if h.location == p {
			h.unreachable = true
		}
	}
}

// rollingDrain drains and restarts the upstreams one after the other.
func rollingDrain(s *sim) {
	for i, u := range s.upstreams {
		s.after(simWarmup+time.Duration(i)*700*time.Millisecond, func() {
			s.addIdealSlots(u.service, u.location.region, -u.slots)
			u.drain()
		})
		s.after(simWarmup+time.Duration(i)*700*time.Millisecond+800*time.Millisecond, func() {
			s.addIdealSlots(u.service, u.location.region, u.slots)
		})
	}
}

// silenceConns makes half of the open connections of a host stop responding.
func (h *simHost) silenceConns() {
	i := 0
	mark := func(c *simConn) {
		c.silent = i%2 == 0
		i++
	}
	for _, u := range h.sim.upstreams {
		for _, c := range h.idleConns[u.id] {
			mark(c)
		}
	}
	for _, c := range h.conns {
		if h.busyConns[c] {
			mark(c)
		}
	}
}

// tablePolicy is the policy of this package and idealPolicy an upper bound.
// baselines are common load balancing policies.
var (
	tablePolicy = policy{name: "product"}
	idealPolicy = policy{name: "ideal", ideal: true}

	baselines = []policy{
		{name: "random", choose: func(h *simHost, c []*upstream) *upstream {
			return c[h.sim.rng.IntN(len(c))]
		}},
		{name: "round-robin", choose: func(h *simHost, c []*upstream) *upstream {
			h.nextIndex++
			return c[h.nextIndex%len(c)]
		}},
		{name: "least", choose: func(h *simHost, c []*upstream) *upstream {
			return lowestCost(h, c, func(u *upstream) float64 { return float64(u.ownInFlight) / u.slots })
		}},
		{name: "two-choices", choose: func(h *simHost, c []*upstream) *upstream {
			a, b := c[h.sim.rng.IntN(len(c))], c[h.sim.rng.IntN(len(c))]
			if float64(b.ownInFlight)/b.slots < float64(a.ownInFlight)/a.slots {
				return b
			}
			return a
		}},
		{name: "own+peers", choose: func(h *simHost, c []*upstream) *upstream {
			return lowestCost(h, c, func(u *upstream) float64 { return (float64(u.ownInFlight) + u.peerInFlight) / u.slots })
		}},
		{name: "own+report", choose: func(h *simHost, c []*upstream) *upstream {
			return lowestCost(h, c, func(u *upstream) float64 {
				return max(0, h.reports[u.id].load+float64(u.ownInFlight)-h.reports[u.id].ownInFlight) / u.slots
			})
		}},
	}
)

// lowestCost returns the upstream with the lowest cost. The scan starts at a
// random position to spread ties.
func lowestCost(h *simHost, c []*upstream, cost func(*upstream) float64) *upstream {
	at := h.sim.rng.IntN(len(c))
	best := c[at]
	for i := range c {
		if u := c[(at+i)%len(c)]; cost(u) < cost(best) {
			best = u
		}
	}
	return best
}

// BenchmarkPolicy reports, for each deployment, workload and policy, the share
// of requests answered in time and the values that the targets limit.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range []deployment{deploymentA, deploymentB} {
		for _, w := range workloads {
			if w.duration == 0 {
				w.duration = simDuration
			}
			for _, p := range append([]policy{idealPolicy, tablePolicy}, baselines...) {
				b.Run(fmt.Sprintf("%s/%s/%s", d.name, w.name, p.name), func(b *testing.B) {
					reportMetrics(b, run(d, w, p))
				})
			}
		}
	}
}

func reportMetrics(b *testing.B, o *runResult) {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*o.share(), "%intime")
	b.ReportMetric(100*(1-o.share()), "%lost")
	b.ReportMetric(ms(o.quantile(0.5)), "p50ms")
	b.ReportMetric(ms(o.quantile(0.99)), "p99ms")
	b.ReportMetric(o.maxLoad, "load")
	b.ReportMetric(o.maxDeadlineLoad, "due")
	b.ReportMetric(o.maxRequestsPerSlot, "held")
	b.ReportMetric(o.maxShift, "shift")
	b.ReportMetric(o.maxShiftUtilization, "used")
	b.ReportMetric(float64(o.refused), "refused")
	b.ReportMetric(float64(o.shed), "shed")
	var longest time.Duration
	for _, d := range o.drainTimes {
		longest = max(longest, d)
	}
	b.ReportMetric(ms(longest), "drainms")
	b.ReportMetric(float64(o.shiftCount), "shifted")
	b.Logf("reasons %v, events %v, retries %d, hedges %d, crashes %d", o.reasons, o.events, o.retries, o.hedges, o.crashes)
	b.ReportMetric(ms(o.workAfterDrain), "newms")
}
