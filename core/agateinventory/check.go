package agateinventory

import (
	"net/netip"
	"strings"

	"agategate/internal/agatestrict"
)

// Maximum lengths. They are short because names appear in URLs and in every log
// line.
const (
	maxNameBytes     = 63
	maxIdentityBytes = 128
)

// checker validates the constraints that the types of the document do not
// express, and reports violations to the document.
type checker struct {
	doc               *document
	regions           map[string]*regionTable
	services          map[string]*serviceTable
	hosts             map[string]bool
	domains           map[string]string     // domain to region
	linkRates         map[[2]string]float64 // bytes per second by {from, to}
	regionsIncomplete bool                  // a region has no valid name; unknown regions are then not reported
}

func newChecker(doc *document) *checker {
	return &checker{
		doc:       doc,
		regions:   make(map[string]*regionTable),
		services:  make(map[string]*serviceTable),
		hosts:     make(map[string]bool),
		domains:   make(map[string]string),
		linkRates: make(map[[2]string]float64),
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
	c.checkRetiredUpstreams()
}

func (c *checker) checkLimits() {
	d := c.doc
	if d.TargetUtilization <= 0 || d.TargetUtilization > 1 {
		d.At.Report("target", "must be above 0 and at most 1, not %v", d.TargetUtilization)
	}
	if d.MaxEjectedShare < 0 || d.MaxEjectedShare >= 1 {
		d.At.Report("eject", "must be at least 0 and below 1, not %v", d.MaxEjectedShare)
	}
}

// checkName reports an invalid name as a problem. It returns whether the name is
// present and valid.
func checkName(at agatestrict.Location, key, s string) bool {
	if !at.IsSet(key) {
		return false
	}
	if !isName(s) {
		at.Report(key, "%s, not %q", nameRule, s)
		return false
	}
	return true
}

const nameRule = `must have 1 to 63 ASCII letters, digits, "-", "_" or "." and begin with a letter or digit`

func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && isAlphanumeric(s[0]) && !strings.ContainsFunc(s, isInvalidInName)
}

func isAlphanumeric(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}

func isInvalidInName(r rune) bool {
	return r > 0x7f || !isAlphanumeric(byte(r)) && r != '-' && r != '_' && r != '.'
}

// identityError returns why an upstream identity is invalid, or "".
func identityError(s string) string {
	if s == "" || len(s) > maxIdentityBytes || strings.ContainsFunc(s, isInvalidInIdentity) {
		return "must be an upstream identity of 1 to 128 printable ASCII characters without spaces"
	}
	return ""
}

func isInvalidInIdentity(r rune) bool { return r <= ' ' || r >= 0x7f }

func (c *checker) checkRegions() {
	if len(c.doc.Region) == 0 {
		c.doc.At.Report("region", "at least one region is needed")
	}
	for i := range c.doc.Region {
		r := &c.doc.Region[i]
		c.checkRegionName(r)
		c.checkDomains(r)
	}
}

func (c *checker) checkRegionName(r *regionTable) {
	if !checkName(r.At, "name", r.Name) {
		c.regionsIncomplete = true
		return
	}
	if old := c.regions[r.Name]; old != nil {
		r.At.Report("name", "%q is already the name of the region on line %d", r.Name, old.At.Line())
		return
	}
	c.regions[r.Name] = r
}

func (c *checker) checkDomains(r *regionTable) {
	if r.At.IsSet("domains") && len(r.Domains) == 0 {
		r.At.Report("domains", "a region needs at least one failure domain")
	}
	for i, d := range r.Domains {
		if !isName(d) {
			r.At.ReportItem("domains", i, "%s, not %q", nameRule, d)
			continue
		}
		if old, ok := c.domains[d]; ok {
			r.At.ReportItem("domains", i, "%q is already a failure domain of region %q; drains name a failure domain without its region", d, old)
			continue
		}
		c.domains[d] = r.Name
	}
}

