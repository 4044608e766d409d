package agateplan

import (
	"strings"
	"time"

	"agategate/internal/agatestrict"
)

// Problems is every reason why a document is refused, each with file, line,
// key and text. It is an error.
type Problems = agatestrict.Problems

// document is a plan as operators write it, in TOML.
type document struct {
	At      agatestrict.Location
	Version int64          `toml:"version,required" min:"1"`
	Limits  limitsTable    `toml:"limits"`
	Service []serviceTable `toml:"service"`
	Host    []hostTable    `toml:"host"`
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
	Rate        float64       `toml:"rate" min:"0"` // requests per second
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
	Regions  []string      `toml:"regions"`
	Part     []partTable   `toml:"part,required"`
}

type partTable struct {
	At      agatestrict.Location
	Service string  `toml:"service,required"`
	Weight  float64 `toml:"weight" min:"0"`
}

// Parse reads a plan in TOML strictly. It returns either a plan that passes
// Check or every problem that it found. The file names the document in the
// problems and is not opened. Routes are unsafe with one attempt and parts
// have the weight 1 unless the document says otherwise.
func Parse(file string, data []byte) (*Plan, Problems) {
	doc := agatestrict.Read(file, data)
	if doc.Incomplete() {
		return nil, doc.Problems()
	}
	var wire document
	doc.Decode(&wire)
	p := wire.plan()
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	p.check(wire.report)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return p, nil
}

// report adds a problem of the plan at the table that it is about.
func (d *document) report(at position, text string) {
	place := d.At
	switch {
	case at.host >= 0 && at.route >= 0:
		place = d.Host[at.host].Route[at.route].At
	case at.host >= 0:
		place = d.Host[at.host].At
	case at.service >= 0:
		place = d.Service[at.service].At
	}
	place.Report(at.key, "%s", text)
}

func (d *document) plan() *Plan {
	p := &Plan{
		Version: uint64(max(0, d.Version)),
		Limits:  Limits{Header: d.Limits.Header, Body: d.Limits.Body, HeaderTime: d.Limits.Read, IdleTime: d.Limits.Idle},
	}
	for i := range d.Service {
		s := &d.Service[i]
		p.Services = append(p.Services, Service{
			Name: s.Name, Health: s.Health, Connections: s.Connections, WarmTime: s.Warm, WarmRate: s.Rate,
		})
	}
	for i := range d.Host {
		h := Host{Name: d.Host[i].Name}
		for j := range d.Host[i].Route {
			h.Routes = append(h.Routes, d.Host[i].Route[j].route())
		}
		p.Hosts = append(p.Hosts, h)
	}
	return p
}

func (t *routeTable) route() Route {
	r := Route{
		Name:     t.Name,
		Prefix:   t.Prefix,
		Timeout:  t.Timeout,
		Target:   t.Target,
		Priority: t.Priority,
		Attempts: max(1, t.Attempts),
		Sticky:   t.Sticky,
		Regions:  t.Regions,
	}
	switch t.Kind {
	case "", Unsafe.String():
	case Safe.String():
		r.Kind = Safe
	default:
		t.At.Report("kind", "must be safe or unsafe, not %q", t.Kind)
	}
	if !strings.HasSuffix(t.Prefix, "/") {
		t.At.Report("prefix", "must end with a slash; requests match whole path segments")
	}
	for i := range t.Part {
		part := Part{Service: t.Part[i].Service, Weight: t.Part[i].Weight}
		if !t.Part[i].At.IsSet("weight") {
			part.Weight = 1
		}
		r.Parts = append(r.Parts, part)
	}
	return r
}
