package agateops

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Fleet is the upstreams and entry hosts of a deployment with routing plans,
// as the control leader knows them. Durations in JSON are in nanoseconds.
type Fleet struct {
	// Version is the version of the plan in force.
	Version   uint64          `json:"version"`
	Evacuated []string        `json:"evacuated"` // failure domains
	Upstreams []FleetUpstream `json:"upstreams"`
	Hosts     []FleetHost     `json:"hosts"`
}

// FleetUpstream is one upstream.
type FleetUpstream struct {
	ID       string        `json:"id"`
	Service  string        `json:"service"`
	Domain   string        `json:"domain"`
	Address  string        `json:"address"`
	Slots    int           `json:"slots"`
	Draining bool          `json:"draining"`
	Gone     bool          `json:"gone"`   // it left
	Lapsed   bool          `json:"lapsed"` // it fell silent
	Cold     time.Duration `json:"cold"`   // how much longer it warms up
}

// FleetHost is an entry host that watches the replica which answers.
type FleetHost struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	Caller string `json:"caller"` // address for callers
	Ready  bool   `json:"ready"`
}

// FleetResult is the fleet or why it is not known.
type FleetResult struct {
	Reply
	Fleet
}

// EvacuateRequest keeps new work away from a failure domain, or ends that.
type EvacuateRequest struct {
	Domain string
	On     bool
}

// Evacuation is the state of a failure domain after an EvacuateRequest.
type Evacuation struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
}

func (h *handler) getFleet(c echo.Context) error {
	ctx, cancel := h.call(c)
	defer cancel()
	r := h.cfg.Fleet(ctx)
	if r.Outcome != Done {
		return send(c, r.Reply, errorBody{})
	}
	f := r.Fleet
	f.Evacuated, f.Upstreams, f.Hosts = orEmpty(f.Evacuated), orEmpty(f.Upstreams), orEmpty(f.Hosts)
	return c.JSON(http.StatusOK, f)
}

func (h *handler) evacuate(on bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := EvacuateRequest{Domain: c.Param("domain"), On: on}
		ctx, cancel := h.call(c)
		defer cancel()
		reply := h.cfg.Evacuate(ctx, r)
		if reply.Outcome != Done {
			return send(c, reply, errorBody{})
		}
		return c.JSON(http.StatusOK, Evacuation{Domain: r.Domain, Evacuated: on})
	}
}
