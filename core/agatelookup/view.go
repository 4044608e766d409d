// Package agatelookup tells callers which entry hosts to use. It spreads the
// callers of a region over the region's hosts by capacity, and names as second
// choice a host of another failure domain, picked so that the callers of a
// lost failure domain fit into what the others have free.
//
// # Usage
//
//	index := agatelookup.NewIndex(inv.Blocks) // once per inventory
//	view := agatelookup.NewView(agatelookup.Config{
//		Now:   now,
//		Index: index,
//		Hosts: hosts,
//	}) // on each change, and each time loads are exchanged
//	answer := agatelookup.Choose(agatelookup.Query{Client: addr}, view)
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
	DefaultSilence  = time.Second
	DefaultLifetime = 2 * time.Second
	DefaultFresh    = time.Second
	DefaultSettling = 5 * time.Second
	DefaultFill     = 0.9
)

// MaxLifetime is the longest lifetime of an answer.
const MaxLifetime = 30 * time.Second

// Host is what is known about one entry host.
type Host struct {
	Name   string
	Region string
	Domain string
	Caller netip.AddrPort
	// Capacity and Load are in requests/s. A host without a capacity counts
	// as an average one.
	Capacity float64
	Load     float64
	// Heard is when the host was last heard from.
	Heard time.Time
	// Draining is set once the host has announced that it stops.
	Draining bool
}

// Config holds what a View is made from.
type Config struct {
	Now   time.Time
	Index *Index
	Hosts []Host
	// Drains are those of the inventory; drains of upstreams do not matter.
	Drains []agateinventory.Drain
	// Demand is the callers' demand in requests/s by the callers' region. The
	// default is the load of each region's hosts.
	Demand map[string]float64
	// Changed is when hosts, drains or their health last changed.
	Changed time.Time
	// Silence is how long a host may be silent before it is left out; default
	// 1 s. If all are silent, none is left out: then the fault is at the
	// listener.
	Silence time.Duration
	// Lifetime is that of an answer, at most 30 s; default 2 s.
	Lifetime time.Duration
	// Fresh is the lifetime for the time Settling after a change, since the
	// next change is then likely; defaults 1 s and 5 s.
	Fresh    time.Duration
	Settling time.Duration
	// Fill is how full a region may get before its callers are sent to others,
	// as a fraction of its capacity; default 0.9. If all regions together are
	// fuller, all are filled alike.
	Fill float64
}

func (cfg *Config) setDefaults() {
	if cfg.Silence <= 0 {
		cfg.Silence = DefaultSilence
	}
	if cfg.Lifetime <= 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.Fresh <= 0 {
		cfg.Fresh = DefaultFresh
	}
	if cfg.Settling <= 0 {
		cfg.Settling = DefaultSettling
	}
	if cfg.Fill <= 0 {
		cfg.Fill = DefaultFill
	}
	if cfg.Index == nil {
		cfg.Index = NewIndex(nil)
	}
}

// View is a state of the system, prepared for answers. It is immutable, and
// safe for concurrent use. The zero View has no hosts.
type View struct {
	plan *plan
}

// plan holds the usable hosts with the load planned for each.
type plan struct {
	index    *Index
	lifetime time.Duration
	regions  []*region
	byName   map[string]*region
	domains  []*domain
	// silent holds hosts that are left out only because they are silent.
	silent []*host
	// degraded says why hosts are used that should not be, if so.
	degraded string
}

// region is a place with its usable domains.
type region struct {
	name    string
	hash    uint64
	domains []*domain
	// capacity and weight sum its hosts'; full is the load that fills one.
	capacity float64
	weight   float64
	full     float64
	demand   float64
	// drained is the share of its callers that a drain sends away.
	drained float64
	// stays is the share of its callers that it serves itself.
	stays float64
	// inbound weighs the region for callers that come from elsewhere.
	inbound float64
	// load is what is planned for the region.
	load float64
}

// domain is a failure domain with its usable hosts.
type domain struct {
	name   string
	hash   uint64
	region *region
	hosts  []*host
	// kept is the capacity less what drains keep away.
	kept   float64
	weight float64
	load   float64
	// free is what the domain can take when another one is lost, spare what it
	// has beside that as a third choice.
	free  float64
	spare float64
	// full is how full the others may get when this domain is lost, fill how
	// full this one may get otherwise.
	full float64
	fill float64
	// spill weighs the other domains for the callers of this one.
	spill []float64
}

// host is a usable host.
type host struct {
	Host
	hash   uint64
	domain *domain
	// weight is the host's part of its region's callers.
	weight float64
	// drained is the share of its work that drains keep away.
	drained float64
	load    float64
}

