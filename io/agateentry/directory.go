package agateentry

import (
	"net/netip"
	"sync"
	"time"

	"agategate/io/agatewire"
)

// directory is what this host knows about entry hosts, its own row included.
// It is safe for concurrent use.
type directory struct {
	mu    sync.Mutex
	hosts map[string]*hostRow
	// view and version name the control group's list that was last applied.
	view    uint64
	version uint64
}

// hostRow is the last state of one entry host.
type hostRow struct {
	name     string
	region   string
	domain   string
	caller   netip.AddrPort
	draining bool
	load     float64
	revision uint64
	// present says that the control group has a current lease of the host.
	present bool
	// heard is when the host was last known to be alive, either by its own
	// message or from the control group.
	heard time.Time
	// direct is when this host itself last heard it.
	direct time.Time
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

// heardPeer takes what a host says about itself.
func (d *directory) heardPeer(now time.Time, s *agatewire.Sender, draining bool, load float64) {
	if s.GetHost() == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.row(s.Host)
	r.heard = now
	r.direct = now
	r.draining = draining
	r.load = load
	r.revision = s.Revision
}

// heardControl takes what the control group knows. What a host said itself
// within the last second goes first, because it is newer.
func (d *directory) heardControl(now time.Time, reply *agatewire.BeatReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = reply.View
	d.version = reply.Version
	if reply.Whole {
		for _, r := range d.hosts {
			r.present = false
		}
	}
	for _, h := range reply.Hosts {
		r := d.row(h.Host)
		r.region = h.Region
		r.domain = h.Domain
		if addr, err := netip.ParseAddrPort(h.Caller); err == nil {
			r.caller = addr
		}
		r.present = true
		if now.Sub(r.direct) > time.Second {
			r.draining = h.Draining
			r.load = h.Load
			r.revision = h.Revision
		}
	}
	for _, name := range reply.Gone {
		d.row(name).present = false
	}
	for _, r := range d.hosts {
		if r.present {
			r.heard = now
		}
	}
}

// held returns which host list of which control replica this host holds.
func (d *directory) held() (view, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view, d.version
}

// get returns a copy of a host's row.
func (d *directory) get(name string) (hostRow, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.hosts[name]
	if !ok {
		return hostRow{}, false
	}
	return *r, true
}
