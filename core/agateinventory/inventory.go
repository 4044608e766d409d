// Package agateinventory defines the configuration that operators provide: the
// inventory (regions, services, hosts, address blocks, links) and the rules
// (shifts, drains, retirements, limits).
//
// An Inventory must not be modified after it is parsed, so it is safe for
// concurrent use.
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
	DefaultTargetUtilization = 0.8
	DefaultMaxEjectedShare   = 0.3
	DefaultDeadline          = 2 * time.Second
)

// Inventory is the content of a valid document.
type Inventory struct {
	Regions  []Region
	Services []Service
	Hosts    []Host
	Blocks   []Block
	Links    []Link
	Shifts   []Shift
	Drains   []Drain
	// RetiredUpstreams lists the identities of upstreams that get no new
	// requests.
	RetiredUpstreams []string
	// TargetUtilization is the utilization up to which overflow may load a
	// region, in (0, 1]. The default is 0.8.
	TargetUtilization float64
	// MaxEjectedShare is the largest fraction of a service's upstreams in one
	// region that may be ejected as outliers, in [0, 1). The default is 0.3.
	MaxEjectedShare float64
}

// Region is a location with its failure domains.
type Region struct {
	Name    string
	Domains []string
}

// Service describes a service, which upstreams provide in one or more regions.
type Service struct {
	Name string
	// Regions are the regions in which the service is deployed.
	Regions []string
	// Reads and Actions are the operations of each class; see Classify.
	Reads   []Operation
	Actions []Operation
	// Deadline is the time limit of a request that sets none itself. The default
	// is 2 s.
	Deadline time.Duration
}

// Host is an entry host.
type Host struct {
	Name   string
	Region string
	Domain string
	// CallerAddr is the address that callers connect to.
	CallerAddr netip.AddrPort
	// PeerAddr is the address that other entry hosts connect to.
	PeerAddr netip.AddrPort
}

// Block maps a range of caller addresses to the region nearest to them.
type Block struct {
	Prefix netip.Prefix
	Region string
}

// Link is the network connection from one region to another.
type Link struct {
	From string
	To   string
	// ByteRate is the capacity in bytes per second.
	ByteRate float64
}

// Shift allows or forbids overflow of a service from one region to another, that
// is, requests that are served outside their home region.
type Shift struct {
	Service string
	From    string
	To      string
	Allow   bool
	// MaxRequestRate is the cap in requests per second. It is 0 only if Allow is
	// false.
	MaxRequestRate float64
	// MaxByteRate is the cap in bytes per second. It is 0 only if Allow is false.
	MaxByteRate float64
}

// DrainKind is the kind of object that a Drain names.
type DrainKind string

// The kinds of drains.
const (
	DrainUpstream DrainKind = "upstream"
	DrainHost     DrainKind = "host"
	DrainDomain   DrainKind = "domain"
	DrainRegion   DrainKind = "region"
)

// Drain diverts new requests from an upstream, an entry host, a failure domain
// or a region.
type Drain struct {
	Kind DrainKind
	Name string
	// Share is the fraction of the load that is diverted, in (0, 1]. The default
	// is 1.
	Share float64
}

// Class tells whether a request may be executed more than once.
type Class uint8

// The classes of requests. The zero value is Action, because an operation that
// is not classified must not be repeated.
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

// Operation is an HTTP method with an exact path, or with a path that ends in
// "/*" and matches as a prefix.
type Operation struct {
	Method string
	Path   string
}

// Matches reports whether o matches a request's method and path.
func (o Operation) Matches(method, path string) bool {
	if o.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(o.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return o.Path == path
}

// Classify returns the class of a request. Actions are matched before reads; a
// request that matches neither is an Action.
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

// RegionOf returns the region nearest to an address, which is that of the block
// with the longest matching prefix, and false if no block contains the address.
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
