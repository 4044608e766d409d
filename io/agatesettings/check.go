package agatesettings

import (
	"net/netip"
	"strings"
)

const maxNameBytes = 63

// checkKind checks the constraints of a kind of settings. AdapterSettings has none
// besides those of its keys.
func (l *loader) checkKind(s any) {
	switch s := s.(type) {
	case *Entry:
		l.checkEntry(s)
	case *Control:
		l.checkControl(s)
	}
}

func (l *loader) checkEntry(s *Entry) {
	l.checkNames(s.Name, s.Region, s.Domain)
	l.checkTLS(s.TLS)
	l.checkListeners(s.CallerAddr, s.PeerAddr, s.Admin)
	if s.Admin.IsValid() && !s.Admin.Addr().IsLoopback() {
		l.addProblem("admin", "%s is not a loopback address", s.Admin)
	}
	seen := make(map[netip.AddrPort]bool)
	for _, a := range s.Replicas {
		if seen[a] {
			l.addProblem("replicas", "%s is listed twice", a)
		}
		seen[a] = true
		l.checkConnectable("replicas", a)
	}
}

func (l *loader) checkControl(s *Control) {
	l.checkNames(s.Name, s.Region, s.Domain)
	l.checkTLS(s.TLS)
	l.checkListeners(netip.AddrPort{}, s.PeerAddr, s.Admin)
	if s.Join && len(s.Members) > 0 {
		l.addProblem("join", "a replica that joins a group must have no initial members")
	}
	if !s.Join && len(s.Members) == 0 {
		l.addProblem("members", "are missing; set join = true for a replica that the group will add")
	}
	if len(s.Members) > 0 {
		l.checkMembers(s)
	}
}

func (l *loader) checkMembers(s *Control) {
	names, addrs := make(map[string]bool), make(map[netip.AddrPort]bool)
	self := false
	for _, m := range s.Members {
		if names[m.Name] {
			l.addProblem("members", "%q is listed twice", m.Name)
		}
		if addrs[m.Address] {
			l.addProblem("members", "%s is listed twice", m.Address)
		}
		names[m.Name], addrs[m.Address] = true, true
		self = self || m.Name == s.Name && m.Address == s.PeerAddr
		l.checkConnectable("members", m.Address)
	}
	if !self && s.Name != "" && s.PeerAddr.IsValid() {
		l.addProblem("members", "do not include this replica as %q", Member{s.Name, s.PeerAddr})
	}
}

func (l *loader) checkNames(name, region, domain string) {
	l.checkName("name", name)
	l.checkName("region", region)
	l.checkName("domain", domain)
}

func (l *loader) checkName(key, s string) {
	if len(s) > maxNameBytes || strings.ContainsFunc(s, notInName) {
		l.addProblem(key, "must have at most %d printable ASCII characters without spaces and \"/\", not %q", maxNameBytes, s)
	}
}

func notInName(r rune) bool { return r <= ' ' || r >= 0x7f || r == '/' }

// checkConnectable reports an address that others cannot connect to: one without a
// port, or an unspecified or multicast one.
func (l *loader) checkConnectable(key string, a netip.AddrPort) {
	if a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
		l.addProblem(key, "%s is not an address that others can connect to", a)
	}
}

func (l *loader) checkListeners(caller, peer, admin netip.AddrPort) {
	l.checkConnectable("caller", caller)
	l.checkConnectable("peer", peer)
	l.checkConnectable("admin", admin)
	if peer.IsValid() && peer == caller {
		l.addProblem("peer", "%s is already the address for callers", peer)
	}
	if admin.IsValid() && (admin == caller || admin == peer) {
		l.addProblem("admin", "%s is already the address of another listener", admin)
	}
}

func (l *loader) checkTLS(t TLS) {
	files := map[string]string{"tls.cert": t.Cert, "tls.key": t.Key, "tls.ca": t.CA}
	for _, key := range []string{"tls.cert", "tls.key", "tls.ca"} {
		if t.Insecure && files[key] != "" {
			l.addProblem(key, "must not be set together with insecure = true")
		}
		if !t.Insecure && files[key] == "" {
			l.addProblem(key, "is missing; set insecure = true in [tls] to use plain text")
		}
	}
}
