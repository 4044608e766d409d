// Package agatelookup selects the entry hosts that a caller should use. It
// spreads the callers of a region over the region's hosts by capacity. The second
// host of an answer is in another failure domain, chosen so that the callers of
// a failed domain are spread over the others by free capacity.
//
// # Usage
//
//	index := agatelookup.NewIndex(inv.Blocks) // once per inventory
//	view := agatelookup.NewView(agatelookup.Config{
//		Now:   now,
//		Index: index,
//		Hosts: hosts,
//	}) // after each change and each update of loads
//	answer := agatelookup.Choose(agatelookup.Query{Caller: addr}, view)
package agatelookup

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

// Defaults of a Config.
const (
	DefaultHostTimeout       = time.Second
	DefaultLifetime          = 2 * time.Second
	DefaultUnstableLifetime  = time.Second
	DefaultStabilizationTime = 5 * time.Second
	DefaultUtilizationLimit  = 0.9
)

// MaxLifetime is the upper bound of an answer's lifetime.
const MaxLifetime = 30 * time.Second

// Host is the state of one entry host.
type Host struct {
	Name       string
	Region     string
	Domain     string
	CallerAddr netip.AddrPort
	// Capacity and Load are in requests/s. A host without a valid capacity is
	// given the average capacity.
	Capacity float64
	Load     float64
	// LastContact is when the last message from the host was received.
	LastContact time.Time
	// Unavailable is set while the host is not ready or is stopping.
	Unavailable bool
}

// Config holds the inputs and settings of a View.
type Config struct {
	Now   time.Time
	Index *Index
	Hosts []Host
	// Drains are those of the inventory; drains of upstreams are ignored.
	Drains []agateinventory.Drain
	// Demand is the demand of callers in requests/s by region of the callers.
	// The default is the load of each region's hosts.
	Demand map[string]float64
	// ChangedAt is when the hosts, their health or the drains last changed.
	ChangedAt time.Time
	// HostTimeout is the time since the last contact after which a host is
	// excluded; default 1 s. If all hosts have timed out, none is excluded,
	// because the fault is then more likely at the answering host.
	HostTimeout time.Duration
	// Lifetime is how long an answer may be cached, at most 30 s; default 2 s.
	Lifetime time.Duration
	// UnstableLifetime bounds the lifetime for StabilizationTime after a change,
	// when another change is likely; defaults 1 s and 5 s.
	UnstableLifetime  time.Duration
	StabilizationTime time.Duration
	// UtilizationLimit is the fraction of its capacity up to which a region is
	// loaded before callers are sent to other regions; default 0.9. If the
	// total demand exceeds it, all regions are loaded to the same fraction.
	// TargetUtilization of the inventory is another limit, for overflow.
	UtilizationLimit float64
}

func (cfg *Config) setDefaults() {
	if cfg.HostTimeout <= 0 {
		cfg.HostTimeout = DefaultHostTimeout
	}
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.UnstableLifetime <= 0 {
		cfg.UnstableLifetime = DefaultUnstableLifetime
	}
	if cfg.StabilizationTime <= 0 {
		cfg.StabilizationTime = DefaultStabilizationTime
	}
	if cfg.UtilizationLimit <= 0 {
		cfg.UtilizationLimit = DefaultUtilizationLimit
	}
	if cfg.Index == nil {
		cfg.Index = NewIndex(nil)
	}
}

// View is a precomputed snapshot of hosts and load from which Choose answers
// queries. It is immutable, and safe for concurrent use. The zero View has no
// hosts.
type View struct {
	plan *loadPlan
}

// loadPlan holds the usable hosts with the planned load of each.
type loadPlan struct {
	index        *Index
	lifetime     time.Duration
	regions      []*region
	regionByName map[string]*region
	domains      []*domain
	// timedOutHosts are excluded only because they timed out; see
	// collectTimedOutHosts.
	timedOutHosts []*host
	// degradedReason is why excluded hosts or drained regions are used, or
	// empty.
	degradedReason string
}

