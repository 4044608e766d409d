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
	p.check(func(_ position, text string) {
		problems = append(problems, errors.New("agateplan: "+text))
	})
	return errors.Join(problems...)
}

// position is the part of a plan that a problem is about: the plan itself, a
// service, a host or a route of a host, by index, and one of its keys. Indexes
// that do not apply are -1.
type position struct {
	service, host, route int
	key                  string
}

func (p *Plan) check(report func(at position, text string)) {
	if p.Version == 0 {
		report(position{-1, -1, -1, "version"}, "version must be above 0")
	}
	services := map[string]bool{}
	for i := range p.Services {
		s := &p.Services[i]
		switch {
		case s.Name == "":
			report(position{i, -1, -1, "name"}, fmt.Sprintf("service %d has no name", i))
		case services[s.Name]:
			report(position{i, -1, -1, "name"}, fmt.Sprintf("service %q is listed twice", s.Name))
		}
		services[s.Name] = true
	}
	for i := range p.Hosts {
		h := &p.Hosts[i]
		if h.Name == "" {
			report(position{-1, i, -1, "name"}, fmt.Sprintf("host %d has no name", i))
		}
		for j := range h.Routes {
			r := &h.Routes[j]
			r.check(services, func(key, format string, args ...any) {
				text := fmt.Sprintf("route %q of host %q: ", r.Name, h.Name) + fmt.Sprintf(format, args...)
				report(position{-1, i, j, key}, text)
			})
		}
	}
}

func (r *Route) check(services map[string]bool, report func(key, format string, args ...any)) {
	if !strings.HasPrefix(r.Prefix, "/") {
		report("prefix", "prefix %q does not begin with a slash", r.Prefix)
	}
	if r.Attempts < 1 {
		report("attempts", "attempts must be at least 1")
	}
	if r.Timeout < 0 {
		report("timeout", "a time is below 0")
	}
	if r.Target < 0 {
		report("target", "a time is below 0")
	}
	if len(r.Parts) == 0 {
		report("part", "leads to no service")
	}
	sum := 0.0
	for _, part := range r.Parts {
		if !services[part.Service] {
			report("part", "unknown service %q", part.Service)
		}
		if !(part.Weight >= 0) {
			report("part", "weight of %q is below 0", part.Service)
		}
		sum += part.Weight
	}
	if len(r.Parts) > 0 && !(sum > 0) {
		report("part", "no part has a weight")
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
