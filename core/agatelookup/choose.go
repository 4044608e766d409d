package agatelookup

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxAnswerHosts is the number of hosts in an answer: two in different failure
// domains, and a third one in case a whole region fails.
const maxAnswerHosts = 3

// Salts make the hashes for the choices of one caller independent of each other.
const (
	saltRegion uint64 = iota + 1
	saltLocal
	saltFirst
	saltSecondDomain
	saltSecond
	saltThirdDomain
	saltThird
)

// Query asks which entry hosts a caller should use.
type Query struct {
	// Caller is the address of the caller.
	Caller netip.Addr
}

// Answer lists entry hosts in order of preference.
type Answer struct {
	Hosts []Host
	// Region is the region of the caller's block, or empty.
	Region string
	// Lifetime is how long the answer may be cached.
	Lifetime time.Duration
	// Reason is why the first host was chosen, for the decision log:
	//   - "near": it is in the caller's region
	//   - "unknown-block": no block contains the caller, so any region will do
	//   - "region-full": the caller's region is loaded to its limit
	//   - "region-drained": the caller's region is drained
	//   - "region-lost": the caller's region has no usable host
	//   - "all-silent": all hosts that are not drained have timed out
	//   - "all-drained": all hosts or all regions are drained
	//   - "no-hosts": there is no host
	Reason string
}

// Choose returns the entry hosts for a caller. It is deterministic, and a change
// of the view moves as few callers as possible. The answer has at least two
// hosts in different failure domains if the view has two domains that are not
// drained, if necessary with a second host that timed out.
func Choose(q Query, v View) Answer {
	if v.plan == nil || len(v.plan.domains) == 0 {
		return Answer{Lifetime: DefaultUnstableLifetime, Reason: "no-hosts"}
	}
	p := v.plan
	a := Answer{Lifetime: p.lifetime, Hosts: make([]Host, 0, maxAnswerHosts)}
	caller := hashAddr(q.Caller)
	name, known := p.index.Region(q.Caller)
	a.Region = name
	r, reason := p.chooseRegion(caller, name, known)
	a.Reason = reason
	if p.degradedReason != "" {
		a.Reason = p.degradedReason
	}
	first := r.chooseHost(caller)
	a.Hosts = append(a.Hosts, first.Host)
	second := p.secondHost(caller, first)
	if second == nil {
		if len(p.timedOutHosts) > 0 {
			a.Hosts = append(a.Hosts, p.timedOutHost(caller).Host)
		}
		return a
	}
	a.Hosts = append(a.Hosts, second.Host)
	if third := p.thirdHost(caller, first, second); third != nil {
		a.Hosts = append(a.Hosts, third.Host)
	}
	return a
}

// chooseRegion returns the region that serves a caller, and the reason.
func (p *loadPlan) chooseRegion(caller uint64, name string, known bool) (*region, string) {
	if !known {
		return p.regionByCapacity(caller), "unknown-block"
	}
	home := p.regionByName[name]
	if home == nil {
		return p.overflowRegion(caller, nil), "region-lost"
	}
	if unitHash(caller, home.hash, saltLocal) < home.localShare {
		return home, "near"
	}
	r := p.overflowRegion(caller, home)
	switch {
	case r == home:
		return home, "near"
	case home.drainedShare > 0:
		return r, "region-drained"
	}
	return r, "region-full"
}

// regionByCapacity returns a region for a caller whose region is unknown, chosen
// with a probability in proportion to its capacity.
func (p *loadPlan) regionByCapacity(caller uint64) *region {
	return rendezvousPick(caller, saltRegion, p.regions, func(r *region) (uint64, float64) {
		return r.hash, r.fullLoad * (1 - r.drainedShare)
	})
}

// overflowRegion returns a region other than home, chosen in proportion to free
// capacity. If no other region has any, it returns home unless that is drained or
// nil, and otherwise a region by capacity.
func (p *loadPlan) overflowRegion(caller uint64, home *region) *region {
	r := rendezvousPick(caller, saltRegion, p.regions, func(r *region) (uint64, float64) {
		if r == home {
			return r.hash, 0
		}
		return r.hash, r.freeCapacity
	})
	if r.freeCapacity > 0 && r != home {
		return r
	}
	if home != nil && home.drainedShare < 1 {
		return home
	}
	return rendezvousPick(caller, saltRegion, p.regions, func(r *region) (uint64, float64) {
		return r.hash, r.fullLoad * (1 - r.drainedShare)
	})
}

