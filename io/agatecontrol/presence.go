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
	// Callers get only the entry hosts of their own region if at least
	// minLocalHosts of them are ready, and at least minLocalShare of the recent
	// peak of that region. Fewer hosts could not carry the load of the region's
	// callers.
	minLocalHosts = 2
	minLocalShare = 0.5
	// peakRetention is how long the peak number of entry hosts of a region is
	// kept.
	peakRetention = time.Minute
	// When hosts become ready after none was, callers get no list until
	// settleReadyShare of the present hosts are ready and no host has appeared
	// or changed its readiness for settleQuietPeriod, but at most for
	// settleTimeout. Otherwise the first hosts would get the load of all, since
	// callers keep their connections. A host reconnects to a restarted replica
	// within the sum of its retry pause and dial timeout, 550 ms.
	settleReadyShare  = 0.8
	settleQuietPeriod = 600 * time.Millisecond
	settleTimeout     = 3 * time.Second
	// listMaxAge is how long a computed list is reused.
	listMaxAge = 50 * time.Millisecond
)

// presentHost is an entry host that watches this replica.
type presentHost struct {
	name          string
	region        string
	domain        string
	callerAddr    netip.AddrPort
	peerAddr      netip.AddrPort // for other entry hosts, if the host takes requests from them
	admin         netip.AddrPort // operators' interface, if the host has one
	ready         bool
	unlinked      bool // the host has lost its links to all upstreams
	epoch         uint64
	lastHeartbeat time.Time
}

// present reports whether the lease of the last heartbeat has not expired.
func (w *presentHost) present(now time.Time) bool { return now.Sub(w.lastHeartbeat) <= presenceLease }

// presence tracks the entry hosts that use a routing plan and hold a Watch
// stream to this replica, in memory only. It is safe for concurrent use.
type presence struct {
	mu    sync.Mutex
	hosts map[string]presentHost
	// firstReadyAt is when a host became ready while no other was, lastChangeAt
	// when a host last appeared or changed its readiness, and settled whether
	// the list has been complete since firstReadyAt.
	firstReadyAt, lastChangeAt time.Time
	settled                    bool
	peaks                      map[string]peak
	list                       hostList
}

// peak is the largest recent number of ready hosts of a region, and when the
// region last had that many.
type peak struct {
	count     int
	reachedAt time.Time
}

// hostList is the list of entry hosts that were present at builtAt.
type hostList struct {
	builtAt time.Time
	names   []string // sorted
	ready   []presentHost
	// linked are the hosts of ready that have links to upstreams, or all of ready if
	// none has: then the upstreams have failed, and not the links of every host.
	linked []presentHost
}

// recordHeartbeat records the heartbeat of an entry host. A host without an
// address for callers is ignored, since callers cannot use it.
func (p *presence) recordHeartbeat(now time.Time, req *agatewire.WatchAsk) {
	addr, err := netip.ParseAddrPort(req.Caller)
	if err != nil {
		return
	}
	admin, err := netip.ParseAddrPort(req.Admin)
	if err != nil {
		admin = netip.AddrPort{} // only the first message of a stream has it
	}
	peer, err := netip.ParseAddrPort(req.Peer)
	if err != nil {
		peer = netip.AddrPort{} // hosts of older versions have none
	}
	p.add(presentHost{
		peerAddr:      peer,
		admin:         admin,
		name:          req.Sender.GetHost(),
		region:        req.Region,
		domain:        req.Domain,
		callerAddr:    addr,
		ready:         req.Ready,
		unlinked:      req.Unlinked,
		epoch:         req.Sender.GetEpoch(),
		lastHeartbeat: now,
	})
}

func (p *presence) add(w presentHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = make(map[string]presentHost)
	}
	old := p.hosts[w.name]
	known := old.present(w.lastHeartbeat) && old.epoch == w.epoch
	if !known || old.ready != w.ready || old.peerAddr != w.peerAddr {
		p.list.builtAt = time.Time{} // invalidates the list
		p.lastChangeAt = w.lastHeartbeat
	}
	if old.unlinked != w.unlinked {
		p.list.builtAt = time.Time{}
	}
	if w.ready && !(known && old.ready) && !p.anyReady(w.lastHeartbeat) {
		p.firstReadyAt = w.lastHeartbeat
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

// remove drops an entry host whose stream ended.
func (p *presence) remove(name string, epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts[name].epoch == epoch {
		delete(p.hosts, name)
		p.list.builtAt = time.Time{}
	}
}

// names returns the sorted names of the present entry hosts. The result must
// not be changed.
func (p *presence) names(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current(now).names
}

// all returns the present entry hosts, sorted by name.
func (p *presence) all(now time.Time) []presentHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []presentHost
	for _, name := range p.current(now).names {
		out = append(out, p.hosts[name])
	}
	return out
}

