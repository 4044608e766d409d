package agateplan

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// Diff describes what changes for callers when a plan replaces another one, by service,
// route and workspace, one text a change. It never shows a key, only its fingerprint.
func Diff(old, new *Plan) []string {
	d := &planDiff{}
	d.value("plan", "limits of requests", old.Limits, new.Limits)
	d.value("plan", "ordinals", old.Ordinals, new.Ordinals)
	diffNamed(d, "service", old.Services, new.Services, func(s *Service) string { return s.Name }, (*planDiff).service)
	diffNamed(d, "route", routesOf(old), routesOf(new), (*hostRoute).name, (*planDiff).route)
	diffNamed(d, "workspace", old.Workspaces, new.Workspaces, func(w *Workspace) string { return w.Name }, (*planDiff).workspace)
	return d.texts
}

// planDiff collects changes.
type planDiff struct {
	texts []string
}

func (d *planDiff) add(format string, args ...any) {
	d.texts = append(d.texts, fmt.Sprintf(format, args...))
}

// value adds a change of a value that can be printed.
func (d *planDiff) value(of, what string, old, new any) {
	if a, b := fmt.Sprint(old), fmt.Sprint(new); a != b {
		d.add("%s: %s was %s, becomes %s", of, what, a, b)
	}
}

// diffNamed compares two lists of entries with names.
func diffNamed[T any](d *planDiff, kind string, old, new []T, name func(*T) string, compare func(*planDiff, string, *T, *T)) {
	find := func(list []T, want string) *T {
		for i := range list {
			if name(&list[i]) == want {
				return &list[i]
			}
		}
		return nil
	}
	for i := range old {
		of := kind + " " + name(&old[i])
		if match := find(new, name(&old[i])); match != nil {
			compare(d, of, &old[i], match)
		} else {
			d.add("%s is removed", of)
		}
	}
	for i := range new {
		if find(old, name(&new[i])) == nil {
			d.add("%s %s is added", kind, name(&new[i]))
		}
	}
}

func (d *planDiff) service(of string, old, new *Service) {
	d.value(of, "health path", old.HealthPath, new.HealthPath)
	d.value(of, "connections", old.MaxConnections, new.MaxConnections)
	d.value(of, "warm-up time", old.WarmupTime, new.WarmupTime)
	d.value(of, "requests per second while cold", old.WarmupRate, new.WarmupRate)
}

// hostRoute is a route with the name of its host, by which callers find it.
type hostRoute struct {
	host string
	Route
}

func (r *hostRoute) name() string { return r.host + r.Prefix }

func routesOf(p *Plan) (list []hostRoute) {
	for i := range p.VirtualHosts {
		for _, r := range p.VirtualHosts[i].Routes {
			list = append(list, hostRoute{strings.ToLower(p.VirtualHosts[i].Name), r})
		}
	}
	return list
}

func (d *planDiff) route(of string, old, new *hostRoute) {
	if a, b := formatParts(old.Services), formatParts(new.Services); a != b {
		d.add("%s: requests went to %s, now go to %s", of, a, b)
	}
	d.value(of, "kind", old.Kind, new.Kind)
	d.value(of, "timeout", old.Timeout, new.Timeout)
	d.value(of, "target", old.Target, new.Target)
	d.value(of, "priority", old.Priority, new.Priority)
	d.value(of, "attempts", old.MaxAttempts, new.MaxAttempts)
	d.value(of, "sticky", old.Sticky, new.Sticky)
	d.value(of, "public", old.Public, new.Public)
	d.value(of, "regions", formatRegions(old.Regions), formatRegions(new.Regions))
}

// formatParts formats services with their shares of the requests.
func formatParts(parts []WeightedService) string {
	sum := 0.0
	for _, p := range parts {
		sum += p.Weight
	}
	var texts []string
	for _, p := range parts {
		if p.Weight > 0 {
			texts = append(texts, fmt.Sprintf("%s (%.4g%%)", p.Service, 100*p.Weight/sum))
		}
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}

func formatRegions(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	sorted := slices.Sorted(slices.Values(regions))
	return strings.Join(sorted, ", ")
}

func (d *planDiff) workspace(of string, old, new *Workspace) {
	for _, key := range old.Keys {
		if !slices.Contains(new.Keys, key) {
			d.add("%s: key %s stops working", of, fingerprint(key))
		}
	}
	for _, key := range new.Keys {
		if !slices.Contains(old.Keys, key) {
			d.add("%s: key %s begins to work", of, fingerprint(key))
		}
	}
	d.value(of, "priority", old.Priority, new.Priority)
	if a, b := formatLimit(old), formatLimit(new); a != b {
		d.add("%s: its limit was %s, becomes %s", of, a, b)
	}
	d.value(of, "regions", formatRegions(old.Regions), formatRegions(new.Regions))
}

func formatLimit(w *Workspace) string {
	if !w.Limited() {
		return "none"
	}
	return fmt.Sprintf("%g/s with a burst of %g", w.Rate, w.Burst)
}

// fingerprint identifies a key without showing it.
func fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:4])
}