// region is a region with its usable failure domains. Loads and capacities are
// in requests/s.
type region struct {
	name    string
	hash    uint64
	domains []*domain
	// capacity and weight are sums over the hosts. fullLoad is the load at
	// which the first host reaches its capacity.
	capacity float64
	weight   float64
	fullLoad float64
	demand   float64
	// drainedShare is the share of its callers that a drain moves elsewhere.
	drainedShare float64
	// localShare is the share of its callers that the region serves itself.
	localShare float64
	// freeCapacity is available for callers of other regions.
	freeCapacity float64
	// load is the planned load.
	load float64
}

// domain is a failure domain with its usable hosts.
type domain struct {
	name   string
	hash   uint64
	region *region
	hosts  []*host
	// availableCapacity is the capacity less the drained share of each host.
	availableCapacity float64
	weight            float64
	load              float64
	// failoverHeadroom is the headroom while another domain has failed. It is
	// scratch space of planDomainFailover.
	failoverHeadroom float64
	// spareWeight is the weight of the domain in the choice of the third host of
	// an answer.
	spareWeight float64
	// failoverUtilizationLimit is the utilization limit of the other domains if
	// this one fails. utilizationLimit is used in the choice of third hosts.
	failoverUtilizationLimit float64
	utilizationLimit         float64
	// failoverWeights are the weights of all domains, in the order of the plan,
	// for the callers of this one if it fails.
	failoverWeights []float64
}

// host is a usable host.
type host struct {
	Host
	hash   uint64
	domain *domain
	// weight is the host's weight among the hosts of its region.
	weight float64
	// drainedShare is the share of its load that drains move elsewhere.
	drainedShare float64
	load         float64
}

// NewView computes a View from the current state of the hosts.
func NewView(cfg Config) View {
	cfg.setDefaults()
	p := &loadPlan{index: cfg.Index, regionByName: map[string]*region{}, lifetime: cfg.lifetime()}
	p.collectHosts(&cfg)
	for _, r := range p.regions {
		r.computeWeights()
		r.setDemand(&cfg)
	}
	p.assignLoad(cfg.UtilizationLimit)
	p.planFailover(cfg.UtilizationLimit)
	return View{plan: p}
}

// lifetime returns the lifetime of answers, which is in (0, MaxLifetime].
func (cfg *Config) lifetime() time.Duration {
	d := cfg.Lifetime
	if age := cfg.Now.Sub(cfg.ChangedAt); age < cfg.StabilizationTime {
		d = min(d, cfg.UnstableLifetime)
	}
	return min(d, MaxLifetime)
}

// collectHosts adds the usable hosts to the plan. If there are none, it adds
// those that timed out, and if there are none of these either, the drained ones:
// an answer with a host that may work is better than one without hosts.
func (p *loadPlan) collectHosts(cfg *Config) {
	average := averageCapacity(cfg.Hosts)
	for _, pass := range []struct{ timedOut, drained bool }{{false, false}, {true, false}, {true, true}} {
		for _, h := range cfg.Hosts {
			drainedShare := hostDrainedShare(cfg.Drains, &h)
			if !pass.timedOut && cfg.Now.Sub(h.LastContact) > cfg.HostTimeout {
				continue
			}
			if !pass.drained && drainedShare >= 1 {
				continue
			}
			if !isValidRate(h.Capacity) {
				h.Capacity = average
			}
			if pass.drained {
				drainedShare = 0
			}
			p.addHost(h, drainedShare)
		}
		if len(p.domains) > 0 {
			p.setDegradedReason(pass.timedOut, pass.drained)
			break
		}
	}
	p.collectTimedOutHosts(cfg)
	p.applyRegionDrains(cfg.Drains)
}