// checkRegion reports an unknown region as a problem. It returns whether the
// region is present and known, or false if the known regions are incomplete.
func (c *checker) checkRegion(at agatestrict.Location, key, s string) bool {
	if !at.IsSet(key) || c.regionsIncomplete {
		return false
	}
	if c.regions[s] == nil {
		at.Report(key, "%q is not a known region", s)
		return false
	}
	return true
}

func (c *checker) checkHosts() {
	addrs := make(map[netip.AddrPort]string)
	for i := range c.doc.Host {
		h := &c.doc.Host[i]
		if checkName(h.At, "name", h.Name) {
			if c.hosts[h.Name] {
				h.At.Report("name", "%q is already the name of a host", h.Name)
			}
			c.hosts[h.Name] = true
		}
		if c.checkRegion(h.At, "region", h.Region) && h.At.IsSet("domain") && c.domains[h.Domain] != h.Region {
			h.At.Report("domain", "%q is not a failure domain of region %q", h.Domain, h.Region)
		}
		checkAddr(h, addrs, "caller", h.CallerAddr)
		checkAddr(h, addrs, "peer", h.PeerAddr)
	}
}

func checkAddr(h *hostTable, addrs map[netip.AddrPort]string, key string, a netip.AddrPort) {
	if !a.IsValid() {
		return
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		h.At.Report(key, "%s is not an address that others can connect to", a)
		return
	}
	unmapped := netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	if old, ok := addrs[unmapped]; ok {
		h.At.Report(key, "%s is already the address of host %q", a, old)
		return
	}
	addrs[unmapped] = h.Name
}

func (c *checker) checkBlocks() {
	seen := make(map[netip.Prefix]int)
	for i := range c.doc.Block {
		b := &c.doc.Block[i]
		c.checkRegion(b.At, "region", b.Region)
		p := b.Prefix
		if !p.IsValid() {
			continue
		}
		if p.Addr().Is4In6() {
			b.At.Report("prefix", "%s must be written as an IPv4 prefix", p)
			continue
		}
		if p != p.Masked() {
			b.At.Report("prefix", "%s has host bits set; the network is %s", p, p.Masked())
			continue
		}
		if line, ok := seen[p]; ok {
			b.At.Report("prefix", "%s is already the prefix of the block on line %d", p, line)
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
			d.At.Report("share", "must be above 0 and at most 1, not %v", share)
		}
		c.checkDrainName(d)
		if key := [2]string{d.Kind, d.Name}; seen[key] {
			d.At.Report("name", "%s %q is already drained", d.Kind, d.Name)
		} else {
			seen[key] = true
		}
	}
}

func (c *checker) checkDrainName(d *drainTable) {
	if !d.At.IsSet("kind") || !d.At.IsSet("name") {
		return
	}
	switch DrainKind(d.Kind) {
	case DrainUpstream:
		if problem := identityError(d.Name); problem != "" {
			d.At.Report("name", "%s, not %q", problem, d.Name)
		}
	case DrainHost:
		if !c.hosts[d.Name] {
			d.At.Report("name", "%q is not a known host", d.Name)
		}
	case DrainDomain:
		if _, ok := c.domains[d.Name]; !ok {
			d.At.Report("name", "%q is not a known failure domain", d.Name)
		}
	case DrainRegion:
		c.checkRegion(d.At, "name", d.Name)
	default:
		d.At.Report("kind", `must be "upstream", "host", "domain" or "region", not %q`, d.Kind)
	}
}

func (c *checker) checkRetiredUpstreams() {
	seen := make(map[string]bool)
	for i, id := range c.doc.RetiredUpstreams {
		if problem := identityError(id); problem != "" {
			c.doc.At.ReportItem("retire", i, "%s, not %q", problem, id)
			continue
		}
		if seen[id] {
			c.doc.At.ReportItem("retire", i, "%q is listed twice", id)
		}
		seen[id] = true
	}
}
