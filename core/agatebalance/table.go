package agatebalance

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/core/agateplan"
)

// Config configures a Table.
type Config struct {
	// Host, Region and Domain name this entry host and its place.
	Host   string
	Region string
	Domain string
	// Regions has the region of each failure domain.
	Regions map[string]string
	// ColdExcess is what a cold upstream bears in one second beyond its
	// service's rate, from all hosts together. The default is 1.
	ColdExcess float64
	// RetryShare is the number of second attempts per request, and RetrySlack
	// the number besides, from all hosts together, that an upstream service
	// bears in RetryWindow. The defaults are 0.1, 10 and 10 s.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

func (cfg Config) withDefaults() Config {
	if cfg.ColdExcess <= 0 {
		cfg.ColdExcess = 1
	}
	if cfg.RetryShare <= 0 {
		cfg.RetryShare = 0.1
	}
	if cfg.RetrySlack <= 0 {
		cfg.RetrySlack = 10
	}
	if cfg.RetryWindow <= 0 {
		cfg.RetryWindow = 10 * time.Second
	}
	return cfg
}

// Row is what the control group says of an upstream.
type Row struct {
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	Slots   int
	// Draining and Gone upstreams get no new work.
	Draining bool
	Gone     bool
	// Lapsed ones are not heard by the control group; they are used while they
	// answer this host.
	Lapsed bool
	// Cold is how much longer the upstream is cold.
	Cold time.Duration
	// Born is the start of its process in Unix milliseconds.
	Born int64
}

// Table is what one entry host knows of the upstreams.
type Table struct {
	cfg       Config
	plan      *agateplan.Index
	upstreams map[string]*upstream
	services  map[string]*service
	evacuated []string
	hosts     []string // sorted
	overflow  overflow
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg.withDefaults(),
		upstreams: map[string]*upstream{},
		services:  map[string]*service{},
	}
}

// SetPlan applies a plan.
func (t *Table) SetPlan(plan *agateplan.Index) { t.plan = plan }

// SetHosts sets the names of the entry hosts that live.
func (t *Table) SetHosts(names []string) {
	t.hosts = slices.Clone(names)
	slices.Sort(t.hosts)
	for _, u := range t.upstreams {
		u.coldRank = t.rank(u)
	}
}

// SetFleet takes in rows of the fleet; whole means that other upstreams are
// not known any more. It returns the upstreams that are gone.
func (t *Table) SetFleet(now time.Time, rows []Row, whole bool, evacuated []string) (gone []string) {
	if !slices.Equal(t.evacuated, evacuated) {
		for _, s := range t.services {
			s.failedAt = now
		}
	}
	t.evacuated = evacuated
	left := map[string]bool{}
	if whole {
		for id := range t.upstreams {
			left[id] = true
		}
	}
	for i := range rows {
		r := &rows[i]
		if r.Gone {
			left[r.ID] = t.upstreams[r.ID] != nil
			continue
		}
		delete(left, r.ID)
		t.setRow(now, r)
	}
	for id, known := range left {
		if known {
			t.service(t.upstreams[id].row.Service).failedAt = now
			t.remove(id)
			gone = append(gone, id)
		}
	}
	for _, s := range t.services {
		s.bonusKnown = false
	}
	slices.Sort(gone)
	return gone
}

func (t *Table) setRow(now time.Time, r *Row) {
	u := t.upstreams[r.ID]
	if u != nil && (u.row.Service != r.Service || u.row.Born != r.Born || u.row.Address != r.Address) {
		t.remove(r.ID)
		u = nil
	}
	if u == nil {
		u = newUpstream(r.ID)
		t.upstreams[r.ID] = u
		s := t.service(r.Service)
		s.upstreams = append(s.upstreams, u)
		slices.SortFunc(s.upstreams, func(a, b *upstream) int {
			if a.row.ID < b.row.ID {
				return -1
			}
			return 1
		})
	}
	if (r.Draining && !u.row.Draining) || (r.Lapsed && !u.row.Lapsed) {
		t.service(r.Service).failedAt = now
	}
	u.row = *r
	u.region = t.cfg.Regions[r.Domain]
	u.near = r.Domain == t.cfg.Domain
	u.local = u.region == t.cfg.Region
	u.coldUntil = time.Time{}
	if r.Cold > 0 {
		u.coldUntil = now.Add(r.Cold)
	}
	u.coldRank = t.rank(u)
}

func (t *Table) remove(id string) {
	u := t.upstreams[id]
	delete(t.upstreams, id)
	s := t.service(u.row.Service)
	s.upstreams = slices.DeleteFunc(s.upstreams, func(x *upstream) bool { return x == u })
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{name: name, work: quantile{value: firstWork}}
		t.services[name] = s
	}
	return s
}

// rank is the place of this host among the hosts that may send to a cold
// upstream, which all hosts order alike, or -1 while the hosts are not known.
func (t *Table) rank(u *upstream) int {
	mine, found := score(t.cfg.Host, u.row.ID), false
	rank := 0
	for _, h := range t.hosts {
		if h == t.cfg.Host {
			found = true
			continue
		}
		if score(h, u.row.ID) < mine {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// score is a hash of two names, from 0 up to 1.
func score(a, b string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a) // a Digest does not fail
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	h := d.Sum64()
	return float64(h>>11) / (1 << 53)
}

// Shares returns for each upstream the number of connections that this host
// may have there: its part of what the service's upstreams accept.
func (t *Table) Shares() map[string]int {
	out := make(map[string]int, len(t.upstreams))
	for id, u := range t.upstreams {
		most := 0
		if t.plan != nil {
			if s := t.plan.Service(u.row.Service); s != nil {
				most = s.MaxConnections
			}
		}
		if most > 0 {
			out[id] = max(shareLeast, int(shareUsed*float64(most))/max(1, len(t.hosts)))
		}
	}
	return out
}

const (
	// shareUsed is the part of an upstream's connections that the hosts use;
	// the rest is for those that this one does not know.
	shareUsed = 0.8
	// shareLeast is the least number of connections to an upstream.
	shareLeast = 2
)

// Size is the number of upstreams that are known.
func (t *Table) Size() int { return len(t.upstreams) }

// View describes an upstream for operators.
type View struct {
	Row      Row
	InFlight int
	Latency  time.Duration
	Failures float64
	Ejected  bool
}

// Views returns all upstreams by identity.
func (t *Table) Views(now time.Time) []View {
	var out []View
	for _, u := range t.upstreams {
		out = append(out, View{
			Row:      u.row,
			InFlight: u.own,
			Latency:  seconds(u.latency.mean),
			Failures: u.failShare(now),
			Ejected:  now.Before(u.ejectedUntil),
		})
	}
	slices.SortFunc(out, func(a, b View) int {
		if a.Row.ID < b.Row.ID {
			return -1
		}
		return 1
	})
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
