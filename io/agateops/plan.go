package agateops

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"agategate/core/agateplan"
)

// PlanRequest asks for a routing plan by compare-and-set.
type PlanRequest struct {
	// Change is the id of the change. A change that is sent again with its id
	// gets its first answer again.
	Change string
	// Base is the version that must be the newest one.
	Base uint64
	// Document is the plan as text, and Plan what it says.
	Document []byte
	Plan     *agateplan.Plan
}

// PlanResult is the newest plan, or the answer to a PlanRequest. Version is
// that of the plan in force, if it is known, or 0 if there is none.
type PlanResult struct {
	Reply
	Version  uint64
	Document []byte
}

// planName names the document in the problems of a reply.
const planName = "plan.toml"

type planBody struct {
	Version uint64 `json:"version"`
	Change  string `json:"change"`
}

func (h *handler) getPlan(c echo.Context) error {
	ctx, cancel := h.call(c)
	defer cancel()
	r := h.cfg.Plan(ctx)
	if r.Outcome != Done {
		return send(c, r.Reply, errorBody{})
	}
	c.Response().Header().Set("ETag", versionTag(r.Version))
	c.Response().Header().Set("Cache-Control", "no-cache")
	return c.Blob(http.StatusOK, "application/toml", r.Document)
}

func versionTag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func (h *handler) putPlan(c echo.Context) error {
	r := PlanRequest{Change: c.Request().Header.Get(HeaderChange)}
	if !isChange(r.Change) {
		return fail(c, http.StatusBadRequest, HeaderChange+" must have 1 to 64 letters, digits, \"-\", \"_\" or \".\"")
	}
	match := c.Request().Header.Get("If-Match")
	if match == "" {
		return fail(c, http.StatusPreconditionRequired, "If-Match must name the version that the change is based on")
	}
	var err error
	if r.Base, err = strconv.ParseUint(strings.Trim(match, `"`), 10, 64); err != nil {
		return fail(c, http.StatusBadRequest, "If-Match must be a version number")
	}
	if !h.begin() {
		return tooBusy(c)
	}
	defer h.end()
	if r.Document, err = h.body(c); err != nil {
		return badBody(c, err)
	}
	problems := agateplan.Problems{{File: planName, Text: "the request was cancelled"}}
	h.alone(c.Request().Context(), func() { r.Plan, problems = agateplan.Parse(planName, r.Document) })
	if len(problems) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, errorBody{Error: "the plan is refused", Problems: problems})
	}
	ctx, cancel := h.call(c)
	defer cancel()
	result := h.cfg.ApplyPlan(ctx, r)
	if result.Outcome != Done {
		return send(c, result.Reply, errorBody{})
	}
	c.Response().Header().Set("ETag", versionTag(result.Version))
	return c.JSON(http.StatusOK, planBody{Version: result.Version, Change: r.Change})
}

// alone runs a parser. One document is parsed at a time, to bound memory. It
// does not run if the request is cancelled before.
func (h *handler) alone(ctx context.Context, parse func()) {
	select {
	case h.parse <- struct{}{}:
		defer func() { <-h.parse }()
		parse()
	case <-ctx.Done():
	}
}
