package agateops

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Fleet lists the upstreams in the replicated state and the entry hosts that watch
// the replica that answers. Durations in JSON are in nanoseconds.
type Fleet struct {
	// Version is the version of the active plan.
	Version   uint64          `json:"version"`
	Evacuated []string        `json:"evacuated"` // failure domains
	Upstreams []FleetUpstream `json:"upstreams"`
	Hosts     []FleetHost     `json:"hosts"`
	// Limits are those of workspaces, with the part of the replica that answers.
	Limits []FleetLimit `json:"limits"`
}

// FleetLimit is the rate limit of a workspace, and the tokens of one replica's part.
type FleetLimit struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`  // requests per second over all entry hosts
	Burst     float64 `json:"burst"` // requests
	Left      float64 `json:"left"`  // tokens that the replica can lend
	Lent      int     `json:"lent"`  // tokens that entry hosts may still spend
}

// FleetUpstream is one upstream.
type FleetUpstream struct {
	ID           string        `json:"id"`
	Service      string        `json:"service"`
	Domain       string        `json:"domain"`
	Address      string        `json:"address"`
	Slots        int           `json:"slots"`
	Draining     bool          `json:"draining"`
	Deregistered bool          `json:"gone"`    // also set if Expired
	Expired      bool          `json:"lapsed"`  // no heartbeat for agatecontrol's upstreamTimeout
	Unnamed      bool          `json:"unnamed"` // no service of the plan: it is not used, and yields its place
	WarmupLeft   time.Duration `json:"cold"`    // remaining warm-up time
}

// FleetHost is an entry host with an open watch stream to the replica that answers.
type FleetHost struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	Domain     string `json:"domain"`
	CallerAddr string `json:"caller"` // address for callers
	Ready      bool   `json:"ready"`
}

// FleetResult is the fleet, or the reason why it is unavailable.
type FleetResult struct {
	Reply
	Fleet
}

// EvacuateRequest starts or ends the evacuation of a failure domain.
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
	ctx, cancel := h.callContext(c)
	defer cancel()
	r := h.cfg.Fleet(ctx)
	if r.Outcome != Done {
		return sendReply(c, r.Reply, errorBody{})
	}
	f := r.Fleet
	f.Evacuated, f.Upstreams, f.Hosts = orEmpty(f.Evacuated), orEmpty(f.Upstreams), orEmpty(f.Hosts)
	f.Limits = orEmpty(f.Limits)
	return c.JSON(http.StatusOK, f)
}

func (h *handler) evacuate(on bool) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := EvacuateRequest{Domain: c.Param("domain"), On: on}
		ctx, cancel := h.callContext(c)
		defer cancel()
		reply := h.cfg.Evacuate(ctx, r)
		if reply.Outcome != Done {
			return sendReply(c, reply, errorBody{})
		}
		return c.JSON(http.StatusOK, Evacuation{Domain: r.Domain, Evacuated: on})
	}
}
