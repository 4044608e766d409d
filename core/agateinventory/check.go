package agateinventory

import (
	"net/netip"
	"strings"

	"agategate/internal/agatestrict"
)

// Lengths in bytes. Names appear in URLs and in every log line.
const (
	maxName     = 63
	maxIdentity = 128
)

// checker validates what the types of the document cannot express.
type checker struct {
	doc      *document
	regions  map[string]*regionTable
	services map[string]*serviceTable
	hosts    map[string]bool
	domains  map[string]string // domain to region
	links    map[[2]string]float64
	broken   bool // a region has no usable name, so references to it cannot be judged
}

func newChecker(doc *document) *checker {
	return &checker{
		doc:      doc,
		regions:  make(map[string]*regionTable),
		services: make(map[string]*serviceTable),
		hosts:    make(map[string]bool),
		domains:  make(map[string]string),
		links:    make(map[[2]string]float64),
	}
}

func (c *checker) check() {
	c.checkLimits()
	c.checkRegions()
	c.checkServices()
	c.checkHosts()
	c.checkBlocks()
	c.checkLinks()
	c.checkShifts()
	c.checkDrains()
	c.checkRetire()
}

func (c *checker) checkLimits() {
	d := c.doc
	if d.Target <= 0 || d.Target > 1 {
		d.At.Refuse("target", "must be above 0 and at most 1, not %v", d.Target)
	}
	if d.Eject < 0 || d.Eject >= 1 {
		d.At.Refuse("eject", "must be at least 0 and below 1, not %v", d.Eject)
	}
}

// name reports a name that is not usable. Only good names are registered.
func name(at agatestrict.Place, key, s string) bool {
	if !at.Has(key) {
		return false
	}
	if !isName(s) {
		at.Refuse(key, "%s, not %q", nameRule, s)
		return false
	}
	return true
}

const nameRule = `must have 1 to 63 ASCII letters, digits, "-", "_" or "." and begin with a letter or digit`

func isName(s string) bool {
	return s != "" && len(s) <= maxName && isWordByte(s[0]) && !strings.ContainsFunc(s, notName)
}

func isWordByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}

func notName(r rune) bool {
	return r > 0x7f || !isWordByte(byte(r)) && r != '-' && r != '_' && r != '.'
}

// identityFault returns why an upstream identity is not usable, or nothing.
func identityFault(s string) string {
	if s == "" || len(s) > maxIdentity || strings.ContainsFunc(s, notGraphic) {
		return "must be an upstream identity of 1 to 128 printable ASCII characters without spaces"
	}
	return ""
}

func notGraphic(r rune) bool { return r <= ' ' || r >= 0x7f }

func (c *checker) checkRegions() {
	if len(c.doc.Region) == 0 {
		c.doc.At.Refuse("region", "at least one region is needed")
	}
	for i := range c.doc.Region {
		r := &c.doc.Region[i]
		c.checkRegionName(r)
		c.checkDomains(r)
	}
}

func (c *checker) checkRegionName(r *regionTable) {
	if !name(r.At, "name", r.Name) {
		c.broken = true
		return
	}
	if old := c.regions[r.Name]; old != nil {
		r.At.Refuse("name", "%q is already the name of the region on line %d", r.Name, old.At.Line())
		return
	}
	c.regions[r.Name] = r
}

func (c *checker) checkDomains(r *regionTable) {
	if r.At.Has("domains") && len(r.Domains) == 0 {
		r.At.Refuse("domains", "a region needs at least one failure domain")
	}
	for i, d := range r.Domains {
		if !isName(d) {
			r.At.RefuseItem("domains", i, "%s, not %q", nameRule, d)
			continue
		}
		if old, ok := c.domains[d]; ok {
			r.At.RefuseItem("domains", i, "%q is already a failure domain of region %q; drains name a failure domain without its region", d, old)
			continue
		}
		c.domains[d] = r.Name
	}
}

