package agateplan

import (
	"net"
	"strings"
)

// Index looks up routes and services of one plan. It is immutable and safe for
// concurrent use.
type Index struct {
	Plan     *Plan
	hosts    map[string]map[string]*Route // by lower-case host name, then by path prefix
	services map[string]*Service
	keys     *keyIndex             // nil if the plan has no workspaces
	spaces   map[string]*Workspace // workspaces by name

	hasLimits bool
}

// NewIndex returns an index of p, which must not be modified afterwards. Virtual
// hosts whose names differ only in case are merged, and the last route with a
// given prefix wins.
func NewIndex(p *Plan) *Index {
	x := &Index{Plan: p, hosts: map[string]map[string]*Route{}, services: map[string]*Service{}}
	for i := range p.VirtualHosts {
		h := &p.VirtualHosts[i]
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
	if len(p.Workspaces) > 0 {
		x.keys = newKeyIndex(p.Workspaces)
		x.spaces = make(map[string]*Workspace, len(p.Workspaces))
		for i := range p.Workspaces {
			x.spaces[p.Workspaces[i].Name] = &p.Workspaces[i]
			x.hasLimits = x.hasLimits || p.Workspaces[i].Limited()
		}
	}
	return x
}

// HasWorkspaces reports whether requests need a key, unless their route is public.
func (x *Index) HasWorkspaces() bool { return x.keys != nil }

// HasLimits reports whether a workspace has a rate limit.
func (x *Index) HasLimits() bool { return x.hasLimits }

// WorkspaceByKey returns the workspace that holds a key, or nil. How long it takes does
// not depend on the keys of the plan.
func (x *Index) WorkspaceByKey(key string) *Workspace {
	if x.keys == nil {
		return nil
	}
	return x.keys.find(key)
}

// Workspace returns the workspace of that name, or nil.
func (x *Index) Workspace(name string) *Workspace { return x.spaces[name] }

// Match returns the route of a virtual host with the longest prefix of the path,
// or nil. The host may include a port. The path is the escaped path as sent,
// without the query.
func (x *Index) Match(host, path string) *Route {
	routes := x.hosts[hostName(host)]
	if routes == nil {
		return nil
	}
	// Looks up the path itself, then each shorter prefix that ends with a slash.
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r := routes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// HasHost reports whether the plan has a virtual host of that name.
func (x *Index) HasHost(host string) bool { return x.hosts[hostName(host)] != nil }

// Service returns the service of that name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// hostName strips the port from a Host header and converts it to lower case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
