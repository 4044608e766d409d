package agateroute

import "time"

// Usage is the utilization of a service in one region.
type Usage struct {
	Service string
	Region  string
	// Slots is the sum over the upstreams that accept new requests and are
	// neither failing nor ejected.
	Slots int
	// InFlight is the number of requests at these upstreams over all entry
	// hosts, as last reported. OwnInFlight is the number from this entry host at
	// any upstream.
	InFlight    int
	OwnInFlight int
	// Queued is the number of requests in the queue of this entry host for the
	// region, without those that wait for an overflow grant.
	Queued int
	// Capacity is slots per service time, in requests per second. It is zero
	// until a response has been measured.
	Capacity float64
	// Demand is the rate of requests received by this entry host, in requests
	// per second.
	Demand float64
	// Headroom is the remaining capacity up to the target utilization, over all
	// entry hosts as last reported, in requests per second.
	Headroom float64
}

// Usage returns the utilization of each service in each region, in order of
// first use.
func (t *Table) Usage(now time.Time) []Usage {
	usage := make([]Usage, 0, len(t.groups))
	for _, g := range t.groups {
		usage = append(usage, t.usage(now, g))
	}
	return usage
}

func (t *Table) usage(now time.Time, g *group) Usage {
	u := Usage{
		Service:     g.service.name,
		Region:      g.region,
		Slots:       int(g.slots),
		InFlight:    g.usableInFlight + int(g.peerInFlight),
		OwnInFlight: g.ownInFlight,
		Queued:      g.queue.len(),
		Demand:      g.demand.value(now),
	}
	if serviceTime := t.serviceTime(g); serviceTime > 0 {
		u.Capacity = g.slots / serviceTime
		u.Headroom = max(0, u.Capacity*(t.targetUtilization()-t.utilization(now, g)))
	}
	return u
}
