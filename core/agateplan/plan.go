// Package agateplan defines routing plans: virtual hosts with their routes, the
// services that requests are routed to, and the limits on requests of callers.
//
// # Usage
//
//	if err := plan.Check(); err != nil {
//		return err // lists every problem
//	}
//	index := agateplan.NewIndex(plan)
//	route := index.Match(r.Host, r.URL.EscapedPath())
//	if route == nil {
//		// no route: 404
//	}
//	service := route.Pick(rand.Float64())
package agateplan

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind states whether requests of a route may be executed more than once. Safe
// here means idempotent, which is wider than safe methods in RFC 9110.
type Kind uint8

// The kinds. The zero value is Unsafe, the more restrictive one.
const (
	// Unsafe requests are executed at most once.
	Unsafe Kind = iota
	// Safe requests may be executed more than once.
	Safe
	// Download requests may be executed more than once and have large responses.
	Download
)

// kindNames are the names of the kinds in plans.
var kindNames = [...]string{Unsafe: "unsafe", Safe: "safe", Download: "download"}

// String returns the name of the kind in plans. A kind that this build does not know
// is unsafe.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return kindNames[Unsafe]
}

// ParseKind returns the kind of a name, or false if there is none.
func ParseKind(name string) (Kind, bool) {
	i := slices.Index(kindNames[:], name)
	return Kind(max(0, i)), i >= 0
}

// Idempotent reports whether requests may be executed more than once.
func (k Kind) Idempotent() bool { return k == Safe || k == Download }

// Plan is one version of the routing configuration.
type Plan struct {
	// Version increases with each plan, by any step that the operator chooses.
	Version      uint64        `cbor:"1,keyasint"`
	Services     []Service     `cbor:"2,keyasint"`
	VirtualHosts []VirtualHost `cbor:"3,keyasint"`
	Limits       Limits        `cbor:"4,keyasint"`
	// Workspaces hold the keys of which requests must carry one, unless their route is
	// public. If there are none, requests need no key.
	Workspaces []Workspace `cbor:"5,keyasint,omitempty"`
	// Ordinals keeps objects at their upstreams while others are replaced: the control
	// group numbers the upstreams, and their order for an object depends on their
	// numbers and slots in place of their ids.
	Ordinals bool `cbor:"6,keyasint,omitempty"`
}

// Service is a service and the settings shared by its upstreams.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// HealthPath is the path of the health check.
	HealthPath string `cbor:"2,keyasint"`
	// MaxConnections is the number of connections that one upstream accepts from
	// all hosts together. Zero means no configured limit.
	MaxConnections int `cbor:"3,keyasint"`
	// WarmupTime is how long an upstream is cold (warming up) after its start.
	WarmupTime time.Duration `cbor:"4,keyasint"`
	// WarmupRate is the maximum request rate of a cold upstream, in requests per
	// second from all hosts together. Zero means no limit.
	WarmupRate float64 `cbor:"5,keyasint"`
}

// VirtualHost is a host name that callers use and its routes.
type VirtualHost struct {
	Name   string  `cbor:"1,keyasint"`
	Routes []Route `cbor:"2,keyasint"`
}

// Route maps a path prefix to services.
type Route struct {
	Name string `cbor:"1,keyasint"`
	// Prefix begins and ends with a slash. The longest matching prefix wins.
	Prefix string `cbor:"2,keyasint"`
	Kind   Kind   `cbor:"3,keyasint"`
	// Timeout is the maximum time to respond to a caller. Zero means that only
	// the caller's own deadline applies.
	Timeout time.Duration `cbor:"4,keyasint"`
	// Target is the response time to aim for; later responses have less value
	// for the caller.
	Target time.Duration `cbor:"5,keyasint"`
	// Priority is 0 for the most urgent requests; higher values are less urgent.
	Priority int `cbor:"6,keyasint"`
	// Services receive the requests in proportion to their weights.
	Services []WeightedService `cbor:"7,keyasint"`
	// MaxAttempts is the maximum number of upstreams that a request is sent to.
	MaxAttempts int `cbor:"8,keyasint"`
	// Sticky sends requests for the same object to the same upstreams if possible,
	// because they have it cached and process these requests faster.
	Sticky bool `cbor:"9,keyasint"`
	// Regions are the regions in which requests may be processed. Empty means
	// all.
	Regions []string `cbor:"10,keyasint"`
	// Public routes need no key of a workspace.
	Public bool `cbor:"11,keyasint,omitempty"`
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string  `cbor:"1,keyasint"`
	Weight  float64 `cbor:"2,keyasint"`
}

