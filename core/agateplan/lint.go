package agateplan

import (
	"fmt"
	"net"
	"slices"
	"strings"
)

// Lint parses a plan in TOML like Parse, and also returns warnings: entries that no
// request can match, and limits that contradict each other. A plan with warnings is
// valid.
func Lint(file string, data []byte) (p *Plan, warnings, problems Problems) {
	p, table, doc := parse(file, data)
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, nil, problems
	}
	p.lint(table.report)
	return p, doc.Problems(), nil
}

// lint reports what is valid and has no effect, or not the one that it seems to have.
func (p *Plan) lint(report func(at position, text string)) {
	p.lintHosts(report)
	p.lintServices(report)
	p.lintWorkspaces(report)
	if n := p.Limits.MaxHeaderBytes; n > 0 && n < minHeaderBytes {
		report(position{-1, -1, -1, -1, "limits"}, fmt.Sprintf("a limit of %d bytes for headers rejects every request", n))
	}
}

// minHeaderBytes is less than the request line and the Host header of any request.
const minHeaderBytes = 32

func (p *Plan) lintHosts(report func(at position, text string)) {
	seen := map[string]*VirtualHost{}
	for i := range p.VirtualHosts {
		h := &p.VirtualHosts[i]
		name := strings.ToLower(h.Name)
		if _, _, err := net.SplitHostPort(h.Name); err == nil {
			report(position{-1, i, -1, -1, "name"}, fmt.Sprintf("host %q never matches: ports are ignored, so name the host without it", h.Name))
		}
		if other := seen[name]; other != nil {
			report(position{-1, i, -1, -1, "name"}, fmt.Sprintf("host %q is the same as host %q: their routes are merged", h.Name, other.Name))
		}
		seen[name] = h
	}
	last := map[string]position{} // the route that matches, by host and prefix
	for i := range p.VirtualHosts {
		h := &p.VirtualHosts[i]
		for j := range h.Routes {
			r := &h.Routes[j]
			key := strings.ToLower(h.Name) + "\x00" + r.Prefix
			at := position{-1, i, j, -1, "prefix"}
			if earlier, ok := last[key]; ok {
				report(earlier, fmt.Sprintf("route %q of host %q never matches: route %q has the same prefix and comes later",
					p.VirtualHosts[earlier.host].Routes[earlier.route].Name, p.VirtualHosts[earlier.host].Name, r.Name))
			}
			last[key] = at
			p.lintRoute(at, r, report)
		}
	}
}

func (p *Plan) lintRoute(at position, r *Route, report func(at position, text string)) {
	if r.Timeout > 0 && r.Target > r.Timeout {
		at.key = "target"
		report(at, fmt.Sprintf("route %q: the target of %s is never missed: requests end after the timeout of %s", r.Name, r.Target, r.Timeout))
	}
	if r.Public && len(p.Workspaces) == 0 {
		at.key = "public"
		report(at, fmt.Sprintf("route %q: public has no effect: there are no workspaces, so no request needs a key", r.Name))
	}
	if len(p.Workspaces) == 0 || r.Public || len(r.Regions) == 0 {
		return
	}
	for i := range p.Workspaces {
		if _, ok := HomeRegions(r, &p.Workspaces[i]); !ok {
			at.key = "regions"
			report(at, fmt.Sprintf("route %q refuses workspace %q: they have no region in common", r.Name, p.Workspaces[i].Name))
		}
	}
}

func (p *Plan) lintServices(report func(at position, text string)) {
	for i := range p.Services {
		s := &p.Services[i]
		used := slices.ContainsFunc(p.VirtualHosts, func(h VirtualHost) bool {
			return slices.ContainsFunc(h.Routes, func(r Route) bool { return r.RoutesTo(s.Name) })
		})
		if !used {
			report(position{i, -1, -1, -1, "name"}, fmt.Sprintf("service %q gets no requests: no route has a weight for it", s.Name))
		}
		if s.WarmupRate > 0 && s.WarmupTime == 0 {
			report(position{i, -1, -1, -1, "rate"}, fmt.Sprintf("service %q: the rate for cold upstreams has no effect without a warm-up time, unless they announce one", s.Name))
		}
	}
}

func (p *Plan) lintWorkspaces(report func(at position, text string)) {
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		if len(w.Keys) == 0 {
			report(position{-1, -1, -1, i, "keys"}, fmt.Sprintf("workspace %q gets no requests: it has no keys", w.Name))
		}
		if w.Burst > 0 && w.Rate == 0 {
			report(position{-1, -1, -1, i, "burst"}, fmt.Sprintf("workspace %q: a burst has no effect without a rate, as there is no limit then", w.Name))
		}
	}
}
