// Package agateinventory holds what operators feed to the system: the
// inventory (regions, services, hosts, client blocks, links) and the rules
// (shifts, drains, retirements, limits).
//
// An Inventory is immutable once it is parsed, so any number of goroutines
// may read it.
//
// # Usage
//
//	inv, problems := agateinventory.Parse("inventory.toml", data)
//	if len(problems) > 0 {
//		return problems
//	}
//	class := inv.Service("labels").Classify("POST", "/labels")
package agateinventory

import (
	"net/netip"
	"strings"
	"time"
)

// Defaults of an Inventory.
const (
	DefaultTarget   = 0.8
	DefaultEject    = 0.3
	DefaultDeadline = 2 * time.Second
)

// Inventory is one accepted document of inventory and rules.
type Inventory struct {
	Regions  []Region
	Services []Service
	Hosts    []Host
	Blocks   []Block
	Links    []Link
	Shifts   []Shift
	Drains   []Drain
	// Retire lists identities of upstreams that get no new work.
	Retire []string
	// Target is the highest utilisation of a region that overflow may cause,
	// in (0, 1]. The default is 0.8.
	Target float64
	// Eject is the highest fraction of a service's upstreams in one region
	// that may be ejected as outliers, in [0, 1). The default is 0.3.
	Eject float64
}

// Region is a place with its failure domains.
type Region struct {
	Name    string
	Domains []string
}

// Service is something that upstreams answer.
type Service struct {
	Name string
	// Regions are the places in which the service exists.
	Regions []string
	Reads   []Operation
	Actions []Operation
	// Deadline is the time allowed to a request that names none. The default
	// is 2 s.
	Deadline time.Duration
}

// Host is an entry host.
type Host struct {
	Name   string
	Region string
	Domain string
	// Caller is the address on which callers reach the host.
	Caller netip.AddrPort
	// Peer is the address on which other entry hosts reach the host.
	Peer netip.AddrPort
}

// Block maps addresses of callers to the region nearest to them.
type Block struct {
	Prefix netip.Prefix
	Region string
}

// Link is the connection between two regions.
type Link struct {
	From string
	To   string
	// Bytes is the capacity in bytes per second.
	Bytes float64
}

// Shift allows or forbids overflow of a service from one region to another.
type Shift struct {
	Service string
	From    string
	To      string
	Allow   bool
	// Requests is the cap in requests per second.
	Requests float64
	// Bytes is the cap in bytes per second.
	Bytes float64
}

// DrainKind says what a Drain names.
type DrainKind string

// The kinds of drains.
const (
	DrainUpstream DrainKind = "upstream"
	DrainHost     DrainKind = "host"
	DrainDomain   DrainKind = "domain"
	DrainRegion   DrainKind = "region"
)

// Drain keeps new work away from an upstream, an entry host, a failure domain
// or a region.
type Drain struct {
	Kind DrainKind
	Name string
	// Share is the part of the work that is kept away, in (0, 1]. The default
	// is 1.
	Share float64
}

// Class says whether a request may repeat.
type Class uint8

// The classes of requests. The zero value is Action, because an operation
// that nobody classified must not repeat.
const (
	Action Class = iota
	Read
)

// String returns "action" or "read".
func (c Class) String() string {
	if c == Read {
		return "read"
	}
	return "action"
}

// Operation is a method with an exact path or a path that ends in "/*".
type Operation struct {
	Method string
	Path   string
}

// Matches reports whether a request's method and path belong to o.
func (o Operation) Matches(method, path string) bool {
	if o.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(o.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return o.Path == path
}

// Classify returns the class of a request. Actions are matched before reads,
// and what matches neither is an Action.
func (s *Service) Classify(method, path string) Class {
	for _, o := range s.Actions {
		if o.Matches(method, path) {
			return Action
		}
	}
	for _, o := range s.Reads {
		if o.Matches(method, path) {
			return Read
		}
	}
	return Action
}

// Service returns the service with a name, or nil.
func (inv *Inventory) Service(name string) *Service {
	for i := range inv.Services {
		if inv.Services[i].Name == name {
			return &inv.Services[i]
		}
	}
	return nil
}

// RegionOf returns the region nearest to an address: that of the longest
// block that contains it.
func (inv *Inventory) RegionOf(addr netip.Addr) (region string, ok bool) {
	longest := -1
	for _, b := range inv.Blocks {
		if b.Prefix.Bits() > longest && b.Prefix.Contains(addr) {
			longest, region = b.Prefix.Bits(), b.Region
		}
	}
	return region, longest >= 0
}

// Shift returns the rule for overflow of a service between two regions, or
// nil.
func (inv *Inventory) Shift(service, from, to string) *Shift {
	for i := range inv.Shifts {
		s := &inv.Shifts[i]
		if s.Service == service && s.From == from && s.To == to {
			return s
		}
	}
	return nil
}
