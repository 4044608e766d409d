package agateplan

import (
	"bytes"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// planText and the types below define the TOML that Format writes. Optional keys
// with their zero value are omitted; Parse sets their defaults.
type planText struct {
	Version uint64 `toml:"version"`

	Ordinals bool `toml:"ordinals,omitempty"`

	Limits  *limitsText   `toml:"limits,omitempty"`
	Service []serviceText `toml:"service,omitempty"`
	Host    []hostText    `toml:"host,omitempty"`

	Workspace []workspaceText `toml:"workspace,omitempty"`
}

type workspaceText struct {
	Name     string   `toml:"name"`
	Keys     []string `toml:"keys,omitempty"`
	Priority int      `toml:"priority,omitempty"`
	Rate     float64  `toml:"rate,omitempty"`
	Burst    float64  `toml:"burst,omitempty"`
	Regions  []string `toml:"regions,omitempty"`
}

type limitsText struct {
	Header int    `toml:"header,omitempty"`
	Body   int    `toml:"body,omitempty"`
	Read   string `toml:"read,omitempty"`
	Idle   string `toml:"idle,omitempty"`
}

type serviceText struct {
	Name        string  `toml:"name"`
	Health      string  `toml:"health,omitempty"`
	Connections int     `toml:"connections,omitempty"`
	Warm        string  `toml:"warm,omitempty"`
	Rate        float64 `toml:"rate,omitempty"`
}

type hostText struct {
	Name  string      `toml:"name"`
	Route []routeText `toml:"route,omitempty"`
}

type routeText struct {
	Name     string     `toml:"name"`
	Prefix   string     `toml:"prefix"`
	Kind     string     `toml:"kind"`
	Timeout  string     `toml:"timeout,omitempty"`
	Target   string     `toml:"target,omitempty"`
	Priority int        `toml:"priority"`
	Attempts int        `toml:"attempts"`
	Sticky   bool       `toml:"sticky,omitempty"`
	Public   bool       `toml:"public,omitempty"`
	Regions  []string   `toml:"regions,omitempty"`
	Part     []partText `toml:"part,omitempty"`
}

type partText struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"`
}

// Format returns the plan as a TOML document that Parse reads. For a plan returned
// by Parse, parsing the document gives an equal plan.
func Format(p *Plan) ([]byte, error) {
	text := planText{Version: p.Version, Ordinals: p.Ordinals}
	if l := p.Limits; l != (Limits{}) {
		text.Limits = &limitsText{Header: l.MaxHeaderBytes, Body: l.MaxBodyBytes, Read: formatDuration(l.HeaderTimeout), Idle: formatDuration(l.IdleTimeout)}
	}
	for i := range p.Services {
		s := &p.Services[i]
		text.Service = append(text.Service, serviceText{
			Name: s.Name, Health: s.HealthPath, Connections: s.MaxConnections, Warm: formatDuration(s.WarmupTime), Rate: s.WarmupRate,
		})
	}
	for i := range p.VirtualHosts {
		h := hostText{Name: p.VirtualHosts[i].Name}
		for j := range p.VirtualHosts[i].Routes {
			h.Route = append(h.Route, formatRoute(&p.VirtualHosts[i].Routes[j]))
		}
		text.Host = append(text.Host, h)
	}
	for i := range p.Workspaces {
		text.Workspace = append(text.Workspace, workspaceText(p.Workspaces[i]))
	}
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(text); err != nil {
		return nil, fmt.Errorf("agateplan: format: %w", err)
	}
	return buf.Bytes(), nil
}

func formatRoute(r *Route) routeText {
	t := routeText{
		Name:     r.Name,
		Prefix:   r.Prefix,
		Kind:     r.Kind.String(),
		Timeout:  formatDuration(r.Timeout),
		Target:   formatDuration(r.Target),
		Priority: r.Priority,
		Attempts: r.MaxAttempts,
		Sticky:   r.Sticky,
		Regions:  r.Regions,
		Public:   r.Public,
	}
	for _, part := range r.Services {
		t.Part = append(t.Part, partText(part))
	}
	return t
}

// formatDuration returns "" for 0, the default, so that the key is omitted.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
