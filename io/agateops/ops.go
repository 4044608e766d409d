// Package agateops is the operators' HTTP+JSON interface: the handlers of a
// control process and the client that the operator commands use. docs/api.md
// describes every endpoint.
//
// # Usage
//
//	handler := agateops.New(agateops.Config{
//		Config: replica.Config, Apply: replica.Apply, Status: replica.Status,
//		Explain: replica.Explain, Members: replica.Members, Ready: replica.Ready,
//	})
//	srv, err := agateserve.Start(agateserve.Config{Address: admin, Handler: handler})
package agateops

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
)

// Headers of the interface.
const (
	HeaderChange  = "Agate-Change"  // id of a change
	HeaderOutcome = "Agate-Outcome" // run, not-run or unknown
	HeaderLeader  = "Agate-Leader"  // admin address of the leader
)

// Defaults of a Config.
const (
	defaultBody = agateinventory.MaxDocumentBytes
	defaultCall = 5 * time.Second
	defaultJobs = 8
)

// Config sets up the handlers of a control process. The function fields must
// be safe for concurrent use and return when their context ends.
type Config struct {
	// Apply proposes a configuration by compare-and-set.
	Apply func(ctx context.Context, r ChangeRequest) ChangeResult
	// Config returns the newest configuration, confirmed by a majority.
	Config func(ctx context.Context) ConfigResult
	// Status returns what the leader knows of the system.
	Status func(ctx context.Context) StatusResult
	// Explain asks the entry hosts for the decisions on a request.
	Explain func(ctx context.Context, request string) ExplainResult
	// Members changes the members of the control group.
	Members func(ctx context.Context, r MemberRequest) MemberResult
	// Plan and ApplyPlan read and change the routing plan, Fleet returns the
	// upstreams and entry hosts that use it, and Evacuate keeps work away from
	// a failure domain. There are no such endpoints without them.
	Plan      func(ctx context.Context) PlanResult
	ApplyPlan func(ctx context.Context, r PlanRequest) PlanResult
	Fleet     func(ctx context.Context) FleetResult
	Evacuate  func(ctx context.Context, r EvacuateRequest) Reply
	// Ready returns why the replica cannot serve, or nil.
	Ready func() error
	// Metrics answers GET /metrics. There is no such endpoint without it.
	Metrics http.Handler
	// Body is the largest body of a request in bytes. The default is 4 MiB.
	Body int64
	// Call is the time for one call of a function field. The default is 5 s.
	Call time.Duration
	// Jobs is the number of requests with a body that are held at once; more
	// are refused as not run. The default is 8.
	Jobs int
	// Log receives a line for each change. The default writes none.
	Log hclog.Logger
}

type handler struct {
	cfg   Config
	jobs  chan struct{}
	parse chan struct{} // one document is parsed at a time, to bound memory
}

// New returns the handlers of a control process.
func New(cfg Config) http.Handler {
	if cfg.Body <= 0 {
		cfg.Body = defaultBody
	}
	if cfg.Call <= 0 {
		cfg.Call = defaultCall
	}
	if cfg.Jobs <= 0 {
		cfg.Jobs = defaultJobs
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	h := &handler{cfg: cfg, jobs: make(chan struct{}, cfg.Jobs), parse: make(chan struct{}, 1)}
	e := NewEcho()
	e.GET("/v1/config", h.getConfig)
	e.PUT("/v1/config", h.putConfig)
	e.GET("/v1/status", h.getStatus)
	e.POST("/v1/drain", h.postDrain)
	e.DELETE("/v1/drain", h.deleteDrain)
	e.GET("/v1/explain/:request", h.getExplain)
	e.POST("/v1/members", h.postMembers)
	if cfg.Plan != nil {
		e.GET("/v1/plan", h.getPlan)
		e.PUT("/v1/plan", h.putPlan)
		e.GET("/v1/fleet", h.getFleet)
		e.PUT("/v1/evacuations/:domain", h.evacuate(true))
		e.DELETE("/v1/evacuations/:domain", h.evacuate(false))
	}
	e.GET("/healthz", health(cfg.Ready))
	if cfg.Metrics != nil {
		e.GET("/metrics", echo.WrapHandler(cfg.Metrics))
	}
	return e
}

// NewEcho returns a router whose errors, such as those of unknown endpoints,
// have the body that docs/api.md describes.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		code, text := http.StatusInternalServerError, "internal error"
		var he *echo.HTTPError
		if errors.As(err, &he) {
			code, text = he.Code, http.StatusText(he.Code)
		}
		_ = fail(c, code, text)
	}
	return e
}

func health(ready func() error) echo.HandlerFunc {
	return func(c echo.Context) error {
		if ready != nil {
			if err := ready(); err != nil {
				return fail(c, http.StatusServiceUnavailable, err.Error())
			}
		}
		return c.JSON(http.StatusOK, map[string]bool{"ready": true})
	}
}

// call returns the context for one call of a function field.
func (h *handler) call(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), h.cfg.Call)
}
