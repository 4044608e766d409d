package agateinventory

import (
	"net/netip"
	"time"

	"agategate/internal/agatestrict"
)

// MaxDocumentBytes is the largest accepted size of a document.
const MaxDocumentBytes = agatestrict.MaxBytes

// Problem is one error in a document, with file, line, key and text.
type Problem = agatestrict.Problem

// Problems lists all errors in a document. It implements error.
type Problems = agatestrict.Problems

// document is the TOML schema of an Inventory. The field At of a table is its
// position in the document, for problems.
type document struct {
	At                agatestrict.Location
	TargetUtilization float64        `toml:"target"`
	MaxEjectedShare   float64        `toml:"eject"`
	RetiredUpstreams  []string       `toml:"retire"`
	Region            []regionTable  `toml:"region"`
	Service           []serviceTable `toml:"service"`
	Host              []hostTable    `toml:"host"`
	Block             []blockTable   `toml:"block"`
	Link              []linkTable    `toml:"link"`
	Shift             []shiftTable   `toml:"shift"`
	Drain             []drainTable   `toml:"drain"`
}

type regionTable struct {
	At      agatestrict.Location
	Name    string   `toml:"name,required"`
	Domains []string `toml:"domains,required"`
}

type serviceTable struct {
	At       agatestrict.Location
	Name     string        `toml:"name,required"`
	Regions  []string      `toml:"regions,required"`
	Reads    []Operation   `toml:"reads"`
	Actions  []Operation   `toml:"actions"`
	Deadline time.Duration `toml:"deadline" min:"1ms" max:"10m"`
}

type hostTable struct {
	At         agatestrict.Location
	Name       string         `toml:"name,required"`
	Region     string         `toml:"region,required"`
	Domain     string         `toml:"domain,required"`
	CallerAddr netip.AddrPort `toml:"caller,required"`
	PeerAddr   netip.AddrPort `toml:"peer,required"`
}

type blockTable struct {
	At     agatestrict.Location
	Prefix netip.Prefix `toml:"prefix,required"`
	Region string       `toml:"region,required"`
}

type linkTable struct {
	At       agatestrict.Location
	From     string  `toml:"from,required"`
	To       string  `toml:"to,required"`
	ByteRate float64 `toml:"bytes,required" min:"1"`
}

type shiftTable struct {
	At             agatestrict.Location
	Service        string  `toml:"service,required"`
	From           string  `toml:"from,required"`
	To             string  `toml:"to,required"`
	Allow          bool    `toml:"allow,required"`
	MaxRequestRate float64 `toml:"requests" min:"0"`
	MaxByteRate    float64 `toml:"bytes" min:"0"`
}

type drainTable struct {
	At    agatestrict.Location
	Kind  string  `toml:"kind,required"`
	Name  string  `toml:"name,required"`
	Share float64 `toml:"share"`
}

// Parse parses and validates a document. It returns either an inventory or all
// problems that it found. The file is only the name of the document in problems
// and is not opened. Parse keeps no reference to data.
func Parse(file string, data []byte) (*Inventory, Problems) {
	doc := agatestrict.Read(file, data)
	if doc.Incomplete() {
		return nil, doc.Problems()
	}
	decoded := document{TargetUtilization: DefaultTargetUtilization, MaxEjectedShare: DefaultMaxEjectedShare}
	doc.Decode(&decoded)
	newChecker(&decoded).check()
	if problems := doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return decoded.inventory(), nil
}

func (d *document) inventory() *Inventory {
	inv := &Inventory{TargetUtilization: d.TargetUtilization, MaxEjectedShare: d.MaxEjectedShare}
	inv.RetiredUpstreams = append(inv.RetiredUpstreams, d.RetiredUpstreams...)
	for _, r := range d.Region {
		inv.Regions = append(inv.Regions, Region{Name: r.Name, Domains: r.Domains})
	}
	for _, s := range d.Service {
		inv.Services = append(inv.Services, s.service())
	}
	for _, h := range d.Host {
		inv.Hosts = append(inv.Hosts, Host{Name: h.Name, Region: h.Region, Domain: h.Domain, CallerAddr: h.CallerAddr, PeerAddr: h.PeerAddr})
	}
	for _, b := range d.Block {
		inv.Blocks = append(inv.Blocks, Block{Prefix: b.Prefix, Region: b.Region})
	}
	for _, l := range d.Link {
		inv.Links = append(inv.Links, Link{From: l.From, To: l.To, ByteRate: l.ByteRate})
	}
	for _, s := range d.Shift {
		inv.Shifts = append(inv.Shifts, Shift{Service: s.Service, From: s.From, To: s.To, Allow: s.Allow, MaxRequestRate: s.MaxRequestRate, MaxByteRate: s.MaxByteRate})
	}
	for _, dr := range d.Drain {
		inv.Drains = append(inv.Drains, Drain{Kind: DrainKind(dr.Kind), Name: dr.Name, Share: dr.share()})
	}
	return inv
}

func (t *serviceTable) service() Service {
	s := Service{Name: t.Name, Regions: t.Regions, Deadline: t.Deadline}
	s.Reads = append(s.Reads, t.Reads...)
	s.Actions = append(s.Actions, t.Actions...)
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	return s
}

func (t *drainTable) share() float64 {
	if !t.At.IsSet("share") {
		return 1
	}
	return t.Share
}
