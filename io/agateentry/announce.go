package agateentry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateroute"
	"agategate/internal/agatebuffer"
	"agategate/internal/agateserve"
)

// maxAnnouncementBytes is the limit of the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// wireAnnouncement is the body of POST /v1/announce.
type wireAnnouncement struct {
	ID          string  `json:"id"`
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	Service     string  `json:"service"`
	Region      string  `json:"region"`
	Domain      string  `json:"domain"`
	Address     string  `json:"address"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	Load        float64 `json:"load"`
	State       string  `json:"state"`
}

// wireReceipt is the answer to an announcement. Interval is in milliseconds.
type wireReceipt struct {
	Receipt  string `json:"receipt"`
	Interval int64  `json:"interval"`
}

type wireError struct {
	Error string `json:"error"`
}

// handleAnnounce serves POST /v1/announce.
func (e *Entry) handleAnnounce(c echo.Context) error {
	var wire wireAnnouncement
	body, err := agateserve.ReadBody(c.Response(), c.Request(), maxAnnouncementBytes)
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(body.Bytes())).Decode(&wire)
	}
	switch {
	case errors.Is(err, agatebuffer.ErrFull):
		agateserve.SetFull(c.Response().Header())
		return c.JSON(http.StatusServiceUnavailable, wireError{Error: "announcement: busy"})
	case errors.Is(err, agatebuffer.ErrTooLarge):
		return c.JSON(http.StatusRequestEntityTooLarge, wireError{Error: "announcement: more than " + strconv.Itoa(maxAnnouncementBytes) + " bytes"})
	case err != nil:
		return c.JSON(http.StatusBadRequest, wireError{Error: "announcement: " + err.Error()})
	}
	a, problem := wire.decode()
	if problem == "" {
		problem = e.checkLocation(a)
	}
	if problem != "" {
		e.metrics.announced("invalid")
		return c.JSON(http.StatusUnprocessableEntity, wireError{Error: "announcement: " + problem})
	}
	receipt, changed, ok := e.announce(a)
	if !ok {
		c.Response().Header().Set("Retry-After", "1")
		return c.JSON(http.StatusServiceUnavailable, wireError{Error: "announcement: busy"})
	}
	e.metrics.announced(receipt.String())
	if changed {
		e.exchange.triggerAll()
	}
	out := wireReceipt{Receipt: receipt.String(), Interval: agateroute.DefaultAnnounceInterval.Milliseconds()}
	if receipt == agateroute.Invalid {
		return c.JSON(http.StatusUnprocessableEntity, wireError{Error: "announcement: slots, connections and load must be in range"})
	}
	return c.JSON(http.StatusOK, out)
}

// announce applies an announcement to the table. changed reports whether the
// upstream is new or its state has changed; the caller then notifies peers at
// once. ok is false if the router is overloaded or stopped.
func (e *Entry) announce(a agateroute.Announcement) (receipt agateroute.AnnounceResult, changed, ok bool) {
	ok = e.router.do(func(now time.Time) {
		receipt = e.router.table.Announce(now, a)
	})
	if !ok || receipt != agateroute.Accepted {
		return receipt, false, ok
	}
	e.updateUpstream(&a)
	previous, known := e.states.Swap(a.ID, a.State)
	changed = !known || previous != a.State
	if changed {
		e.log.Info("upstream", "kind", "placement", "service", a.Service, "choice", string(a.ID),
			"reason", a.State.String(), "region", a.Region, "domain", a.Domain, "incarnation", a.Incarnation)
	}
	return receipt, changed, true
}

// decode converts the announcement, or returns a description of the problem.
func (w *wireAnnouncement) decode() (agateroute.Announcement, string) {
	a := agateroute.Announcement{
		ID:             agateroute.UpstreamID(w.ID),
		Incarnation:    w.Incarnation,
		Sequence:       w.Sequence,
		Service:        w.Service,
		Region:         w.Region,
		Domain:         w.Domain,
		Slots:          w.Slots,
		MaxConnections: w.Connections,
		Load:           w.Load,
	}
	if w.ID == "" || len(w.ID) > 255 {
		return a, "id must have 1 to 255 bytes"
	}
	addr, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return a, "address must be an IP address and a port"
	}
	a.Address = addr
	switch w.State {
	case "", agateroute.Up.String():
		a.State = agateroute.Up
	case agateroute.Draining.String():
		a.State = agateroute.Draining
	case agateroute.Leaving.String():
		a.State = agateroute.Leaving
	default:
		return a, "state must be up, draining or leaving"
	}
	return a, ""
}

// checkLocation checks that the service, region and failure domain are in the
// inventory. It returns a description of the problem, or "".
func (e *Entry) checkLocation(a agateroute.Announcement) string {
	inv := e.inventory.Load()
	s := inv.Service(a.Service)
	if s == nil {
		return "service is not in the inventory"
	}
	for _, r := range inv.Regions {
		if r.Name != a.Region {
			continue
		}
		for _, d := range r.Domains {
			if d == a.Domain {
				return ""
			}
		}
		return "failure domain is not in the inventory"
	}
	return "region is not in the inventory"
}

// updateUpstream passes an announcement on to other components: its incarnation
// to the suspects and this host's share of the connections to the pool. Entry
// hosts divide the connections evenly, so that together they do not exceed the
// number that the upstream accepts.
func (e *Entry) updateUpstream(a *agateroute.Announcement) {
	e.suspects.setIncarnation(a.ID, a.Incarnation)
	hosts := max(1, len(e.inventory.Load().Hosts))
	e.pool.SetMaxConns(string(a.ID), max(1, a.MaxConnections/hosts))
}
