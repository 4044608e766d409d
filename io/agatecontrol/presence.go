package agatecontrol

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"agategate/io/agatewire"
)

const (
	// presenceLease is how long an entry host counts as present after its last
	// heartbeat on a watch stream: three intervals of 500 ms.
	presenceLease = 1500 * time.Millisecond
	// nearHosts is the number of entry hosts of the caller's region from which
	// no others are named.
	nearHosts = 2
)

// watcher is an entry host that watches this replica.
type watcher struct {
	name   string
	region string
	domain string
	caller netip.AddrPort
	ready  bool
	epoch  uint64
	at     time.Time
}

// presence holds the entry hosts that watch this replica. It is kept in memory
// only. It is safe for concurrent use.
type presence struct {
	mu    sync.Mutex
	hosts map[string]watcher
}

// heard takes the heartbeat of an entry host. One without an address for
// callers is of no use to them and left out.
func (p *presence) heard(now time.Time, ask *agatewire.WatchAsk) {
	addr, err := netip.ParseAddrPort(ask.Caller)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[string]watcher)
	}
	name := ask.Sender.GetHost()
	p.hosts[name] = watcher{
		name:   name,
		region: ask.Region,
		domain: ask.Domain,
		caller: addr,
		ready:  ask.Ready,
		epoch:  ask.Sender.GetEpoch(),
		at:     now,
	}
}

// lost notes that the stream of an entry host ended.
func (p *presence) lost(name string, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts[name].epoch == epoch {
		delete(p.hosts, name)
	}
}

// live returns the entry hosts that are present, by name.
func (p *presence) live(now time.Time) []watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []watcher
	for name, h := range p.hosts {
		if now.Sub(h.at) > presenceLease {
			delete(p.hosts, name)
			continue
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(x, y watcher) int { return cmp.Compare(x.name, y.name) })
	return out
}

// Entries returns the addresses for callers of the entry hosts that a caller
// in a region should use: those of its own region, and all others as well when
// the region has fewer than two.
func (c *Control) Entries(region string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, h := range c.presence.live(time.Now()) {
		switch {
		case !h.ready:
		case h.region == region:
			near = append(near, h.caller)
		default:
			far = append(far, h.caller)
		}
	}
	if len(near) >= nearHosts {
		return near
	}
	return append(near, far...)
}
