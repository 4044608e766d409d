package agateentry

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateroute"
)

// maxAnnouncement bounds an announcement in bytes.
const maxAnnouncement = 16 << 10

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
	dec := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnouncement))
	err := dec.Decode(&wire)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return c.JSON(http.StatusRequestEntityTooLarge, wireError{Error: "announcement: more than " + strconv.Itoa(maxAnnouncement) + " bytes"})
	case err != nil:
		return c.JSON(http.StatusBadRequest, wireError{Error: "announcement: " + err.Error()})
	}
	a, problem := wire.announcement()
	if problem == "" {
		problem = e.checkPlace(a)
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
		e.exchange.kick()
	}
	out := wireReceipt{Receipt: receipt.String(), Interval: agateroute.DefaultAnnounceInterval.Milliseconds()}
	if receipt == agateroute.Invalid {
		return c.JSON(http.StatusUnprocessableEntity, wireError{Error: "announcement: slots, connections and load must be in range"})
	}
	return c.JSON(http.StatusOK, out)
}

// announce hands an announcement to the table. Changed says that the upstream
// is new or its state is another one, which peers learn at once.
func (e *Entry) announce(a agateroute.Announcement) (receipt agateroute.AnnounceResult, changed, ok bool) {
	ok = e.router.do(func(now time.Time) {
		receipt = e.router.table.Announce(now, a)
	})
	if !ok || receipt != agateroute.Accepted {
		return receipt, false, ok
	}
	e.noteUpstream(&a)
	before, known := e.states.Swap(a.ID, a.State)
	changed = !known || before != a.State
	if changed {
		e.log.Info("upstream", "kind", "placement", "service", a.Service, "choice", string(a.ID),
			"reason", a.State.String(), "region", a.Region, "domain", a.Domain, "incarnation", a.Incarnation)
	}
	return receipt, changed, true
}

// announcement translates the wire form, or says what is wrong with it.
func (w *wireAnnouncement) announcement() (agateroute.Announcement, string) {
	a := agateroute.Announcement{
		ID:          agateroute.UpstreamID(w.ID),
		Incarnation: w.Incarnation,
		Sequence:    w.Sequence,
		Service:     w.Service,
		Region:      w.Region,
		Domain:      w.Domain,
		Slots:       w.Slots,
		Connections: w.Connections,
		Load:        w.Load,
	}
	if w.ID == "" || len(w.ID) > 255 {
		return a, "id must have 1 to 255 bytes"
	}
	addr, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return a, "address must be an IP number and a port"
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

// checkPlace refuses services and places that the inventory does not name.
func (e *Entry) checkPlace(a agateroute.Announcement) string {
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

// noteUpstream passes on what other duties need to know of an announcement:
// its incarnation, and this host's share of the connections. Entry hosts
// divide the connections evenly, so that together they stay within the number
// that the upstream accepts.
func (e *Entry) noteUpstream(a *agateroute.Announcement) {
	e.suspects.announced(a.ID, a.Incarnation)
	hosts := max(1, len(e.inventory.Load().Hosts))
	e.pool.SetMaxConns(string(a.ID), max(1, a.Connections/hosts))
}
