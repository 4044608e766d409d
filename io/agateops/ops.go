// Package agateops implements the operators' HTTP+JSON API: the handlers of a
// control process and the client of the operator commands. docs/api.md
// describes every endpoint.
//
// # Usage
//
//	handler := agateops.New(agateops.Config{
//		Config: replica.Config, Apply: replica.Apply, Status: replica.Status,
//		Explain: replica.Explain, ChangeMember: replica.ChangeMember, Ready: replica.Ready,
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

// Header names of the API.
const (
	HeaderChange  = "Agate-Change"  // id of a change
	HeaderOutcome = "Agate-Outcome" // not-run or unknown, set on error replies
	HeaderLeader  = "Agate-Leader"  // admin address of the leader
)

// Defaults of a Config.
const (
	defaultMaxBodyBytes = agateinventory.MaxDocumentBytes
	defaultCallTimeout  = 5 * time.Second
)

// Config configures the handlers of a control process. The function fields must
// be safe for concurrent use and return when their context ends.
type Config struct {
	// Apply replaces the configuration by compare-and-set.
	Apply func(ctx context.Context, r ChangeRequest) ChangeResult
	// Config returns the latest configuration by a linearizable read.
	Config func(ctx context.Context) ConfigResult
	// Status returns the state of the system as the leader sees it.
	Status func(ctx context.Context) StatusResult
	// Explain collects the decisions on a request from the entry hosts.
	Explain func(ctx context.Context, request string) ExplainResult
	// ChangeMember adds, promotes or removes a member of the control group.
	ChangeMember func(ctx context.Context, r MemberRequest) MemberResult
	// Plan and ApplyPlan read and replace the routing plan, Fleet lists the
	// upstreams and entry hosts, and Evacuate starts or ends the evacuation of
	// a failure domain. Without Plan, the endpoints of all four are disabled.
	Plan      func(ctx context.Context) PlanResult
	ApplyPlan func(ctx context.Context, r PlanRequest) PlanResult
	Fleet     func(ctx context.Context) FleetResult
	Evacuate  func(ctx context.Context, r EvacuateRequest) Reply
	// Ready returns an error if the replica cannot serve.
	Ready func() error
	// Metrics serves GET /metrics. If nil, the endpoint is disabled.
	Metrics http.Handler
	// MaxBodyBytes is the maximum size of a request body. The default is 4 MiB.
	MaxBodyBytes int64
	// CallTimeout bounds one call of a function field. The default is 5 s.
	CallTimeout time.Duration
	// Log receives a line for each request to change the configuration or the
	// members that reaches the control group. The default discards it.
	Log hclog.Logger
}

type handler struct {
	cfg     Config
	parsing chan struct{} // semaphore: one document is parsed at a time, to bound memory
}

// New returns the handlers of a control process.
func New(cfg Config) http.Handler {
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	h := &handler{cfg: cfg, parsing: make(chan struct{}, 1)}
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

// NewEcho returns a router whose error replies, including those for unknown
// endpoints, have the JSON body that docs/api.md describes.
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
		_ = sendError(c, code, text)
	}
	return e
}

func health(ready func() error) echo.HandlerFunc {
	return func(c echo.Context) error {
		if ready != nil {
			if err := ready(); err != nil {
				return sendError(c, http.StatusServiceUnavailable, err.Error())
			}
		}
		return c.JSON(http.StatusOK, map[string]bool{"ready": true})
	}
}

// callContext returns the context for one call of a function field of Config.
func (h *handler) callContext(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), h.cfg.CallTimeout)
}
