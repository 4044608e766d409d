package agateops

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
)

// ChangeRequest asks for a configuration by compare-and-set.
type ChangeRequest struct {
	// Change is the id of the change. A change that is sent again with its id
	// gets its first answer again.
	Change string
	// Base is the revision that must be the newest one.
	Base     uint64
	Document []byte
}

// ChangeResult is the answer to a ChangeRequest. On Done, Revision is the new
// revision. On Conflict, Revision and Change name the change that won.
type ChangeResult struct {
	Reply
	Revision uint64
	Change   string
	Problems agateinventory.Problems
	// Unchanged is set on Done if the configuration already was as asked for.
	Unchanged bool
}

// Configuration is an accepted configuration.
type Configuration struct {
	Revision uint64    `json:"revision"`
	Change   string    `json:"change"`
	At       time.Time `json:"at"`
	Document []byte    `json:"-"`
}

// ConfigResult is the newest configuration. Its revision is 0 if there is
// none yet.
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
	ctx, cancel := h.call(c)
	defer cancel()
	r := h.cfg.Config(ctx)
	if r.Outcome != Done {
		return send(c, r.Reply, errorBody{})
	}
	header := c.Response().Header()
	tag := `"` + strconv.FormatUint(r.Revision, 10) + `"`
	header.Set("ETag", tag)
	header.Set("Cache-Control", "no-cache")
	if r.Change != "" {
		header.Set(HeaderChange, r.Change)
	}
	if !r.At.IsZero() {
		header.Set("Last-Modified", r.At.UTC().Format(http.TimeFormat))
	}
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.Blob(http.StatusOK, "application/toml", r.Document)
}

func (h *handler) putConfig(c echo.Context) error {
	r := ChangeRequest{Change: c.Request().Header.Get(HeaderChange)}
	if !isChange(r.Change) {
		return fail(c, http.StatusBadRequest, HeaderChange+" must have 1 to 64 letters, digits, \"-\", \"_\" or \".\"")
	}
	match := c.Request().Header.Get("If-Match")
	if match == "" {
		return fail(c, http.StatusPreconditionRequired, "If-Match must name the revision that the change is based on")
	}
	base, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return fail(c, http.StatusBadRequest, "If-Match must be a revision number")
	}
	r.Base = base
	if !h.begin() {
		return tooBusy(c)
	}
	defer h.end()
	if r.Document, err = h.body(c); err != nil {
		return badBody(c, err)
	}
	return h.change(c, r)
}

// change checks a document and proposes it.
func (h *handler) change(c echo.Context, r ChangeRequest) error {
	if problems := h.check(c.Request().Context(), r.Document); len(problems) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, errorBody{Error: "the configuration is refused", Problems: problems})
	}
	ctx, cancel := h.call(c)
	defer cancel()
	result := h.cfg.Apply(ctx, r)
	return h.answer(c, r.Change, result)
}

func (h *handler) answer(c echo.Context, change string, r ChangeResult) error {
	h.cfg.Log.Info("change", "change", change, "outcome", string(r.Outcome), "revision", r.Revision, "reason", r.Reason)
	if r.Outcome == Done {
		c.Response().Header().Set("ETag", `"`+strconv.FormatUint(r.Revision, 10)+`"`)
		return c.JSON(http.StatusOK, revisionBody{Revision: r.Revision, Change: change, Unchanged: r.Unchanged})
	}
	body := errorBody{Problems: r.Problems}
	if r.Outcome == Conflict {
		body.Revision, body.Change = r.Revision, r.Change
		if r.Reason == "" {
			body.Error = "another change won"
		}
	}
	return send(c, r.Reply, body)
}

// check parses a document.
func (h *handler) check(ctx context.Context, doc []byte) agateinventory.Problems {
	problems := agateinventory.Problems{{File: documentName, Text: "the request was cancelled"}}
	h.alone(ctx, func() { _, problems = agateinventory.Parse(documentName, doc) })
	return problems
}

// documentName names the document in the problems of a reply.
const documentName = "inventory.toml"

func (h *handler) begin() bool {
	select {
	case h.jobs <- struct{}{}:
		return true
	default:
		return false
	}
}

func (h *handler) end() { <-h.jobs }

func (h *handler) body(c echo.Context) ([]byte, error) {
	req := c.Request()
	return io.ReadAll(http.MaxBytesReader(c.Response(), req.Body, h.cfg.Body))
}

func badBody(c echo.Context, err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fail(c, http.StatusRequestEntityTooLarge, "the body has more than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return fail(c, http.StatusBadRequest, "the body could not be read: "+err.Error())
}

// maxChange is the length of the longest change id in bytes.
const maxChange = 64

func isChange(s string) bool {
	return s != "" && len(s) <= maxChange && !strings.ContainsFunc(s, notChange)
}

func notChange(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
}
