package agateops

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
	"agategate/internal/agatebuffer"
	"agategate/internal/agateserve"
)

// ChangeRequest replaces the configuration by compare-and-set.
type ChangeRequest struct {
	// ChangeID makes the request idempotent: a request that is resent with the
	// same id gets the stored result.
	ChangeID string
	// Base is the revision that the change is based on. The request conflicts
	// if it is not the latest.
	Base     uint64
	Document []byte
}

// ChangeResult is the result of a ChangeRequest. On Done, Revision is the new
// revision. On Conflict, Revision and ChangeID identify the change that won.
type ChangeResult struct {
	Reply
	Revision uint64
	ChangeID string
	Problems agateinventory.Problems
	// Unchanged is set on Done if the configuration already had the requested
	// content.
	Unchanged bool
}

// Configuration is a committed configuration.
type Configuration struct {
	Revision   uint64    `json:"revision"`
	ChangeID   string    `json:"change"`
	AcceptedAt time.Time `json:"at"`
	Document   []byte    `json:"-"`
}

// ConfigResult is the latest configuration. Its revision is 0 if there is none
// yet.
type ConfigResult struct {
	Reply
	Configuration
}

type revisionBody struct {
	Revision  uint64 `json:"revision"`
	Change    string `json:"change"`
	Unchanged bool   `json:"unchanged,omitempty"`
}

func (h *handler) getConfig(c echo.Context) error {
	ctx, cancel := h.callContext(c)
	defer cancel()
	r := h.cfg.Config(ctx)
	if r.Outcome != Done {
		return sendReply(c, r.Reply, errorBody{})
	}
	header := c.Response().Header()
	tag := `"` + strconv.FormatUint(r.Revision, 10) + `"`
	header.Set("ETag", tag)
	header.Set("Cache-Control", "no-cache")
	if r.ChangeID != "" {
		header.Set(HeaderChange, r.ChangeID)
	}
	if !r.AcceptedAt.IsZero() {
		header.Set("Last-Modified", r.AcceptedAt.UTC().Format(http.TimeFormat))
	}
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.Blob(http.StatusOK, "application/toml", r.Document)
}

func (h *handler) putConfig(c echo.Context) error {
	r := ChangeRequest{ChangeID: c.Request().Header.Get(HeaderChange)}
	if !isChangeID(r.ChangeID) {
		return sendError(c, http.StatusBadRequest, HeaderChange+" must have 1 to 64 letters, digits, \"-\", \"_\" or \".\"")
	}
	match := c.Request().Header.Get("If-Match")
	if match == "" {
		return sendError(c, http.StatusPreconditionRequired, "If-Match must name the revision that the change is based on")
	}
	base, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return sendError(c, http.StatusBadRequest, "If-Match must be a revision number")
	}
	r.Base = base
	if r.Document, err = h.readBody(c); err != nil {
		return h.sendBodyError(c, err)
	}
	return h.applyDocument(c, r)
}

// applyDocument validates a document and proposes it.
func (h *handler) applyDocument(c echo.Context, r ChangeRequest) error {
	if problems := h.validate(c.Request().Context(), r.Document); len(problems) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, errorBody{Error: "the configuration is refused", Problems: problems})
	}
	ctx, cancel := h.callContext(c)
	defer cancel()
	result := h.cfg.Apply(ctx, r)
	return h.sendChangeResult(c, r.ChangeID, result)
}

func (h *handler) sendChangeResult(c echo.Context, changeID string, r ChangeResult) error {
	h.cfg.Log.Info("configuration change request", "change", changeID, "outcome", string(r.Outcome), "revision", r.Revision, "reason", r.Reason)
	if r.Outcome == Done {
		c.Response().Header().Set("ETag", `"`+strconv.FormatUint(r.Revision, 10)+`"`)
		return c.JSON(http.StatusOK, revisionBody{Revision: r.Revision, Change: changeID, Unchanged: r.Unchanged})
	}
	body := errorBody{Problems: r.Problems}
	if r.Outcome == Conflict {
		body.Revision, body.Change = r.Revision, r.ChangeID
		if r.Reason == "" {
			body.Error = "another change won"
		}
	}
	return sendReply(c, r.Reply, body)
}

// validate parses a document and returns its problems.
func (h *handler) validate(ctx context.Context, doc []byte) agateinventory.Problems {
	problems := agateinventory.Problems{{File: inventoryFileName, Text: "the request was cancelled"}}
	h.parseSerially(ctx, func() { _, problems = agateinventory.Parse(inventoryFileName, doc) })
	return problems
}

// inventoryFileName is the file name in the problems of a reply.
const inventoryFileName = "inventory.toml"

// readBody reads a document, and charges for what parsing it takes.
func (h *handler) readBody(c echo.Context) ([]byte, error) {
	body, err := agateserve.ReadBody(c.Response(), c.Request(), h.cfg.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	charge := agateserve.Charge(c.Request())
	doc, err := body.Join(charge)
	if err != nil {
		return nil, err
	}
	return doc, charge.Grow(agatebuffer.DecodedBytes(doc))
}

func (h *handler) sendBodyError(c echo.Context, err error) error {
	switch {
	case errors.Is(err, agatebuffer.ErrTooLarge):
		return sendError(c, http.StatusRequestEntityTooLarge, "the body has more than "+strconv.FormatInt(h.cfg.MaxBodyBytes, 10)+" bytes")
	case errors.Is(err, agatebuffer.ErrFull):
		return sendReply(c, Reply{Outcome: NotRun, Reason: "no memory for the body"}, errorBody{})
	}
	return sendError(c, http.StatusBadRequest, "reading the body: "+err.Error())
}

const maxChangeIDBytes = 64

func isChangeID(s string) bool {
	return s != "" && len(s) <= maxChangeIDBytes && !strings.ContainsFunc(s, notInChangeID)
}

func notInChangeID(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
}
