package agatebalance

import (
	"net/netip"
	"slices"
	"time"

	"agategate/core/agateboard"
	"agategate/core/agatelimit"
	"agategate/core/agateplan"
)

// Config configures a Table.
type Config struct {
	// Host is the name of this entry host, Region and Domain its location.
	Host   string
	Region string
	Domain string
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// WarmupBurst is the number of requests that a cold upstream may get in one
	// second in addition to the WarmupRate of its service, from all hosts
	// together. The default is 1.
	WarmupBurst float64
	// RetryRatio is the number of retries allowed per request to a service.
	// MinRetries is the number of retries allowed per RetryWindow regardless of the
	// number of requests, from all hosts together. The defaults are 0.1, 10 and
	// 10 s.
	RetryRatio  float64
	MinRetries  float64
	RetryWindow time.Duration
}

func (cfg Config) withDefaults() Config {
	if cfg.WarmupBurst <= 0 {
		cfg.WarmupBurst = 1
	}
	if cfg.RetryRatio <= 0 {
		cfg.RetryRatio = 0.1
	}
	if cfg.MinRetries <= 0 {
		cfg.MinRetries = 10
	}
	if cfg.RetryWindow <= 0 {
		cfg.RetryWindow = 10 * time.Second
	}
	return cfg
}

// UpstreamInfo is the state of an upstream as reported by the control group.
type UpstreamInfo struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	Slots   int // number of requests processed concurrently
	// Draining and Deregistered upstreams get no new requests.
	Draining     bool
	Deregistered bool
	// Expired reports that the control group received no heartbeat from the
	// upstream for agatecontrol's upstreamTimeout. It is still used as long as it
	// responds to this host.
	Expired bool
	// WarmupLeft is the remaining time for which the upstream is cold.
	WarmupLeft time.Duration
	// StartedAtMs is the start of the upstream's process in Unix milliseconds.
	StartedAtMs int64
	// Ordinal is the upstream's position among those of its service in its failure
	// domain, from 1, or 0 if it has none.
	Ordinal int
}

// Table is the state of all upstreams as seen by one entry host.
type Table struct {
	cfg       Config
	plan      *agateplan.Index
	upstreams map[string]*upstream
	services  map[string]*service
	evacuated []string
	hosts     hosts
	links     links
	limits    agatelimit.Board      // statements of upstreams to this host
	loads     agateboard.Board[int] // loads that upstreams reported to this host
	byLoadKey map[string]*upstream
	domains   map[string]*domain
	// domainChanges are those that TakeDomainChanges has not returned yet.
	domainChanges []DomainChange
	// connectDeviation is the mean deviation of the time in which connections open
	// from one round-trip time, in seconds.
	connectDeviation ewma
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg.withDefaults(),
		upstreams: map[string]*upstream{},
		services:  map[string]*service{},
		byLoadKey: map[string]*upstream{},
		domains:   map[string]*domain{},
	}
}

// SetPlan applies a plan.
func (t *Table) SetPlan(plan *agateplan.Index) {
	t.plan = plan
	for _, u := range t.upstreams {
		t.setOrder(u)
	}
	for _, s := range t.services {
		s.setWeights(t.usesOrdinals())
	}
}

// UpdateUpstreams adds, updates and removes upstreams. If full is set, upstreams
// that are not listed are removed. evacuated is the complete list of evacuated
// failure domains and replaces the previous one, also if full is not set.
// UpdateUpstreams returns the sorted IDs of the removed upstreams.
func (t *Table) UpdateUpstreams(now time.Time, upstreams []UpstreamInfo, full bool, evacuated []string) (removed []string) {
	if !slices.Equal(t.evacuated, evacuated) {
		t.disrupt(now)
	}
	t.evacuated = evacuated
	toRemove := map[string]bool{}
	if full {
		for id := range t.upstreams {
			toRemove[id] = true
		}
	}
	for i := range upstreams {
		info := &upstreams[i]
		if info.Deregistered {
			toRemove[info.ID] = t.upstreams[info.ID] != nil
			continue
		}
		delete(toRemove, info.ID)
		t.updateUpstream(now, info)
	}
	for id, exists := range toRemove {
		if exists {
			t.service(t.upstreams[id].info.Service).disruptedAt = now
			t.remove(id)
			removed = append(removed, id)
		}
	}
	for _, s := range t.services {
		s.localBonusValid = false
		s.setWeights(t.usesOrdinals())
	}
	slices.Sort(removed)
	return removed
}

