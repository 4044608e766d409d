package agateplan

import (
	"strings"
	"time"

	"agategate/internal/agatestrict"
)

// Problems lists every reason why a document is rejected, each with file, line,
// key and text. It implements error.
type Problems = agatestrict.Problems

// planTable and the types below define the TOML document that operators write.
type planTable struct {
	At      agatestrict.Location
	Version int64 `toml:"version,required" min:"1"`
	// Ordinals is as in Plan.
	Ordinals bool `toml:"ordinals"`

	Limits  limitsTable    `toml:"limits"`
	Service []serviceTable `toml:"service"`
	Host    []hostTable    `toml:"host"`

	Workspace []workspaceTable `toml:"workspace"`
}

type workspaceTable struct {
	At       agatestrict.Location
	Name     string   `toml:"name,required"`
	Keys     []string `toml:"keys"`
	Priority int      `toml:"priority" min:"0"`
	Rate     float64  `toml:"rate" min:"0"`  // requests per second over all entry hosts
	Burst    float64  `toml:"burst" min:"0"` // requests
	Regions  []string `toml:"regions"`
}

type limitsTable struct {
	At     agatestrict.Location
	Header int           `toml:"header" min:"0"` // bytes
	Body   int           `toml:"body" min:"0"`   // bytes
	Read   time.Duration `toml:"read" min:"0s"`
	Idle   time.Duration `toml:"idle" min:"0s"`
}

type serviceTable struct {
	At          agatestrict.Location
	Name        string        `toml:"name,required"`
	Health      string        `toml:"health"`
	Connections int           `toml:"connections" min:"0"`
	Warm        time.Duration `toml:"warm" min:"0s"`
	Rate        float64       `toml:"rate" min:"0"` // requests per second to a cold upstream
}

type hostTable struct {
	At    agatestrict.Location
	Name  string       `toml:"name,required"`
	Route []routeTable `toml:"route"`
}

type routeTable struct {
	At       agatestrict.Location
	Name     string        `toml:"name,required"`
	Prefix   string        `toml:"prefix,required"`
	Kind     string        `toml:"kind"`
	Timeout  time.Duration `toml:"timeout" min:"0s"`
	Target   time.Duration `toml:"target" min:"0s"`
	Priority int           `toml:"priority" min:"0"`
	Attempts int           `toml:"attempts" min:"1"`
	Sticky   bool          `toml:"sticky"`
	Public   bool          `toml:"public"`
	Regions  []string      `toml:"regions"`
	Part     []partTable   `toml:"part,required"`
}

type partTable struct {
	At      agatestrict.Location
	Service string  `toml:"service,required"`
	Weight  float64 `toml:"weight" min:"0"`
}

// Parse parses a plan in TOML and rejects unknown keys. It returns either a plan
// that passes Check or every problem found. The file name is only used in
// problems; the file is not opened. By default, routes are unsafe and have one
// attempt, and the services of a route have weight 1.
func Parse(file string, data []byte) (*Plan, Problems) {
	p, _, doc := parse(file, data)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return p, nil
}

// parse parses a plan and checks it. The document has the problems; without any, the
// plan and its table are valid.
func parse(file string, data []byte) (*Plan, *planTable, *agatestrict.Document) {
	doc := agatestrict.Read(file, data)
	table := &planTable{}
	if doc.Incomplete() {
		return nil, table, doc
	}
	doc.Decode(table)
	p := table.plan()
	if len(doc.Problems()) == 0 {
		p.check(table.report)
	}
	return p, table, doc
}

// report adds a problem found by Plan.check at the table it concerns.
func (t *planTable) report(at position, text string) {
	place := t.At
	switch {
	case at.host >= 0 && at.route >= 0:
		place = t.Host[at.host].Route[at.route].At
	case at.host >= 0:
		place = t.Host[at.host].At
	case at.service >= 0:
		place = t.Service[at.service].At
	case at.workspace >= 0:
		place = t.Workspace[at.workspace].At
	}
	place.Report(at.key, "%s", text)
}

func (t *planTable) plan() *Plan {
	p := &Plan{
		Version:  uint64(max(0, t.Version)),
		Ordinals: t.Ordinals,
		Limits:   Limits{MaxHeaderBytes: t.Limits.Header, MaxBodyBytes: t.Limits.Body, HeaderTimeout: t.Limits.Read, IdleTimeout: t.Limits.Idle},
	}
	for i := range t.Service {
		s := &t.Service[i]
		p.Services = append(p.Services, Service{
			Name: s.Name, HealthPath: s.Health, MaxConnections: s.Connections, WarmupTime: s.Warm, WarmupRate: s.Rate,
		})
	}
	for i := range t.Host {
		h := VirtualHost{Name: t.Host[i].Name}
		for j := range t.Host[i].Route {
			h.Routes = append(h.Routes, t.Host[i].Route[j].route())
		}
		p.VirtualHosts = append(p.VirtualHosts, h)
	}
	for i := range t.Workspace {
		w := &t.Workspace[i]
		p.Workspaces = append(p.Workspaces, Workspace{
			Name: w.Name, Keys: w.Keys, Priority: w.Priority, Rate: w.Rate, Burst: w.Burst, Regions: w.Regions,
		})
	}
	return p
}

func (t *routeTable) route() Route {
	r := Route{
		Name:        t.Name,
		Prefix:      t.Prefix,
		Timeout:     t.Timeout,
		Target:      t.Target,
		Priority:    t.Priority,
		MaxAttempts: max(1, t.Attempts),
		Sticky:      t.Sticky,
		Regions:     t.Regions,
		Public:      t.Public,
	}
	if kind, ok := ParseKind(t.Kind); ok {
		r.Kind = kind
	} else if t.Kind != "" {
		t.At.Report("kind", "must be safe, unsafe or download, not %q", t.Kind)
	}
	if !strings.HasSuffix(t.Prefix, "/") {
		t.At.Report("prefix", "must end with a slash; requests match whole path segments")
	}
	for i := range t.Part {
		part := WeightedService{Service: t.Part[i].Service, Weight: t.Part[i].Weight}
		if !t.Part[i].At.IsSet("weight") {
			part.Weight = 1
		}
		r.Services = append(r.Services, part)
	}
	return r
}
