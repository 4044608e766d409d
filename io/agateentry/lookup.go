package agateentry

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
	"agategate/core/agatelookup"
	"agategate/io/agatelog"
)

// viewInterval is how often the view of entry hosts is rebuilt. It limits how
// long lookup answers lag behind the directory.
const viewInterval = 100 * time.Millisecond

// lookup maintains the view from which lookups are answered.
type lookup struct {
	e     *Entry
	view  atomic.Pointer[agatelookup.View]
	index atomic.Pointer[agatelookup.Index]
	wake  chan struct{}
	// state encodes the state of the hosts and the configuration revision in the
	// last view, and changedAt is when it last changed. The goroutine of run owns
	// both.
	state     string
	changedAt time.Time
}

func newLookup(e *Entry) *lookup {
	l := &lookup{e: e, wake: make(chan struct{}, 1)}
	l.view.Store(&agatelookup.View{})
	l.index.Store(agatelookup.NewIndex(nil))
	return l
}

// maxLifetime returns the longest time for which callers may cache an answer.
func (l *lookup) maxLifetime() time.Duration { return agatelookup.DefaultLifetime }

// configure applies the address blocks of a new inventory.
func (l *lookup) configure(inv *agateinventory.Inventory) {
	l.index.Store(agatelookup.NewIndex(inv.Blocks))
	l.trigger()
}

// trigger requests a new view without waiting for the next interval.
func (l *lookup) trigger() {
	select {
	case l.wake <- struct{}{}:
	default: // already requested
	}
}

func (l *lookup) run(ctx context.Context) {
	tick := time.NewTicker(viewInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.wake:
		}
		l.refresh(time.Now())
	}
}

// refresh rebuilds the view from the directory. The load of hosts is not taken
// into account: it must not move callers to another region, because traffic
// leaves its region only by a shift rule and within its cap.
func (l *lookup) refresh(now time.Time) {
	inv := l.e.inventory.Load()
	hosts := make([]agatelookup.Host, 0, len(inv.Hosts))
	state := make([]byte, 0, 2*len(inv.Hosts))
	for i := range inv.Hosts {
		h := l.host(now, &inv.Hosts[i])
		hosts = append(hosts, h)
		state = append(state, flagByte(h.Unavailable), flagByte(now.Sub(h.LastContact) > agatelookup.DefaultHostTimeout))
	}
	state = strconv.AppendUint(state, l.e.Revision(), 10)
	if string(state) != l.state {
		l.state = string(state)
		l.changedAt = now
	}
	view := agatelookup.NewView(agatelookup.Config{
		Now:       now,
		Index:     l.index.Load(),
		Hosts:     hosts,
		Drains:    inv.Drains,
		ChangedAt: l.changedAt,
	})
	l.view.Store(&view)
}

func flagByte(on bool) byte {
	if on {
		return '1'
	}
	return '0'
}

// host returns the lookup state of an entry host. Direct contact has
// precedence over the control group, which detects a failed host later.
func (l *lookup) host(now time.Time, h *agateinventory.Host) agatelookup.Host {
	out := agatelookup.Host{Name: h.Name, Region: h.Region, Domain: h.Domain, CallerAddr: h.CallerAddr}
	if h.Name == l.e.cfg.Settings.Name {
		out.LastContact = now
		out.Unavailable = l.e.unavailable()
		return out
	}
	row, ok := l.e.directory.get(h.Name)
	if !ok {
		return out
	}
	out.Unavailable = row.draining
	out.LastContact = row.lastContact
	if !row.lastDirectContact.IsZero() {
		out.LastContact = row.lastDirectContact
	}
	return out
}

// homeRegion returns the region of a caller: that of the address block that
// contains its address, or this host's region if there is none.
func (l *lookup) homeRegion(remote string) string {
	if addr, err := netip.ParseAddrPort(remote); err == nil {
		if region, ok := l.index.Load().Region(addr.Addr().Unmap()); ok {
			return region
		}
	}
	return l.e.cfg.Settings.Region
}

// wireHost is one entry host in the answer to a lookup.
type wireHost struct {
	Host       string `json:"host"`
	Region     string `json:"region"`
	Domain     string `json:"domain"`
	CallerAddr string `json:"caller"`
}

// wireLookup is the answer to a lookup. Lifetime is in milliseconds.
type wireLookup struct {
	Hosts    []wireHost `json:"hosts"`
	Region   string     `json:"region,omitempty"`
	Reason   string     `json:"reason"`
	Lifetime int64      `json:"lifetime"`
}

// handleLookup serves GET /v1/lookup.
func (e *Entry) handleLookup(c echo.Context) error {
	start := time.Now()
	service := c.QueryParam("service")
	if service == "" {
		return c.JSON(http.StatusBadRequest, wireError{Error: "look-up: service is missing"})
	}
	if e.inventory.Load().Service(service) == nil {
		return c.JSON(http.StatusNotFound, wireError{Error: "look-up: no such service"})
	}
	caller, err := callerOf(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, wireError{Error: "look-up: client must be an IP address"})
	}
	answer := agatelookup.Choose(agatelookup.Query{Caller: caller}, *e.lookup.view.Load())
	e.metrics.lookup(service)
	e.logLookup(service, answer, start)
	if len(answer.Hosts) == 0 {
		c.Response().Header().Set("Retry-After", "1")
		return c.JSON(http.StatusServiceUnavailable, wireError{Error: "look-up: no entry hosts are known"})
	}
	// max-age is in whole seconds. It is rounded down, so that callers do not
	// cache the answer beyond its lifetime.
	age := int64(answer.Lifetime / time.Second)
	c.Response().Header().Set("Cache-Control", "max-age="+strconv.FormatInt(age, 10))
	out := wireLookup{Region: answer.Region, Reason: answer.Reason, Lifetime: answer.Lifetime.Milliseconds()}
	for _, h := range answer.Hosts {
		out.Hosts = append(out.Hosts, wireHost{Host: h.Name, Region: h.Region, Domain: h.Domain, CallerAddr: h.CallerAddr.String()})
	}
	return c.JSON(http.StatusOK, out)
}

// callerOf returns the address in the query parameter "client", or else the
// address of the caller.
func callerOf(c echo.Context) (netip.Addr, error) {
	if text := c.QueryParam("client"); text != "" {
		return netip.ParseAddr(text)
	}
	addr, err := netip.ParseAddrPort(c.Request().RemoteAddr)
	return addr.Addr().Unmap(), err
}

func (e *Entry) logLookup(service string, a agatelookup.Answer, start time.Time) {
	d := agatelog.Decision{Service: service, Kind: agatelog.Lookup, Reason: a.Reason, Outcome: agatelog.Refused, Duration: time.Since(start)}
	for _, h := range a.Hosts {
		d.Candidates = append(d.Candidates, agatelog.Candidate{Name: h.Name})
	}
	if len(a.Hosts) > 0 {
		d.Choice = a.Hosts[0].Name
		d.Outcome = agatelog.LookupAnswered
	}
	e.cfg.Log.Record(&d)
}
