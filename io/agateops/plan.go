package agateops

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"agategate/core/agateplan"
)

// PlanRequest replaces the routing plan by compare-and-set.
type PlanRequest struct {
	// ChangeID makes the request idempotent: a request that is resent with the
	// same id gets the stored result.
	ChangeID string
	// Base is the version that the change is based on. The request conflicts
	// if it is not the active one.
	Base uint64
	// Document is the plan as TOML, and Plan is its parsed form.
	Document []byte
	Plan     *agateplan.Plan
}

// PlanResult is the active plan, or the result of a PlanRequest. Version is that
// of the active plan, if known, or 0 if there is none.
type PlanResult struct {
	Reply
	Version  uint64
	Document []byte
}

// planFileName is the file name in the problems of a reply.
const planFileName = "plan.toml"

type planBody struct {
	Version uint64 `json:"version"`
	Change  string `json:"change"`
}

func (h *handler) getPlan(c echo.Context) error {
	ctx, cancel := h.callContext(c)
	defer cancel()
	r := h.cfg.Plan(ctx)
	if r.Outcome != Done {
		return sendReply(c, r.Reply, errorBody{})
	}
	c.Response().Header().Set("ETag", versionETag(r.Version))
	c.Response().Header().Set("Cache-Control", "no-cache")
	return c.Blob(http.StatusOK, "application/toml", r.Document)
}

func versionETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func (h *handler) putPlan(c echo.Context) error {
	r := PlanRequest{ChangeID: c.Request().Header.Get(HeaderChange)}
	if !isChangeID(r.ChangeID) {
		return sendError(c, http.StatusBadRequest, HeaderChange+" must have 1 to 64 letters, digits, \"-\", \"_\" or \".\"")
	}
	match := c.Request().Header.Get("If-Match")
	if match == "" {
		return sendError(c, http.StatusPreconditionRequired, "If-Match must name the version that the change is based on")
	}
	var err error
	if r.Base, err = strconv.ParseUint(strings.Trim(match, `"`), 10, 64); err != nil {
		return sendError(c, http.StatusBadRequest, "If-Match must be a version number")
	}
	if r.Document, err = h.readBody(c); err != nil {
		return h.sendBodyError(c, err)
	}
	problems := agateplan.Problems{{File: planFileName, Text: "the request was cancelled"}}
	h.parseSerially(c.Request().Context(), func() { r.Plan, problems = agateplan.Parse(planFileName, r.Document) })
	if len(problems) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, errorBody{Error: "the plan is refused", Problems: problems})
	}
	ctx, cancel := h.callContext(c)
	defer cancel()
	result := h.cfg.ApplyPlan(ctx, r)
	if result.Outcome != Done {
		return sendReply(c, result.Reply, errorBody{})
	}
	c.Response().Header().Set("ETag", versionETag(result.Version))
	return c.JSON(http.StatusOK, planBody{Version: result.Version, Change: r.ChangeID})
}

// parseSerially calls parse. Only one document is parsed at a time, to bound
// memory. If ctx ends first, parse is not called.
func (h *handler) parseSerially(ctx context.Context, parse func()) {
	select {
	case h.parsing <- struct{}{}:
		defer func() { <-h.parsing }()
		parse()
	case <-ctx.Done():
	}
}