// applyRegionDrains sets the drained share of each region. It ignores the drains
// if all regions are drained.
func (p *loadPlan) applyRegionDrains(drains []agateinventory.Drain) {
	undrained := false
	for _, r := range p.regions {
		r.drainedShare = drainedShareOf(drains, agateinventory.DrainRegion, r.name)
		undrained = undrained || r.drainedShare < 1
	}
	if undrained || len(p.regions) == 0 {
		return
	}
	p.degradedReason = "all-drained"
	for _, r := range p.regions {
		r.drainedShare = 0
	}
}

// collectTimedOutHosts collects the hosts that timed out as second hosts for
// answers if all usable hosts are in one domain. A host that is partitioned from
// its peers sees only itself, and should not name itself as the only host.
func (p *loadPlan) collectTimedOutHosts(cfg *Config) {
	if len(p.domains) != 1 {
		return
	}
	reachable := p.domains[0] // hosts of other domains timed out or are drained
	for _, h := range cfg.Hosts {
		sameDomain := h.Region == reachable.region.name && h.Domain == reachable.name
		if sameDomain || hostDrainedShare(cfg.Drains, &h) >= 1 {
			continue
		}
		p.timedOutHosts = append(p.timedOutHosts, &host{Host: h, hash: xxhash.Sum64String(h.Name)})
	}
}

func (p *loadPlan) setDegradedReason(timedOut, drained bool) {
	switch {
	case drained:
		p.degradedReason = "all-drained"
	case timedOut:
		p.degradedReason = "all-silent"
	}
}

// isValidRate reports whether x is positive and finite.
func isValidRate(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func averageCapacity(hosts []Host) float64 {
	sum, n := 0.0, 0.0
	for _, h := range hosts {
		if isValidRate(h.Capacity) {
			sum += h.Capacity
			n++
		}
	}
	if n == 0 {
		return 1 // no valid capacity, so all hosts count as equal
	}
	return sum / n
}

// hostDrainedShare returns the share of a host's load that the drains of the host
// and its domain move elsewhere, or 1 if the host is unavailable. Drains of its
// region are left out, because they apply to the region's callers.
func hostDrainedShare(drains []agateinventory.Drain, h *Host) float64 {
	if h.Unavailable {
		return 1
	}
	remaining := 1 - drainedShareOf(drains, agateinventory.DrainHost, h.Name)
	remaining *= 1 - drainedShareOf(drains, agateinventory.DrainDomain, h.Domain)
	return 1 - remaining
}

// drainedShareOf returns the largest share of the drains of a kind and name, or 0 if
// there is none. A share outside (0, 1] counts as 1.
func drainedShareOf(drains []agateinventory.Drain, kind agateinventory.DrainKind, name string) float64 {
	share := 0.0
	for _, d := range drains {
		if d.Kind != kind || d.Name != name {
			continue
		}
		if d.Share <= 0 || d.Share > 1 {
			return 1
		}
		share = max(share, d.Share)
	}
	return share
}

func (p *loadPlan) addHost(h Host, drainedShare float64) {
	r := p.regionByName[h.Region]
	if r == nil {
		r = &region{name: h.Region, hash: xxhash.Sum64String(h.Region)}
		p.regionByName[h.Region] = r
		p.regions = append(p.regions, r)
	}
	d := r.domain(h.Domain)
	if d == nil {
		d = &domain{name: h.Domain, hash: xxhash.Sum64String(h.Region + "\x00" + h.Domain), region: r}
		r.domains = append(r.domains, d)
		p.domains = append(p.domains, d)
	}
	d.hosts = append(d.hosts, &host{Host: h, hash: xxhash.Sum64String(h.Name), domain: d, drainedShare: drainedShare})
}

func (r *region) domain(name string) *domain {
	for _, d := range r.domains {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (r *region) setDemand(cfg *Config) {
	if cfg.Demand != nil {
		if d := cfg.Demand[r.name]; isValidRate(d) {
			r.demand = d
		}
		return
	}
	for _, h := range cfg.Hosts {
		if h.Region == r.name && isValidRate(h.Load) {
			r.demand += h.Load
		}
	}
}
