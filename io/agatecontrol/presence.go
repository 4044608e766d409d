package agatecontrol

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"agategate/io/agatewire"
)

const (
	// presenceLease is how long an entry host counts as present after its last
	// heartbeat on a watch stream: three intervals of 500 ms.
	presenceLease = 1500 * time.Millisecond
	// nearHosts is the number of entry hosts of the caller's region from which
	// no others are named, and nearShare the share of those that the region had
	// lately. Fewer hosts could not carry the region's callers.
	nearHosts = 2
	nearShare = 0.5
	// regionMemory is how long the number of entry hosts of a region is
	// remembered.
	regionMemory = time.Minute
	// settleShare is the share of the present hosts that must be ready before
	// the first list is given out after no host was ready, settleQuiet how long
	// none may have come or become ready, and settleMost how long the list is
	// held back at most. Callers keep their connections, so the first hosts that
	// come back would get the work of all. A host reaches a replica that is
	// back within the pause and the time limit of its dials, 550 ms.
	settleShare = 0.8
	settleQuiet = 600 * time.Millisecond
	settleMost  = 3 * time.Second
	// listAge is how old a list may be that is given out.
	listAge = 50 * time.Millisecond
)

// watcher is an entry host that watches this replica.
type watcher struct {
	name   string
	region string
	domain string
	caller netip.AddrPort
	admin  netip.AddrPort // for operators, if the host has one
	ready  bool
	epoch  uint64
	at     time.Time
}

// present reports whether a watcher was heard within its lease.
func (w *watcher) present(now time.Time) bool { return now.Sub(w.at) <= presenceLease }

// presence holds the entry hosts that watch this replica. It is kept in memory
// only. It is safe for concurrent use.
type presence struct {
	mu    sync.Mutex
	hosts map[string]watcher
	// opened is when a host became ready after none was, grown when a host last
	// came or became ready, and settled whether the list is given out since.
	opened, grown time.Time
	settled       bool
	peaks         map[string]peak
	list          hostList
}

// peak is the largest number of ready hosts of a region, and when it last
// had that many.
type peak struct {
	n  int
	at time.Time
}

// hostList is the entry hosts that were present at a time.
type hostList struct {
	at    time.Time
	names []string // sorted
	ready []watcher
}

// heard takes the heartbeat of an entry host. One without an address for
// callers is of no use to them and left out.
func (p *presence) heard(now time.Time, ask *agatewire.WatchAsk) {
	addr, err := netip.ParseAddrPort(ask.Caller)
	if err != nil {
		return
	}
	admin, err := netip.ParseAddrPort(ask.Admin)
	if err != nil {
		admin = netip.AddrPort{} // only the first message of a stream has it
	}
	p.add(watcher{
		admin:  admin,
		name:   ask.Sender.GetHost(),
		region: ask.Region,
		domain: ask.Domain,
		caller: addr,
		ready:  ask.Ready,
		epoch:  ask.Sender.GetEpoch(),
		at:     now,
	})
}

func (p *presence) add(w watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[string]watcher)
	}
	old := p.hosts[w.name]
	known := old.present(w.at) && old.epoch == w.epoch
	if !known || old.ready != w.ready {
		p.list.at = time.Time{} // the list changes
		p.grown = w.at
	}
	if w.ready && !(known && old.ready) && !p.anyReady(w.at) {
		p.opened = w.at
		p.settled = false
	}
	if known && !w.admin.IsValid() {
		w.admin = old.admin
	}
	p.hosts[w.name] = w
}

func (p *presence) anyReady(now time.Time) bool {
	for _, h := range p.hosts {
		if h.ready && h.present(now) {
			return true
		}
	}
	return false
}

// lost notes that the stream of an entry host ended.
func (p *presence) lost(name string, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts[name].epoch == epoch {
		delete(p.hosts, name)
		p.list.at = time.Time{}
	}
}

// names returns the names of the entry hosts that are present, sorted. The
// result must not be changed.
func (p *presence) names(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current(now).names
}

// all returns the entry hosts that are present, by name.
func (p *presence) all(now time.Time) []watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []watcher
	for _, name := range p.current(now).names {
		out = append(out, p.hosts[name])
	}
	return out
}

// current returns a list that is at most listAge old.
func (p *presence) current(now time.Time) *hostList {
	if age := now.Sub(p.list.at); age >= 0 && age < listAge {
		return &p.list
	}
	list := hostList{at: now}
	count := map[string]int{}
	for name, h := range p.hosts {
		if !h.present(now) {
			delete(p.hosts, name)
			continue
		}
		list.names = append(list.names, name)
		if h.ready {
			list.ready = append(list.ready, h)
			count[h.region]++
		}
	}
	slices.Sort(list.names)
	slices.SortFunc(list.ready, func(x, y watcher) int { return cmp.Compare(x.name, y.name) })
	p.remember(now, count)
	p.list = list
	return &p.list
}

// remember updates the peak of each region.
func (p *presence) remember(now time.Time, count map[string]int) {
	if p.peaks == nil {
		p.peaks = make(map[string]peak)
	}
	for region, n := range count {
		if _, ok := p.peaks[region]; !ok {
			p.peaks[region] = peak{n: n, at: now}
		}
	}
	for region, most := range p.peaks {
		if n := count[region]; n >= most.n || now.Sub(most.at) > regionMemory {
			p.peaks[region] = peak{n: n, at: now}
		}
	}
}

// settles reports whether the hosts had time to come back after none was
// ready.
func (p *presence) settles(now time.Time, list *hostList) bool {
	if now.Sub(p.opened) >= settleMost {
		return true
	}
	enough := settleShare * float64(len(list.names))
	return float64(len(list.ready)) >= enough && now.Sub(p.grown) >= settleQuiet
}

// entries returns the ready hosts that a caller in a region should use, or
// none while the list is not complete.
func (p *presence) entries(now time.Time, region string) []watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.current(now)
	if p.settled = p.settled || p.settles(now, list); !p.settled {
		return nil
	}
	var near, far []watcher
	for _, h := range list.ready {
		if h.region == region {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	enough := max(nearHosts, nearShare*float64(p.peaks[region].n))
	if float64(len(near)) >= enough {
		return near
	}
	return append(near, far...)
}

// Entries returns the addresses for callers of the entry hosts that a caller
// in a region should use: those of its own region, and all others as well when
// the region lost half of its hosts or has fewer than two. It returns none
// while the hosts come back after all were lost. Of more than most hosts, each
// caller gets its own part, which changes only with the hosts.
func (c *Control) Entries(region, caller string, most int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range part(c.presence.entries(time.Now(), region), caller, most) {
		out = append(out, h.caller)
	}
	return out
}

// part returns at most as many hosts, chosen by the rendezvous hash of the
// caller, so that the callers of a large region spread over all its hosts.
func part(hosts []watcher, caller string, most int) []watcher {
	if len(hosts) <= most {
		return hosts
	}
	hosts = slices.Clone(hosts)
	weight := func(h watcher) uint64 { return xxhash.Sum64String(caller + "\x00" + h.name) }
	slices.SortFunc(hosts, func(x, y watcher) int { return cmp.Compare(weight(x), weight(y)) })
	return hosts[:most]
}
