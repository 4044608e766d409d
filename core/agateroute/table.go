package agateroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateinventory"
)

const (
	// Defaults of Config.
	DefaultAnnounceInterval    = 500 * time.Millisecond
	DefaultMissedAnnouncements = 4
	DefaultQueueLimit          = 512

	// RetryBudgetRatio is the maximum ratio of second attempts, which are retries
	// and hedges, to requests over 10 s.
	RetryBudgetRatio = 0.1
)

// TickInterval is the maximum time between two calls of Tick, and between two
// rounds of calls of Next, while requests are queued.
const TickInterval = 5 * time.Millisecond

// Config configures a Table. The zero value of an option selects its default.
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
	// AnnounceInterval is the time between announcements of an upstream. The
	// default is 500 ms.
	AnnounceInterval time.Duration
	// MissedAnnouncements is the number of missed announcements after which a
	// lease expires. The default is 4.
	MissedAnnouncements int
	// QueueLimit is the maximum number of requests that wait per service and
	// region. The default is 512.
	QueueLimit int
	// AllowOverflow reports whether one request of a service may be sent from
	// its region to another now, and consumes the grant. It is called last,
	// right before the request is sent. The default allows none.
	AllowOverflow func(now time.Time, service, from, to string) bool
}

func (cfg Config) withDefaults() Config {
	if cfg.Hosts < 1 {
		cfg.Hosts = 1
	}
	if cfg.AnnounceInterval <= 0 {
		cfg.AnnounceInterval = DefaultAnnounceInterval
	}
	if cfg.MissedAnnouncements < 1 {
		cfg.MissedAnnouncements = DefaultMissedAnnouncements
	}
	if cfg.QueueLimit < 1 {
		cfg.QueueLimit = DefaultQueueLimit
	}
	if cfg.AllowOverflow == nil {
		cfg.AllowOverflow = func(time.Time, string, string, string) bool { return false }
	}
	return cfg
}

func (cfg Config) leaseDuration() time.Duration {
	return time.Duration(cfg.MissedAnnouncements) * cfg.AnnounceInterval
}

// Table is the upstream table of one entry host. It is not safe for concurrent
// use.
type Table struct {
	cfg      Config
	inv      *agateinventory.Inventory
	services map[string]*service
	// serviceOrder lists services by creation, so that the order of events is
	// deterministic.
	serviceOrder    []*service
	upstreams       map[UpstreamID]*upstream
	upstreamOrder   []*upstream // by first announcement
	tombstones      map[UpstreamID]tombstone
	groups          []*group // by creation
	peers           map[string]*peer
	peersReportedAt time.Time // mean time of the peers' last reports
	version         uint64
	nextGroup       int // index in groups at which Next starts
	events          []Event
}

// tombstone identifies the last announcement of a removed upstream, so that a
// delayed one does not restore it.
type tombstone struct {
	incarnation uint64
	sequence    uint64
	removedAt   time.Time
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg:        cfg.withDefaults(),
		inv:        &agateinventory.Inventory{},
		services:   map[string]*service{},
		upstreams:  map[UpstreamID]*upstream{},
		tombstones: map[UpstreamID]tombstone{},
		peers:      map[string]*peer{},
	}
}

// Configure applies an inventory and its rules. Requests in flight are not
// affected.
func (t *Table) Configure(now time.Time, inv *agateinventory.Inventory) {
	t.inv = inv
	if len(inv.Hosts) > 0 {
		t.cfg.Hosts = len(inv.Hosts)
	}
	for _, s := range t.services {
		s.configure(inv)
	}
	for _, u := range t.upstreamOrder {
		t.applyRules(u)
		t.updateDrain(now, u)
	}
}

// applyRules applies the inventory's rules to one upstream.
func (t *Table) applyRules(u *upstream) {
	u.retired = false
	for _, id := range t.inv.RetiredUpstreams {
		if UpstreamID(id) == u.id {
			u.retired = true
		}
	}
	u.stagedDrains = u.stagedDrains[:0]
	for _, d := range t.inv.Drains {
		if d.Share > 0 && drainMatches(d, u) {
			salt := xxhash.Sum64String(d.Name)
			u.stagedDrains = append(u.stagedDrains, stagedDrain{share: d.Share, salt: salt})
		}
	}
	u.maxConns = max(1, u.announcement.MaxConnections/t.cfg.Hosts)
	u.sameDomain = u.announcement.Domain == t.cfg.Domain && u.announcement.Region == t.cfg.Region
	u.group.updateTotals(u)
}

// drainMatches reports whether a drain names an upstream, its failure domain or
// its region. Drains of entry hosts do not affect upstreams.
func drainMatches(d agateinventory.Drain, u *upstream) bool {
	switch d.Kind {
	case agateinventory.DrainUpstream:
		return d.Name == string(u.id)
	case agateinventory.DrainDomain:
		return d.Name == u.announcement.Domain
	case agateinventory.DrainRegion:
		return d.Name == u.announcement.Region
	}
	return false
}

// service returns the state of a service and creates it on first use.
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

// group returns the state of a service in a region and creates it on first use.
func (t *Table) group(s *service, region string) *group {
	g := s.groups[region]
	if g == nil {
		g = newGroup(s, region, t.cfg.QueueLimit)
		s.groups[region] = g
		s.groupOrder = append(s.groupOrder, g)
		t.groups = append(t.groups, g)
	}
	return g
}

// targetUtilization is the utilization from which a region accepts no overflow.
func (t *Table) targetUtilization() float64 {
	if t.inv.TargetUtilization > 0 {
		return t.inv.TargetUtilization
	}
	return agateinventory.DefaultTargetUtilization
}

// maxEjectedShare is the maximum share of a group that may be ejected.
func (t *Table) maxEjectedShare() float64 {
	if t.inv.MaxEjectedShare > 0 {
		return t.inv.MaxEjectedShare
	}
	return agateinventory.DefaultMaxEjectedShare
}