// current returns a list that is at most listMaxAge old. p.mu must be held.
func (p *presence) current(now time.Time) *hostList {
	if age := now.Sub(p.list.builtAt); age >= 0 && age < listMaxAge {
		return &p.list
	}
	list := hostList{builtAt: now}
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
	slices.SortFunc(list.ready, func(x, y presentHost) int { return cmp.Compare(x.name, y.name) })
	list.linked = slices.DeleteFunc(slices.Clone(list.ready), func(h presentHost) bool { return h.unlinked })
	if len(list.linked) == 0 {
		list.linked = list.ready
	}
	p.updatePeaks(now, count)
	p.list = list
	return &p.list
}

// updatePeaks updates the peak of each region from the current counts.
func (p *presence) updatePeaks(now time.Time, count map[string]int) {
	if p.peaks == nil {
		p.peaks = make(map[string]peak)
	}
	for region, n := range count {
		if _, ok := p.peaks[region]; !ok {
			p.peaks[region] = peak{count: n, reachedAt: now}
		}
	}
	for region, old := range p.peaks {
		if n := count[region]; n >= old.count || now.Sub(old.reachedAt) > peakRetention {
			p.peaks[region] = peak{count: n, reachedAt: now}
		}
	}
}

// isSettled reports whether the hosts had time to return after none was ready.
func (p *presence) isSettled(now time.Time, list *hostList) bool {
	if now.Sub(p.firstReadyAt) >= settleTimeout {
		return true
	}
	enough := settleReadyShare * float64(len(list.names))
	return float64(len(list.ready)) >= enough && now.Sub(p.lastChangeAt) >= settleQuietPeriod
}

// entries returns the ready hosts with links to upstreams for a caller in a region,
// or none until the list has settled.
func (p *presence) entries(now time.Time, region string) []presentHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.current(now)
	if p.settled = p.settled || p.isSettled(now, list); !p.settled {
		return nil
	}
	var local, remote []presentHost
	for _, h := range list.linked {
		if h.region == region {
			local = append(local, h)
		} else {
			remote = append(remote, h)
		}
	}
	enough := max(minLocalHosts, minLocalShare*float64(p.peaks[region].count))
	if float64(len(local)) >= enough {
		return local
	}
	return append(local, remote...)
}

// minLocalPeers is the number of peers in its own region with which an entry host is
// told of no others.
const minLocalPeers = 2

// peers returns the entry hosts to which another one may forward requests: those that
// are ready and have links to upstreams, of its own region if there are minLocalPeers.
func (p *presence) peers(now time.Time, name, region string) []presentHost {
	p.mu.Lock()
	defer p.mu.Unlock()
	var local, remote []presentHost
	for _, h := range p.current(now).linked {
		switch {
		case h.name == name || !h.peerAddr.IsValid() || h.unlinked:
		case h.region == region:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	if len(local) >= minLocalPeers {
		return local
	}
	return append(local, remote...)
}

// Entries returns the caller addresses of the entry hosts that a caller in a
// region should use: those of its own region, and all others as well if fewer
// than half of the region's recent peak, or fewer than two, are ready. It
// returns none while the hosts return after all were lost. If there are more
// than limit hosts, each caller gets its own subset, which changes only when
// the hosts change.
func (c *Control) Entries(region, caller string, limit int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range subset(c.presence.entries(time.Now(), region), caller, limit) {
		out = append(out, h.callerAddr)
	}
	return out
}

// subset returns at most limit hosts, chosen by rendezvous hashing of the
// caller, so that the callers of a large region spread over all its hosts.
func subset(hosts []presentHost, caller string, limit int) []presentHost {
	if len(hosts) <= limit {
		return hosts
	}
	hosts = slices.Clone(hosts)
	weight := func(h presentHost) uint64 { return xxhash.Sum64String(caller + "\x00" + h.name) }
	slices.SortFunc(hosts, func(x, y presentHost) int { return cmp.Compare(weight(x), weight(y)) })
	return hosts[:limit]
}
