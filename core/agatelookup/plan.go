package agatelookup

// spareLeast is the part of its capacity with which a full domain or host still
// counts as a further choice, so that not all clients get the same one.
const spareLeast = 0.01

// weigh sets each host's part of the region's callers: its capacity, less what
// drains keep away, which goes to the hosts that are not drained.
func (r *region) weigh() {
	kept, whole := 0.0, 0.0
	for _, d := range r.domains {
		for _, h := range d.hosts {
			r.capacity += h.Capacity
			d.kept += h.kept()
			if h.drained > 0 {
				kept += h.kept()
			} else {
				whole += h.Capacity
			}
		}
	}
	more := 1.0
	r.full = kept
	if whole > 0 {
		more = (r.capacity - kept) / whole
		r.full = r.capacity / more
	}
	for _, d := range r.domains {
		for _, h := range d.hosts {
			if h.drained > 0 {
				h.weight = h.kept()
			} else {
				h.weight = h.Capacity * more
			}
			d.weight += h.weight
		}
		r.weight += d.weight
	}
}

// assign decides which share of its callers each region keeps, and who serves
// the others.
func (p *plan) assign(fill float64) {
	demand, full := 0.0, 0.0
	for _, r := range p.regions {
		demand += r.demand
		full += r.full * (1 - r.drained)
	}
	if full > 0 {
		fill = max(fill, demand/full)
	}
	leaving, free := 0.0, 0.0
	for _, r := range p.regions {
		r.stays = 1 - r.drained
		if stay := r.demand * r.stays; stay > r.full*fill {
			r.stays *= r.full * fill / stay
		}
		r.load = r.demand * r.stays
		leaving += r.demand - r.load
		r.inbound = max(r.full*fill-r.load, 0) * (1 - r.drained)
		free += r.inbound
	}
	for _, r := range p.regions {
		if free > 0 {
			r.load += leaving * r.inbound / free
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

// planSpill decides, for the loss of each domain alone, which domains take its
// callers: those of the same region as far as they have room, and beyond that
// the others, in proportion to what they have free.
func (p *plan) planSpill(fill float64) {
	load, kept := 0.0, 0.0
	for _, d := range p.domains {
		load += d.load
		kept += d.kept
	}
	for _, lost := range p.domains {
		full := fill
		if rest := kept - lost.kept; rest > 0 {
			full = max(full, load/rest)
		}
		lost.full = full
		p.spillOf(lost, full)
	}
	for _, d := range p.domains {
		d.spare = d.room(fill) + spareLeast*d.kept
		d.fill = fill
	}
}

func (p *plan) spillOf(lost *domain, full float64) {
	near, far := 0.0, 0.0
	for _, d := range p.domains {
		d.free = d.room(full)
		switch {
		case d == lost:
		case d.region == lost.region:
			near += d.free
		default:
			far += d.free
		}
	}
	stays := 0.0
	if near > 0 {
		stays = 1
	}
	if near < lost.load && far > 0 {
		stays = near / lost.load
	}
	lost.spill = make([]float64, len(p.domains))
	for i, d := range p.domains {
		switch {
		case d == lost:
		case d.region == lost.region && near > 0:
			lost.spill[i] = stays * d.free / near
		case d.region != lost.region && far > 0:
			lost.spill[i] = (1 - stays) * d.free / far
		case near+far == 0:
			// All others are drained; a second choice is still needed.
			lost.spill[i] = d.kept
		}
	}
}

// room returns what a domain has free when its hosts may be full up to a
// fraction of their capacity.
func (d *domain) room(full float64) float64 {
	sum := 0.0
	for _, h := range d.hosts {
		sum += h.room(full)
	}
	return sum * (1 - d.region.drained)
}

func (h *host) room(full float64) float64 { return max(h.kept()*full-h.load, 0) }

// spare weighs the host as a further choice.
func (h *host) spare(full float64) float64 { return h.room(full) + spareLeast*h.kept() }

// kept returns the capacity less what drains keep away.
func (h *host) kept() float64 { return h.Capacity * (1 - h.drained) }