// chooseHost returns the first host for a caller that the region serves.
func (r *region) chooseHost(caller uint64) *host {
	var best *host
	lowest := math.Inf(1)
	for _, d := range r.domains {
		for _, h := range d.hosts {
			if s := score(caller, h.hash, saltFirst, h.weight); s < lowest || best == nil {
				best, lowest = h, s
			}
		}
	}
	return best
}

// secondHost returns a host of another domain, or nil if there is none.
func (p *loadPlan) secondHost(caller uint64, first *host) *host {
	if len(p.domains) < 2 {
		return nil
	}
	var best *domain
	lowest := math.Inf(1)
	for i, d := range p.domains {
		if d == first.domain {
			continue
		}
		if s := score(caller, d.hash, saltSecondDomain, first.domain.failoverWeights[i]); s < lowest || best == nil {
			best, lowest = d, s
		}
	}
	return best.chooseHost(caller, saltSecond, first.domain.failoverUtilizationLimit)
}

// timedOutHost returns one of the hosts that timed out.
func (p *loadPlan) timedOutHost(caller uint64) *host {
	return rendezvousPick(caller, saltSecond, p.timedOutHosts, func(h *host) (uint64, float64) { return h.hash, 1 })
}

// thirdHost returns a host in a region other than those of the first two, or else
// in another domain, or nil if there is none.
func (p *loadPlan) thirdHost(caller uint64, first, second *host) *host {
	otherRegion := func(d *domain) bool {
		return d.region != first.domain.region && d.region != second.domain.region
	}
	otherDomain := func(d *domain) bool { return d != first.domain && d != second.domain }
	for _, eligible := range []func(*domain) bool{otherRegion, otherDomain} {
		var best *domain
		lowest := math.Inf(1)
		for _, d := range p.domains {
			if !eligible(d) {
				continue
			}
			if s := score(caller, d.hash, saltThirdDomain, d.spareWeight); s < lowest || best == nil {
				best, lowest = d, s
			}
		}
		if best != nil {
			return best.chooseHost(caller, saltThird, best.utilizationLimit)
		}
	}
	return nil
}

// chooseHost returns a host of the domain, chosen in proportion to spareWeight:
// mostly to the capacity that is free up to a utilization limit.
func (d *domain) chooseHost(caller, salt uint64, limit float64) *host {
	return rendezvousPick(caller, salt, d.hosts, func(h *host) (uint64, float64) { return h.hash, h.spareWeight(limit) })
}

// rendezvousPick chooses from a list by weighted rendezvous hashing. If no
// weight is positive, it returns the first element.
func rendezvousPick[T any](caller, salt uint64, list []*T, weigh func(*T) (hash uint64, weight float64)) *T {
	var best *T
	least := math.Inf(1)
	for _, x := range list {
		hash, weight := weigh(x)
		if s := score(caller, hash, salt, weight); s < least || best == nil {
			best, least = x, s
		}
	}
	return best
}

// score returns a pseudorandom number with an exponential distribution whose rate
// is the weight. It depends only on the arguments. The candidate with the lowest
// score is chosen, so the probability is proportional to the weight.
func score(caller, candidate, salt uint64, weight float64) float64 {
	if !(weight > 0) {
		return math.Inf(1)
	}
	return -math.Log(unitHash(caller, candidate, salt)) / weight
}

// unitHash hashes its arguments to a number in (0, 1]. It mixes them with the
// finalizer of SplitMix64.
func unitHash(caller, candidate, salt uint64) float64 {
	x := caller ^ candidate*0x9e3779b97f4a7c15 ^ salt*0xd6e8feb86659fd93
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

func hashAddr(a netip.Addr) uint64 {
	b := a.Unmap().As16()
	return xxhash.Sum64(b[:])
}