// NewView prepares a View.
func NewView(cfg Config) View {
	cfg.setDefaults()
	p := &plan{index: cfg.Index, byName: map[string]*region{}, lifetime: cfg.lifetime()}
	p.collect(&cfg)
	for _, r := range p.regions {
		r.weigh()
		r.setDemand(&cfg)
	}
	p.assign(cfg.Fill)
	p.planSpill(cfg.Fill)
	return View{plan: p}
}

// lifetime returns the lifetime of answers, in (0, MaxLifetime].
func (cfg *Config) lifetime() time.Duration {
	d := cfg.Lifetime
	if age := cfg.Now.Sub(cfg.Changed); age < cfg.Settling {
		d = min(d, cfg.Fresh)
	}
	return min(d, MaxLifetime)
}

// collect takes in the usable hosts. If there are none, it takes the silent
// ones, and if there are none of these either, the drained ones: a caller is
// better off with a host that may work than with none.
func (p *plan) collect(cfg *Config) {
	average := averageCapacity(cfg.Hosts)
	for _, try := range []struct{ silent, drained bool }{{false, false}, {true, false}, {true, true}} {
		for _, h := range cfg.Hosts {
			share := drainShare(cfg.Drains, &h)
			if !try.silent && cfg.Now.Sub(h.Heard) > cfg.Silence {
				continue
			}
			if !try.drained && share >= 1 {
				continue
			}
			if !isRate(h.Capacity) {
				h.Capacity = average
			}
			if try.drained {
				share = 0
			}
			p.add(h, share)
		}
		if len(p.domains) > 0 {
			p.setDegraded(try.silent, try.drained)
			break
		}
	}
	p.keepSilent(cfg)
	p.drainRegions(cfg.Drains)
}

// drainRegions notes the drains of regions, unless they leave no region.
func (p *plan) drainRegions(drains []agateinventory.Drain) {
	left := false
	for _, r := range p.regions {
		r.drained = shareOf(drains, agateinventory.DrainRegion, r.name)
		left = left || r.drained < 1
	}
	if left || len(p.regions) == 0 {
		return
	}
	p.degraded = "all-drained"
	for _, r := range p.regions {
		r.drained = 0
	}
}

// keepSilent keeps the silent hosts as second choices for the case that all
// others are in one domain. A listener that is cut off from its peers hears
// nobody else, and should not send everyone to itself alone.
func (p *plan) keepSilent(cfg *Config) {
	if len(p.domains) != 1 {
		return
	}
	heard := p.domains[0] // so what is in another one is silent or drained
	for _, h := range cfg.Hosts {
		same := h.Region == heard.region.name && h.Domain == heard.name
		if same || drainShare(cfg.Drains, &h) >= 1 {
			continue
		}
		p.silent = append(p.silent, &host{Host: h, hash: xxhash.Sum64String(h.Name)})
	}
}

func (p *plan) setDegraded(silent, drained bool) {
	switch {
	case drained:
		p.degraded = "all-drained"
	case silent:
		p.degraded = "all-silent"
	}
}

// isRate reports whether a reported figure is a positive number.
func isRate(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func averageCapacity(hosts []Host) float64 {
	sum, n := 0.0, 0.0
	for _, h := range hosts {
		if isRate(h.Capacity) {
			sum += h.Capacity
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// drainShare returns the share of a host's work that is kept away, leaving out
// drains of its region, which move callers and not hosts.
func drainShare(drains []agateinventory.Drain, h *Host) float64 {
	if h.Draining {
		return 1
	}
	left := 1 - shareOf(drains, agateinventory.DrainHost, h.Name)
	left *= 1 - shareOf(drains, agateinventory.DrainDomain, h.Domain)
	return 1 - left
}

func shareOf(drains []agateinventory.Drain, kind agateinventory.DrainKind, name string) float64 {
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

func (p *plan) add(h Host, drained float64) {
	r := p.byName[h.Region]
	if r == nil {
		r = &region{name: h.Region, hash: xxhash.Sum64String(h.Region)}
		p.byName[h.Region] = r
		p.regions = append(p.regions, r)
	}
	d := r.domain(h.Domain)
	if d == nil {
		d = &domain{name: h.Domain, hash: xxhash.Sum64String(h.Region + "\x00" + h.Domain), region: r}
		r.domains = append(r.domains, d)
		p.domains = append(p.domains, d)
	}
	d.hosts = append(d.hosts, &host{Host: h, hash: xxhash.Sum64String(h.Name), domain: d, drained: drained})
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
		if d := cfg.Demand[r.name]; isRate(d) {
			r.demand = d
		}
		return
	}
	for _, h := range cfg.Hosts {
		if h.Region == r.name && isRate(h.Load) {
			r.demand += h.Load
		}
	}
}
