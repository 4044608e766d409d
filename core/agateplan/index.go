package agateplan

import (
	"net"
	"strings"
)

// Index finds routes and services of one plan. It is immutable and safe for
// concurrent use.
type Index struct {
	Plan     *Plan
	hosts    map[string]map[string]*Route // by host in lower case, then prefix
	services map[string]*Service
}

// NewIndex returns the index of a plan, which must not change afterwards.
func NewIndex(p *Plan) *Index {
	x := &Index{Plan: p, hosts: map[string]map[string]*Route{}, services: map[string]*Service{}}
	for i := range p.Hosts {
		h := &p.Hosts[i]
		name := strings.ToLower(h.Name)
		if x.hosts[name] == nil {
			x.hosts[name] = make(map[string]*Route, len(h.Routes))
		}
		for j := range h.Routes {
			x.hosts[name][h.Routes[j].Prefix] = &h.Routes[j]
		}
	}
	for i := range p.Services {
		x.services[p.Services[i].Name] = &p.Services[i]
	}
	return x
}

// Match returns the route of a host with the longest prefix that begins the
// path, or nil. The path is compared as it was sent, without its query.
func (x *Index) Match(host, path string) *Route {
	routes := x.hosts[hostName(host)]
	if routes == nil {
		return nil
	}
	// Prefixes end at slashes, so only those ends are looked up.
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r := routes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Known reports whether the plan has routes for a host.
func (x *Index) Known(host string) bool { return x.hosts[hostName(host)] != nil }

// Service returns a service of the plan, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// hostName strips the port of a Host header and folds its case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
