package agateentry

import (
	"net/netip"
	"sync"
	"time"

	"agategate/io/agatewire"
)

// directory holds the last known state of the entry hosts, including this one.
// It is safe for concurrent use.
type directory struct {
	mu    sync.Mutex
	hosts map[string]*hostRow
	// listEpoch is the epoch of the control replica whose host list was last
	// applied, listVersion the version of that list.
	listEpoch   uint64
	listVersion uint64
}

// hostRow is the last known state of one entry host.
type hostRow struct {
	name     string
	region   string
	domain   string
	caller   netip.AddrPort
	draining bool
	load     float64
	revision uint64
	// leased reports whether the host has a current lease in the control group.
	leased bool
	// lastContact is when the host was last known to be alive, from its own
	// message or from the control group.
	lastContact time.Time
	// lastDirectContact is when this host last received a message of the host.
	lastDirectContact time.Time
}

func newDirectory() *directory {
	return &directory{hosts: make(map[string]*hostRow)}
}

func (d *directory) row(name string) *hostRow {
	r := d.hosts[name]
	if r == nil {
		r = &hostRow{name: name}
		d.hosts[name] = r
	}
	return r
}

// updateFromPeer applies the state that a host has sent about itself.
func (d *directory) updateFromPeer(now time.Time, s *agatewire.Sender, draining bool, load float64) {
	if s.GetHost() == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.row(s.Host)
	r.lastContact = now
	r.lastDirectContact = now
	r.draining = draining
	r.load = load
	r.revision = s.Revision
}

// updateFromControl applies a heartbeat reply of the control leader. State that
// a host has sent itself within the last second has precedence, because it is
// newer.
func (d *directory) updateFromControl(now time.Time, reply *agatewire.BeatReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listEpoch = reply.View
	d.listVersion = reply.Version
	if reply.Whole {
		for _, r := range d.hosts {
			r.leased = false
		}
	}
	for _, h := range reply.Hosts {
		r := d.row(h.Host)
		r.region = h.Region
		r.domain = h.Domain
		if addr, err := netip.ParseAddrPort(h.Caller); err == nil {
			r.caller = addr
		}
		r.leased = true
		if now.Sub(r.lastDirectContact) > time.Second {
			r.draining = h.Draining
			r.load = h.Load
			r.revision = h.Revision
		}
	}
	for _, name := range reply.Gone {
		d.row(name).leased = false
	}
	for _, r := range d.hosts {
		if r.leased {
			r.lastContact = now
		}
	}
}

// hostListVersion returns the epoch of the control replica and the version of
// its host list that was last applied.
func (d *directory) hostListVersion() (epoch, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listEpoch, d.listVersion
}

// get returns a copy of the state of a host.
func (d *directory) get(name string) (hostRow, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.hosts[name]
	if !ok {
		return hostRow{}, false
	}
	return *r, true
}
