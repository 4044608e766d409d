package agatelookup

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// answerSize is the number of hosts in an answer: two in different failure
// domains, and one in a third place for the loss of a whole region.
const answerSize = 3

// Salts make the choices for one client independent of each other.
const (
	saltRegion uint64 = iota + 1
	saltStay
	saltFirst
	saltSpill
	saltSecond
	saltThirdDomain
	saltThird
)

// Query is a question which entry hosts to use.
type Query struct {
	// Client is the address of the caller.
	Client netip.Addr
}

// Answer names entry hosts, the best first.
type Answer struct {
	Hosts []Host
	// Region is the region of the client's block, or empty.
	Region string
	// Lifetime is how long the answer may be cached.
	Lifetime time.Duration
	// Reason says why the first host was chosen, for the decision log: "near",
	// "unknown-block", "region-full", "region-drained", "region-lost",
	// "all-silent", "all-drained" or "no-hosts".
	Reason string
}

// Choose returns the entry hosts for a client. Equal queries on equal views
// get equal answers, and a change of the view moves no more clients than it
// has to. There are at least two hosts in different failure domains if the
// view has two domains that are not drained; the second host is a silent one
// if need be.
func Choose(q Query, v View) Answer {
	if v.plan == nil || len(v.plan.domains) == 0 {
		return Answer{Lifetime: DefaultFresh, Reason: "no-hosts"}
	}
	p := v.plan
	a := Answer{Lifetime: p.lifetime, Hosts: make([]Host, 0, answerSize)}
	client := hashAddr(q.Client)
	name, known := p.index.Region(q.Client)
	a.Region = name
	r, reason := p.region(client, name, known)
	a.Reason = reason
	if p.degraded != "" {
		a.Reason = p.degraded
	}
	first := r.host(client)
	a.Hosts = append(a.Hosts, first.Host)
	second := p.second(client, first)
	if second == nil {
		if len(p.silent) > 0 {
			a.Hosts = append(a.Hosts, p.silentHost(client).Host)
		}
		return a
	}
	a.Hosts = append(a.Hosts, second.Host)
	if third := p.third(client, first, second); third != nil {
		a.Hosts = append(a.Hosts, third.Host)
	}
	return a
}

// region returns the region that serves a client.
func (p *plan) region(client uint64, name string, known bool) (*region, string) {
	if !known {
		return p.spread(client), "unknown-block"
	}
	home := p.byName[name]
	if home == nil {
		return p.overflow(client, nil), "region-lost"
	}
	if unit(client, home.hash, saltStay) < home.stays {
		return home, "near"
	}
	r := p.overflow(client, home)
	switch {
	case r == home:
		return home, "near"
	case home.drained > 0:
		return r, "region-drained"
	}
	return r, "region-full"
}

// spread returns a region for a client without one, by capacity.
func (p *plan) spread(client uint64) *region {
	return pick(client, saltRegion, p.regions, func(r *region) (uint64, float64) {
		return r.hash, r.full * (1 - r.drained)
	})
}

// overflow returns a region other than home, by what is free. It returns home if
// no other region can take more.
func (p *plan) overflow(client uint64, home *region) *region {
	r := pick(client, saltRegion, p.regions, func(r *region) (uint64, float64) {
		if r == home {
			return r.hash, 0
		}
		return r.hash, r.inbound
	})
	if r.inbound > 0 && r != home {
		return r
	}
	if home != nil && home.drained < 1 {
		return home
	}
	return pick(client, saltRegion, p.regions, func(r *region) (uint64, float64) {
		return r.hash, r.full * (1 - r.drained)
	})
}

// host returns the first host for a client of the region.
func (r *region) host(client uint64) *host {
	var best *host
	least := math.Inf(1)
	for _, d := range r.domains {
		for _, h := range d.hosts {
			if s := score(client, h.hash, saltFirst, h.weight); s < least || best == nil {
				best, least = h, s
			}
		}
	}
	return best
}

// second returns a host of another domain, or nil if there is none.
func (p *plan) second(client uint64, first *host) *host {
	if len(p.domains) < 2 {
		return nil
	}
	var best *domain
	least := math.Inf(1)
	for i, d := range p.domains {
		if d == first.domain {
			continue
		}
		if s := score(client, d.hash, saltSpill, first.domain.spill[i]); s < least || best == nil {
			best, least = d, s
		}
	}
	return best.host(client, saltSecond, first.domain.full)
}

// silentHost returns one of the silent hosts.
func (p *plan) silentHost(client uint64) *host {
	return pick(client, saltSecond, p.silent, func(h *host) (uint64, float64) { return h.hash, 1 })
}

// third returns a host in a region that neither of the others is in, or else
// in a domain that neither is in, or nil if there is none.
func (p *plan) third(client uint64, first, second *host) *host {
	elsewhere := func(d *domain) bool {
		return d.region != first.domain.region && d.region != second.domain.region
	}
	other := func(d *domain) bool { return d != first.domain && d != second.domain }
	for _, fits := range []func(*domain) bool{elsewhere, other} {
		var best *domain
		least := math.Inf(1)
		for _, d := range p.domains {
			if !fits(d) {
				continue
			}
			if s := score(client, d.hash, saltThirdDomain, d.spare); s < least || best == nil {
				best, least = d, s
			}
		}
		if best != nil {
			return best.host(client, saltThird, best.fill)
		}
	}
	return nil
}

// host returns a host of the domain, by what it has free when it may be full
// up to a fraction of its capacity.
func (d *domain) host(client, salt uint64, full float64) *host {
	return pick(client, salt, d.hosts, func(h *host) (uint64, float64) { return h.hash, h.spare(full) })
}

// pick returns one of a list by weighted rendezvous hashing. If no weight is
// positive, it returns the first.
func pick[T any](client, salt uint64, list []*T, weigh func(*T) (hash uint64, weight float64)) *T {
	var best *T
	least := math.Inf(1)
	for _, x := range list {
		hash, weight := weigh(x)
		if s := score(client, hash, salt, weight); s < least || best == nil {
			best, least = x, s
		}
	}
	return best
}

// score is an exponential random variable with the rate weight, fixed by the
// client and the candidate. The lowest score wins, which happens with a
// probability in proportion to the weight.
func score(client, candidate, salt uint64, weight float64) float64 {
	if !(weight > 0) {
		return math.Inf(1)
	}
	return -math.Log(unit(client, candidate, salt)) / weight
}

// unit returns a number in (0, 1).
func unit(client, candidate, salt uint64) float64 {
	x := client ^ candidate*0x9e3779b97f4a7c15 ^ salt*0xd6e8feb86659fd93
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

func hashAddr(a netip.Addr) uint64 {
	b := a.Unmap().As16()
	return xxhash.Sum64(b[:])
}