// updateUpstream adds or updates an upstream. It discards the statistics of the
// upstream if its service, process or address has changed.
func (t *Table) updateUpstream(now time.Time, info *UpstreamInfo) {
	u := t.upstreams[info.ID]
	if u != nil && (u.info.Service != info.Service || u.info.StartedAtMs != info.StartedAtMs || u.info.Address != info.Address) {
		t.remove(info.ID)
		u = nil
	}
	if u == nil {
		u = newUpstream(info.ID)
		u.loadKey = loadKey(info)
		t.upstreams[info.ID] = u
		t.byLoadKey[u.loadKey] = u
		s := t.service(info.Service)
		s.upstreams = append(s.upstreams, u)
		slices.SortFunc(s.upstreams, func(a, b *upstream) int {
			if a.info.ID < b.info.ID {
				return -1
			}
			return 1
		})
	}
	if (info.Draining && !u.info.Draining) || (info.Expired && !u.info.Expired) {
		t.service(info.Service).disruptedAt = now
	}
	u.info = *info
	u.region = t.cfg.Regions[info.Domain]
	u.local = u.region == t.cfg.Region
	u.coldUntil = time.Time{}
	if info.WarmupLeft > 0 {
		u.coldUntil = now.Add(info.WarmupLeft)
	}
	u.hostRank = t.hostRank(u)
	t.setOrder(u)
}

func (t *Table) remove(id string) {
	u := t.upstreams[id]
	delete(t.upstreams, id)
	if t.byLoadKey[u.loadKey] == u {
		delete(t.byLoadKey, u.loadKey)
	}
	s := t.service(u.info.Service)
	s.upstreams = slices.DeleteFunc(s.upstreams, func(x *upstream) bool { return x == u })
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{name: name}
		t.services[name] = s
	}
	return s
}

// MaxConns returns, by upstream, the number of connections that this host
// may open: its share of the service's MaxConnections. Upstreams without a limit
// are left out.
func (t *Table) MaxConns() map[string]int {
	out := make(map[string]int, len(t.upstreams))
	for id, u := range t.upstreams {
		maxConns := 0
		if t.plan != nil {
			if s := t.plan.Service(u.info.Service); s != nil {
				maxConns = s.MaxConnections
			}
		}
		if maxConns > 0 {
			out[id] = max(minConnsPerHost, int(usableConnShare*float64(maxConns))/t.numHosts())
		}
	}
	return out
}

const (
	// usableConnShare is the fraction of an upstream's connections that the known
	// hosts may use; the rest is reserved for hosts that this one does not know.
	usableConnShare = 0.8
	// minConnsPerHost is the minimum number of connections per upstream of one host.
	minConnsPerHost = 2
)

// Size returns the number of upstreams.
func (t *Table) Size() int { return len(t.upstreams) }

// UpstreamStatus describes an upstream to operators.
type UpstreamStatus struct {
	Info        UpstreamInfo
	InFlight    int
	Latency     time.Duration // moving average
	FailureRate float64       // 0 to 1
	Ejected     bool
	Limit       agatelimit.Limit
}

// Status returns the status of all upstreams, sorted by ID.
func (t *Table) Status(now time.Time) []UpstreamStatus {
	var out []UpstreamStatus
	for _, u := range t.upstreams {
		out = append(out, UpstreamStatus{
			Info:        u.info,
			InFlight:    u.inFlight,
			Latency:     seconds(u.latency.mean),
			FailureRate: u.decayedFailureRate(now),
			Ejected:     now.Before(u.ejectedUntil),
			Limit:       u.limit.limit,
		})
	}
	slices.SortFunc(out, func(a, b UpstreamStatus) int {
		if a.Info.ID < b.Info.ID {
			return -1
		}
		return 1
	})
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