// Limits bound the requests of callers. Zero values mean the defaults of the entry
// host.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint"`
	MaxBodyBytes   int           `cbor:"2,keyasint"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint"` // to read the header of a request
	IdleTimeout    time.Duration `cbor:"4,keyasint"` // between requests on a connection
}

// Check validates the plan. It returns all problems joined, or nil. It does not
// check that prefixes end with a slash; Parse does.
func (p *Plan) Check() error {
	var problems []error
	p.check(func(_ position, text string) {
		problems = append(problems, errors.New("agateplan: "+text))
	})
	return errors.Join(problems...)
}

// position locates a problem: the plan itself, a service, a virtual host, a route of
// a virtual host or a workspace, by index, and the key. Indexes that do not apply are
// -1.
type position struct {
	service, host, route, workspace int
	key                             string
}

func (p *Plan) check(report func(at position, text string)) {
	if p.Version == 0 {
		report(position{-1, -1, -1, -1, "version"}, "version must be above 0")
	}
	services := map[string]bool{}
	for i := range p.Services {
		s := &p.Services[i]
		switch {
		case s.Name == "":
			report(position{i, -1, -1, -1, "name"}, fmt.Sprintf("service %d has no name", i))
		case services[s.Name]:
			report(position{i, -1, -1, -1, "name"}, fmt.Sprintf("service %q is listed twice", s.Name))
		}
		services[s.Name] = true
	}
	for i := range p.VirtualHosts {
		h := &p.VirtualHosts[i]
		if h.Name == "" {
			report(position{-1, i, -1, -1, "name"}, fmt.Sprintf("host %d has no name", i))
		}
		for j := range h.Routes {
			r := &h.Routes[j]
			r.check(services, func(key, format string, args ...any) {
				text := fmt.Sprintf("route %q of host %q: ", r.Name, h.Name) + fmt.Sprintf(format, args...)
				report(position{-1, i, j, -1, key}, text)
			})
		}
	}
	p.checkWorkspaces(func(i int, key, text string) { report(position{-1, -1, -1, i, key}, text) })
}

func (r *Route) check(services map[string]bool, report func(key, format string, args ...any)) {
	if !strings.HasPrefix(r.Prefix, "/") {
		report("prefix", "prefix %q does not begin with a slash", r.Prefix)
	}
	if r.MaxAttempts < 1 {
		report("attempts", "attempts must be at least 1")
	}
	if r.Timeout < 0 {
		report("timeout", "timeout must not be negative")
	}
	if r.Target < 0 {
		report("target", "target must not be negative")
	}
	if len(r.Services) == 0 {
		report("part", "has no services")
	}
	sum := 0.0
	for _, part := range r.Services {
		if !services[part.Service] {
			report("part", "unknown service %q", part.Service)
		}
		if !(part.Weight >= 0) { // negated to reject NaN too
			report("part", "weight of %q is below 0", part.Service)
		}
		sum += part.Weight
	}
	if len(r.Services) > 0 && !(sum > 0) { // negated to reject NaN too
		report("part", "at least one weight must be above 0")
	}
}

// Pick returns the service for a uniform random number in [0, 1), so that services
// are chosen in proportion to their weights.
func (r *Route) Pick(draw float64) string {
	sum := 0.0
	for _, p := range r.Services {
		sum += p.Weight
	}
	rest := draw * sum
	last := ""
	for _, p := range r.Services {
		if p.Weight <= 0 {
			continue
		}
		last = p.Service
		if rest < p.Weight {
			return p.Service
		}
		rest -= p.Weight
	}
	return last // reached only through floating-point rounding
}

// AllowsRegion reports whether requests of the route may be processed in a region.
func (r *Route) AllowsRegion(region string) bool {
	return allowsRegion(r.Regions, region)
}

// RoutesTo reports whether the route sends any requests to a service.
func (r *Route) RoutesTo(service string) bool {
	for _, p := range r.Services {
		if p.Service == service && p.Weight > 0 {
			return true
		}
	}
	return false
}
