package agateroute

import "time"

// Usage is how much of a service's capacity in one region is used.
type Usage struct {
	Service string
	Region  string
	// Slots is the sum over the upstreams that take new work and neither fail
	// nor are ejected.
	Slots int
	// InFlight is the number of requests at these upstreams over all entry
	// hosts as known, and Own that of this entry host at any upstream.
	InFlight int
	Own      int
	// Waiting is the number of requests in the queue of this entry host.
	Waiting int
	// Capacity is slots per service time, in requests per second, or zero
	// while no answer has been measured.
	Capacity float64
	// Demand is what callers asked of this entry host, in requests per second.
	Demand float64
	// Headroom is the part of the target utilisation that is not in use, in
	// requests per second over all entry hosts as known.
	Headroom float64
}

// Usage returns the use of each service in each region, in the order in which
// they were first announced.
func (t *Table) Usage(now time.Time) []Usage {
	usage := make([]Usage, 0, len(t.groups))
	for _, g := range t.groups {
		usage = append(usage, t.usage(now, g))
	}
	return usage
}

func (t *Table) usage(now time.Time, g *group) Usage {
	u := Usage{
		Service:  g.service.name,
		Region:   g.region,
		Slots:    int(g.slots),
		InFlight: g.live + int(g.peers),
		Own:      g.own,
		Waiting:  g.queue.len(),
		Demand:   g.demand.value(now),
	}
	if service := t.serviceTime(g); service > 0 {
		u.Capacity = g.slots / service
		u.Headroom = max(0, u.Capacity*(t.target()-t.utilisation(now, g)))
	}
	return u
}
