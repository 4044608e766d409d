package agatelookup

// minSpare is the spare weight of a full domain or host as a fraction of its
// capacity. It is above 0 because all callers would get the same second and third
// hosts otherwise when all are full.
const minSpare = 0.01

// computeWeights sets the weight of each host in its region. It is the host's
// capacity; the drained share of a host is moved to the hosts that are not
// drained.
func (r *region) computeWeights() {
	// The capacity that drained hosts have left, and that of the other hosts.
	drainedAvailable, undrainedCapacity := 0.0, 0.0
	for _, d := range r.domains {
		for _, h := range d.hosts {
			r.capacity += h.Capacity
			d.availableCapacity += h.available()
			if h.drainedShare > 0 {
				drainedAvailable += h.available()
			} else {
				undrainedCapacity += h.Capacity
			}
		}
	}
	scale := 1.0
	r.fullLoad = drainedAvailable
	if undrainedCapacity > 0 {
		scale = (r.capacity - drainedAvailable) / undrainedCapacity
		r.fullLoad = r.capacity / scale
	}
	for _, d := range r.domains {
		for _, h := range d.hosts {
			if h.drainedShare > 0 {
				h.weight = h.available()
			} else {
				h.weight = h.Capacity * scale
			}
			d.weight += h.weight
		}
		r.weight += d.weight
	}
}

// assignLoad computes the share of its callers that each region serves itself,
// and spreads the others over the regions by free capacity.
func (p *loadPlan) assignLoad(limit float64) {
	demand, capacity := 0.0, 0.0
	for _, r := range p.regions {
		demand += r.demand
		capacity += r.fullLoad * (1 - r.drainedShare)
	}
	if capacity > 0 {
		limit = max(limit, demand/capacity)
	}
	overflow, free := 0.0, 0.0
	for _, r := range p.regions {
		r.localShare = 1 - r.drainedShare
		if local := r.demand * r.localShare; local > r.fullLoad*limit {
			r.localShare *= r.fullLoad * limit / local
		}
		r.load = r.demand * r.localShare
		overflow += r.demand - r.load
		r.freeCapacity = max(r.fullLoad*limit-r.load, 0) * (1 - r.drainedShare)
		free += r.freeCapacity
	}
	for _, r := range p.regions {
		if free > 0 {
			r.load += overflow * r.freeCapacity / free
		}
	}
	for _, d := range p.domains {
		if d.region.weight > 0 {
			d.load = d.region.load * d.weight / d.region.weight
		}
		for _, h := range d.hosts {
			if d.weight > 0 {
				h.load = d.load * h.weight / d.weight
			}
		}
	}
}

// planFailover computes for each domain which other domains serve its callers if
// it fails: those of the same region up to their free capacity, and beyond that
// those of other regions, in proportion to their free capacity.
func (p *loadPlan) planFailover(limit float64) {
	load, available := 0.0, 0.0
	for _, d := range p.domains {
		load += d.load
		available += d.availableCapacity
	}
	for _, failed := range p.domains {
		failoverLimit := limit
		if remaining := available - failed.availableCapacity; remaining > 0 {
			failoverLimit = max(failoverLimit, load/remaining)
		}
		failed.failoverUtilizationLimit = failoverLimit
		p.planDomainFailover(failed, failoverLimit)
	}
	for _, d := range p.domains {
		d.spareWeight = d.headroom(limit) + minSpare*d.availableCapacity
		d.utilizationLimit = limit
	}
}

func (p *loadPlan) planDomainFailover(failed *domain, limit float64) {
	localHeadroom, remoteHeadroom := 0.0, 0.0
	for _, d := range p.domains {
		d.failoverHeadroom = d.headroom(limit)
		switch {
		case d == failed:
		case d.region == failed.region:
			localHeadroom += d.failoverHeadroom
		default:
			remoteHeadroom += d.failoverHeadroom
		}
	}
	localShare := 0.0
	if localHeadroom > 0 {
		localShare = 1
	}
	if localHeadroom < failed.load && remoteHeadroom > 0 {
		localShare = localHeadroom / failed.load
	}
	failed.failoverWeights = make([]float64, len(p.domains))
	for i, d := range p.domains {
		switch {
		case d == failed:
		case d.region == failed.region && localHeadroom > 0:
			failed.failoverWeights[i] = localShare * d.failoverHeadroom / localHeadroom
		case d.region != failed.region && remoteHeadroom > 0:
			failed.failoverWeights[i] = (1 - localShare) * d.failoverHeadroom / remoteHeadroom
		case localHeadroom+remoteHeadroom == 0:
			// No other domain has free capacity, but a second host is needed.
			failed.failoverWeights[i] = d.availableCapacity
		}
	}
}

// headroom returns the free capacity of a domain in requests/s if its hosts may
// be loaded up to a limit, a fraction of their capacity.
func (d *domain) headroom(limit float64) float64 {
	sum := 0.0
	for _, h := range d.hosts {
		sum += h.headroom(limit)
	}
	return sum * (1 - d.region.drainedShare)
}

func (h *host) headroom(limit float64) float64 { return max(h.available()*limit-h.load, 0) }

// spareWeight returns the weight of the host in the choice of the second and third
// hosts of an answer.
func (h *host) spareWeight(limit float64) float64 { return h.headroom(limit) + minSpare*h.available() }

// available returns the capacity less the drained share, in requests/s.
func (h *host) available() float64 { return h.Capacity * (1 - h.drainedShare) }
