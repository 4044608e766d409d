// Package agateplan holds routing plans: virtual hosts with their routes, the
// services that these lead to, and the limits on what callers may send.
//
// # Usage
//
//	if err := plan.Check(); err != nil {
//		return err // names every problem
//	}
//	index := agateplan.NewIndex(plan)
//	route := index.Match(r.Host, r.URL.EscapedPath())
//	if route == nil {
//		// no route: 404
//	}
//	service := route.Pick(draw)
package agateplan

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds. The zero value is Unsafe, the one that permits least.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
)

// String returns "unsafe" or "safe".
func (k Kind) String() string {
	if k == Safe {
		return "safe"
	}
	return "unsafe"
}

// Plan is one version of the routing configuration.
type Plan struct {
	// Version rises with each plan, in steps that the operator chooses.
	Version  uint64    `cbor:"1,keyasint"`
	Services []Service `cbor:"2,keyasint"`
	Hosts    []Host    `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}

// Service is one service and what its upstreams have in common.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// Health is the path of the status check.
	Health string `cbor:"2,keyasint"`
	// Connections is what one upstream accepts from all hosts together. Zero
	// means no stated limit.
	Connections int `cbor:"3,keyasint"`
	// WarmTime is how long an upstream is cold after its start.
	WarmTime time.Duration `cbor:"4,keyasint"`
	// WarmRate is the number of requests a second that a cold upstream bears,
	// from all hosts together.
	WarmRate float64 `cbor:"5,keyasint"`
}

// Host is a virtual host.
type Host struct {
	Name   string  `cbor:"1,keyasint"`
	Routes []Route `cbor:"2,keyasint"`
}

// Route leads from a path prefix to services.
type Route struct {
	Name string `cbor:"1,keyasint"`
	// Prefix begins with a slash. The longest one that begins a path wins.
	Prefix string `cbor:"2,keyasint"`
	Kind   Kind   `cbor:"3,keyasint"`
	// Timeout is the longest time that a caller is kept waiting; zero means
	// none but the caller's own.
	Timeout time.Duration `cbor:"4,keyasint"`
	// Target is the time within which an answer is worth most.
	Target time.Duration `cbor:"5,keyasint"`
	// Priority is 0 for the most urgent requests.
	Priority int `cbor:"6,keyasint"`
	// Parts are the services that share the requests by weight.
	Parts []Part `cbor:"7,keyasint"`
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int `cbor:"8,keyasint"`
	// Sticky says that upstreams work faster on objects that they know.
	Sticky bool `cbor:"9,keyasint"`
	// Regions are the only regions in which requests may be served. Empty
	// means all.
	Regions []string `cbor:"10,keyasint"`
}

// Part is a service with its share of a route's requests.
type Part struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// Limits bound what callers may send. Zero values mean the host's defaults.
type Limits struct {
	Header     int           `cbor:"1,keyasint"` // bytes
	Body       int           `cbor:"2,keyasint"` // bytes
	HeaderTime time.Duration `cbor:"3,keyasint"`
	IdleTime   time.Duration `cbor:"4,keyasint"`
}

// Check returns every problem of the plan, joined, or nil.
func (p *Plan) Check() error {
	var problems []error
	add := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf("agateplan: "+format, args...))
	}
	if p.Version == 0 {
		add("version must be above 0")
	}
	known := map[string]bool{}
	for i := range p.Services {
		s := &p.Services[i]
		switch {
		case s.Name == "":
			add("service %d has no name", i)
		case known[s.Name]:
			add("service %q is listed twice", s.Name)
		}
		known[s.Name] = true
	}
	for i := range p.Hosts {
		h := &p.Hosts[i]
		if h.Name == "" {
			add("host %d has no name", i)
		}
		for j := range h.Routes {
			h.Routes[j].check(h.Name, known, add)
		}
	}
	return errors.Join(problems...)
}

func (r *Route) check(host string, known map[string]bool, add func(string, ...any)) {
	if !strings.HasPrefix(r.Prefix, "/") {
		add("route %q of host %q: prefix %q does not begin with a slash", r.Name, host, r.Prefix)
	}
	if r.Attempts < 1 {
		add("route %q of host %q: attempts must be at least 1", r.Name, host)
	}
	if r.Timeout < 0 || r.Target < 0 {
		add("route %q of host %q: a time is below 0", r.Name, host)
	}
	if len(r.Parts) == 0 {
		add("route %q of host %q leads to no service", r.Name, host)
	}
	sum := 0.0
	for _, part := range r.Parts {
		if !known[part.Service] {
			add("route %q of host %q: unknown service %q", r.Name, host, part.Service)
		}
		if !(part.Weight >= 0) {
			add("route %q of host %q: weight of %q is below 0", r.Name, host, part.Service)
		}
		sum += part.Weight
	}
	if len(r.Parts) > 0 && !(sum > 0) {
		add("route %q of host %q: no part has a weight", r.Name, host)
	}
}

// Pick returns the service for a draw from 0 up to 1.
func (r *Route) Pick(draw float64) string {
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	at := draw * sum
	last := ""
	for _, p := range r.Parts {
		if p.Weight <= 0 {
			continue
		}
		last = p.Service
		if at < p.Weight {
			return p.Service
		}
		at -= p.Weight
	}
	return last // rounding only
}

// Allows reports whether the route may be served in a region.
func (r *Route) Allows(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, name := range r.Regions {
		if name == region {
			return true
		}
	}
	return false
}

// Leads reports whether some share of the route's requests goes to a service.
func (r *Route) Leads(service string) bool {
	for _, p := range r.Parts {
		if p.Service == service && p.Weight > 0 {
			return true
		}
	}
	return false
}
