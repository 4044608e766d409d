package agateroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

// Defaults of Config.
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultMissed   = 4
	DefaultQueue    = 512
	DefaultBudget   = 0.1
)

// TickInterval is how often the owner must at least call Tick and Next.
const TickInterval = 5 * time.Millisecond

// Config configures a Table. The zero value of each option means its default.
type Config struct {
	// Host is the name of this entry host.
	Host string
	// Region is the region of this entry host.
	Region string
	// Domain is the failure domain of this entry host.
	Domain string
	// Hosts is the number of entry hosts while the inventory lists none. The
	// default is 1.
	Hosts int
	// Interval is the time between announcements, by default 500 ms.
	Interval time.Duration
	// Missed is the number of missed announcements that end a lease, by
	// default 4.
	Missed int
	// Queue bounds the requests that wait per service and region, by default
	// 512.
	Queue int
	// Overflow reports whether one request of a service may leave its region
	// now. It is asked last, right before the request is sent. The default
	// grants nothing.
	Overflow func(now time.Time, service, from, to string) bool
}

func (cfg Config) withDefaults() Config {
	if cfg.Hosts < 1 {
		cfg.Hosts = 1
	}
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Missed < 1 {
		cfg.Missed = DefaultMissed
	}
	if cfg.Queue < 1 {
		cfg.Queue = DefaultQueue
	}
	if cfg.Overflow == nil {
		cfg.Overflow = func(time.Time, string, string, string) bool { return false }
	}
	return cfg
}

func (cfg Config) lease() time.Duration {
	return time.Duration(cfg.Missed) * cfg.Interval
}

// Table is the upstream table of one entry host. It is not safe for
// concurrent use.
type Table struct {
	cfg      Config
	inv      *agateinventory.Inventory
	services map[string]*service
	// serviceOrder is in order of creation, which keeps events in order.
	serviceOrder []*service
	upstreams    map[UpstreamID]*upstream
	order        []*upstream // in order of first announcement
	gone         map[UpstreamID]mark
	groups       []*group // every group, in order of creation
	peers        map[string]*peer
	peersAt      time.Time // mean time of the last reports
	version      uint64
	turn         int // group that Next serves first
	events       []Event
}

// mark remembers the last announcement of an upstream that was removed, so
// that a late one does not bring it back.
type mark struct {
	incarnation uint64
	sequence    uint64
	at          time.Time
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg.withDefaults(),
		inv:       &agateinventory.Inventory{},
		services:  map[string]*service{},
		upstreams: map[UpstreamID]*upstream{},
		gone:      map[UpstreamID]mark{},
		peers:     map[string]*peer{},
	}
}

// Configure applies an inventory and its rules. Running work is not touched.
func (t *Table) Configure(now time.Time, inv *agateinventory.Inventory) {
	t.inv = inv
	if len(inv.Hosts) > 0 {
		t.cfg.Hosts = len(inv.Hosts)
	}
	for _, s := range t.services {
		s.configure(inv)
	}
	for _, u := range t.order {
		t.applyRules(u)
		t.noteDrain(now, u)
	}
}

// applyRules copies what the inventory says about one upstream.
func (t *Table) applyRules(u *upstream) {
	u.retired = false
	for _, id := range t.inv.RetiredUpstreams {
		if UpstreamID(id) == u.id {
			u.retired = true
		}
	}
	u.drains = u.drains[:0]
	for _, d := range t.inv.Drains {
		if d.Share > 0 && drainNames(d, u) {
			salt := xxhash.Sum64String(d.Name)
			u.drains = append(u.drains, staged{share: d.Share, salt: salt})
		}
	}
	u.share = max(1, u.last.Connections/t.cfg.Hosts)
	u.near = u.last.Domain == t.cfg.Domain && u.last.Region == t.cfg.Region
	u.group.recount(u)
}

// drainNames reports whether a drain names an upstream or its place. Drains
// of entry hosts do not concern upstreams.
func drainNames(d agateinventory.Drain, u *upstream) bool {
	switch d.Kind {
	case agateinventory.DrainUpstream:
		return d.Name == string(u.id)
	case agateinventory.DrainDomain:
		return d.Name == u.last.Domain
	case agateinventory.DrainRegion:
		return d.Name == u.last.Region
	}
	return false
}

// service returns the state of a service, which is created on first use.
func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = newService(name)
		s.configure(t.inv)
		t.services[name] = s
		t.serviceOrder = append(t.serviceOrder, s)
	}
	return s
}

// group returns the state of a service in a region, which is created on first
// use.
func (t *Table) group(s *service, region string) *group {
	g := s.groups[region]
	if g == nil {
		g = newGroup(s, region, t.cfg.Queue)
		s.groups[region] = g
		s.order = append(s.order, g)
		t.groups = append(t.groups, g)
	}
	return g
}

// target is the highest utilisation that overflow may cause.
func (t *Table) target() float64 {
	if t.inv.TargetUtilization > 0 {
		return t.inv.TargetUtilization
	}
	return agateinventory.DefaultTargetUtilization
}

// ejectShare is the highest fraction of a group that may be ejected.
func (t *Table) ejectShare() float64 {
	if t.inv.MaxEjectedShare > 0 {
		return t.inv.MaxEjectedShare
	}
	return agateinventory.DefaultMaxEjectedShare
}
