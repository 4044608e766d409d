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

// viewEvery is how often the view of entry hosts is made anew. It bounds how
// long an answer lags behind what exchanges have told.
const viewEvery = 100 * time.Millisecond

// lookup is the duty that keeps the view from which look-ups are answered.
type lookup struct {
	e     *Entry
	view  atomic.Pointer[agatelookup.View]
	index atomic.Pointer[agatelookup.Index]
	wake  chan struct{}
	// state and changed are the last state of the hosts and since when it is
	// the same. The duty's goroutine owns them.
	state   string
	changed time.Time
}

func newLookup(e *Entry) *lookup {
	l := &lookup{e: e, wake: make(chan struct{}, 1)}
	l.view.Store(&agatelookup.View{})
	l.index.Store(agatelookup.NewIndex(nil))
	return l
}

// longest is the longest time for which callers cache an answer.
func (l *lookup) longest() time.Duration { return agatelookup.DefaultLifetime }

// configured takes the client blocks of a new inventory.
func (l *lookup) configured(inv *agateinventory.Inventory) {
	l.index.Store(agatelookup.NewIndex(inv.Blocks))
	l.kick()
}

// kick makes a new view due.
func (l *lookup) kick() {
	select {
	case l.wake <- struct{}{}:
	default: // one is due already
	}
}

func (l *lookup) run(ctx context.Context) {
	tick := time.NewTicker(viewEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.wake:
		}
		l.renew(time.Now())
	}
}

// renew makes the view from what is known now. Hosts are taken as equally
// strong: their load moves no callers to another region, because traffic
// leaves its region only by rule and within its cap.
func (l *lookup) renew(now time.Time) {
	inv := l.e.inventory.Load()
	hosts := make([]agatelookup.Host, 0, len(inv.Hosts))
	state := make([]byte, 0, 2*len(inv.Hosts))
	for i := range inv.Hosts {
		h := l.host(now, &inv.Hosts[i])
		hosts = append(hosts, h)
		state = append(state, flag(h.ShuttingDown), flag(now.Sub(h.LastContact) > agatelookup.DefaultHostTimeout))
	}
	state = strconv.AppendUint(state, l.e.Revision(), 10)
	if string(state) != l.state {
		l.state = string(state)
		l.changed = now
	}
	view := agatelookup.NewView(agatelookup.Config{
		Now:       now,
		Index:     l.index.Load(),
		Hosts:     hosts,
		Drains:    inv.Drains,
		ChangedAt: l.changed,
	})
	l.view.Store(&view)
}

func flag(on bool) byte {
	if on {
		return '1'
	}
	return '0'
}

// host returns what is known about an entry host. This host's own exchanges
// go before what the control group tells, which notices a death later.
func (l *lookup) host(now time.Time, h *agateinventory.Host) agatelookup.Host {
	out := agatelookup.Host{Name: h.Name, Region: h.Region, Domain: h.Domain, CallerAddr: h.CallerAddr}
	if h.Name == l.e.cfg.Settings.Name {
		out.LastContact = now
		out.ShuttingDown = l.e.absent()
		return out
	}
	row, ok := l.e.directory.get(h.Name)
	if !ok {
		return out
	}
	out.ShuttingDown = row.draining
	out.LastContact = row.heard
	if !row.direct.IsZero() {
		out.LastContact = row.direct
	}
	return out
}

// homeOf returns the region of a caller: that of its client block, or the
// region of this host when no block contains the address.
func (l *lookup) homeOf(remote string) string {
	if addr, err := netip.ParseAddrPort(remote); err == nil {
		if region, ok := l.index.Load().Region(addr.Addr().Unmap()); ok {
			return region
		}
	}
	return l.e.cfg.Settings.Region
}

// wireHost is one entry host of a look-up's answer.
type wireHost struct {
	Host   string `json:"host"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	Caller string `json:"caller"`
}

// wireLookup is the answer to a look-up. Lifetime is in milliseconds.
type wireLookup struct {
	Hosts    []wireHost `json:"hosts"`
	Region   string     `json:"region,omitempty"`
	Reason   string     `json:"reason"`
	Lifetime int64      `json:"lifetime"`
}

// handleLookup serves GET /v1/lookup.
func (e *Entry) handleLookup(c echo.Context) error {
	begun := time.Now()
	service := c.QueryParam("service")
	if service == "" {
		return c.JSON(http.StatusBadRequest, wireError{Error: "look-up: service is missing"})
	}
	if e.inventory.Load().Service(service) == nil {
		return c.JSON(http.StatusNotFound, wireError{Error: "look-up: no such service"})
	}
	client, err := clientOf(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, wireError{Error: "look-up: client must be an IP number"})
	}
	answer := agatelookup.Choose(agatelookup.Query{Caller: client}, *e.lookup.view.Load())
	e.metrics.lookup(service)
	e.logLookup(service, answer, begun)
	if len(answer.Hosts) == 0 {
		c.Response().Header().Set("Retry-After", "1")
		return c.JSON(http.StatusServiceUnavailable, wireError{Error: "look-up: no entry hosts are known"})
	}
	// max-age has whole seconds, and a shorter lifetime may not be made longer.
	age := int64(answer.Lifetime / time.Second)
	c.Response().Header().Set("Cache-Control", "max-age="+strconv.FormatInt(age, 10))
	out := wireLookup{Region: answer.Region, Reason: answer.Reason, Lifetime: answer.Lifetime.Milliseconds()}
	for _, h := range answer.Hosts {
		out.Hosts = append(out.Hosts, wireHost{Host: h.Name, Region: h.Region, Domain: h.Domain, Caller: h.CallerAddr.String()})
	}
	return c.JSON(http.StatusOK, out)
}

// clientOf returns the address that the query names, or else the caller's.
func clientOf(c echo.Context) (netip.Addr, error) {
	if text := c.QueryParam("client"); text != "" {
		return netip.ParseAddr(text)
	}
	addr, err := netip.ParseAddrPort(c.Request().RemoteAddr)
	return addr.Addr().Unmap(), err
}

func (e *Entry) logLookup(service string, a agatelookup.Answer, begun time.Time) {
	d := agatelog.Decision{Service: service, Kind: agatelog.Lookup, Reason: a.Reason, Outcome: agatelog.Refused, Duration: time.Since(begun)}
	for _, h := range a.Hosts {
		d.Candidates = append(d.Candidates, agatelog.Candidate{Name: h.Name})
	}
	if len(a.Hosts) > 0 {
		d.Choice = a.Hosts[0].Name
		d.Outcome = agatelog.LookupAnswered
	}
	e.cfg.Log.Record(&d)
}