// region reports a region that does not exist.
func (c *checker) region(at agatestrict.Place, key, s string) bool {
	if !at.Has(key) || c.broken {
		return false
	}
	if c.regions[s] == nil {
		at.Refuse(key, "%q is not a known region", s)
		return false
	}
	return true
}

func (c *checker) checkHosts() {
	addrs := make(map[netip.AddrPort]string)
	for i := range c.doc.Host {
		h := &c.doc.Host[i]
		if name(h.At, "name", h.Name) {
			if c.hosts[h.Name] {
				h.At.Refuse("name", "%q is already the name of a host", h.Name)
			}
			c.hosts[h.Name] = true
		}
		if c.region(h.At, "region", h.Region) && h.At.Has("domain") && c.domains[h.Domain] != h.Region {
			h.At.Refuse("domain", "%q is not a failure domain of region %q", h.Domain, h.Region)
		}
		checkAddr(h, addrs, "caller", h.Caller)
		checkAddr(h, addrs, "peer", h.Peer)
	}
}

func checkAddr(h *hostTable, addrs map[netip.AddrPort]string, key string, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		h.At.Refuse(key, "%s is not an address that others can connect to", a)
		return
	}
	plain := netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if old, ok := addrs[plain]; ok {
		h.At.Refuse(key, "%s is already the address of host %q", a, old)
		return
	}
	addrs[plain] = h.Name
}

func (c *checker) checkBlocks() {
	seen := make(map[netip.Prefix]int)
	for i := range c.doc.Block {
		b := &c.doc.Block[i]
		c.region(b.At, "region", b.Region)
		p := b.Prefix
		if !p.IsValid() {
			continue
		}
		if p.Addr().Is4In6() {
			b.At.Refuse("prefix", "%s must be written as an IPv4 prefix", p)
			continue
		}
		if p != p.Masked() {
			b.At.Refuse("prefix", "%s has bits set behind its length; the block is %s", p, p.Masked())
			continue
		}
		if line, ok := seen[p]; ok {
			b.At.Refuse("prefix", "%s is already the block on line %d", p, line)
			continue
		}
		seen[p] = b.At.Line()
	}
}

func (c *checker) checkDrains() {
	seen := make(map[[2]string]bool)
	for i := range c.doc.Drain {
		d := &c.doc.Drain[i]
		if share := d.share(); share <= 0 || share > 1 {
			d.At.Refuse("share", "must be above 0 and at most 1, not %v", share)
		}
		c.checkDrainName(d)
		if key := [2]string{d.Kind, d.Name}; seen[key] {
			d.At.Refuse("name", "%s %q is already drained", d.Kind, d.Name)
		} else {
			seen[key] = true
		}
	}
}

func (c *checker) checkDrainName(d *drainTable) {
	if !d.At.Has("kind") || !d.At.Has("name") {
		return
	}
	switch DrainKind(d.Kind) {
	case DrainUpstream:
		if fault := identityFault(d.Name); fault != "" {
			d.At.Refuse("name", "%s, not %q", fault, d.Name)
		}
	case DrainHost:
		if !c.hosts[d.Name] {
			d.At.Refuse("name", "%q is not a known host", d.Name)
		}
	case DrainDomain:
		if _, ok := c.domains[d.Name]; !ok {
			d.At.Refuse("name", "%q is not a known failure domain", d.Name)
		}
	case DrainRegion:
		c.region(d.At, "name", d.Name)
	default:
		d.At.Refuse("kind", `must be "upstream", "host", "domain" or "region", not %q`, d.Kind)
	}
}

func (c *checker) checkRetire() {
	seen := make(map[string]bool)
	for i, id := range c.doc.Retire {
		if fault := identityFault(id); fault != "" {
			c.doc.At.RefuseItem("retire", i, "%s, not %q", fault, id)
			continue
		}
		if seen[id] {
			c.doc.At.RefuseItem("retire", i, "%q is listed twice", id)
		}
		seen[id] = true
	}
}
