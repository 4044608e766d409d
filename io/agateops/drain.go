package agateops

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
)

// DrainRequest adds or removes one drain of the configuration.
type DrainRequest struct {
	Kind agateinventory.DrainKind `json:"kind"`
	Name string                   `json:"name"`
	// Share is the part of the work that is kept away, above 0 and at most 1.
	// The default is 1. It is not used to remove a drain.
	Share float64 `json:"share,omitempty"`
	// Change is the id of the change.
	Change string `json:"change"`
}

// drainBody tells a share of 0, which is refused, from none.
type drainBody struct {
	Kind   agateinventory.DrainKind `json:"kind"`
	Name   string                   `json:"name"`
	Share  *float64                 `json:"share"`
	Change string                   `json:"change"`
}

// maxAttempts bounds the compare-and-set attempts of one drain.
const maxAttempts = 8

func (h *handler) postDrain(c echo.Context) error {
	return h.drain(c, func(doc []byte, r DrainRequest) ([]byte, agateinventory.Problems) {
		d := agateinventory.Drain{Kind: r.Kind, Name: r.Name, Share: r.Share}
		return agateinventory.SetDrain(documentName, doc, d)
	})
}

func (h *handler) deleteDrain(c echo.Context) error {
	return h.drain(c, func(doc []byte, r DrainRequest) ([]byte, agateinventory.Problems) {
		return agateinventory.ClearDrain(documentName, doc, r.Kind, r.Name)
	})
}

type editFunc func(doc []byte, r DrainRequest) ([]byte, agateinventory.Problems)

func (h *handler) drain(c echo.Context, edit editFunc) error {
	if !h.begin() {
		return tooBusy(c)
	}
	defer h.end()
	var body drainBody
	if err := h.decode(c, &body); err != nil {
		return badBody(c, err)
	}
	r := DrainRequest{Kind: body.Kind, Name: body.Name, Share: 1, Change: body.Change}
	if body.Share != nil {
		r.Share = *body.Share
	}
	if !(r.Share > 0 && r.Share <= 1) {
		return fail(c, http.StatusBadRequest, "share must be above 0 and at most 1")
	}
	if !isChange(r.Change) || len(r.Change) > maxChange-3 {
		return fail(c, http.StatusBadRequest, "change must have 1 to 61 letters, digits, \"-\", \"_\" or \".\"")
	}
	ctx, cancel := h.call(c)
	defer cancel()
	return h.answer(c, r.Change, h.modify(ctx, r, edit))
}

// modify edits the newest configuration until a compare-and-set succeeds.
//
// All attempts use the change id of the request, so that a request that is
// sent again gets the first answer. A conflict that names a revision no newer
// than the base is a stored answer to an earlier attempt with that id; the
// next attempt then uses the id with a number, which is the same number when
// the request is sent again.
func (h *handler) modify(ctx context.Context, r DrainRequest, edit editFunc) ChangeResult {
	id, number := r.Change, 1
	for range maxAttempts {
		current := h.cfg.Config(ctx)
		if current.Outcome != Done {
			return ChangeResult{Reply: current.Reply}
		}
		doc, problems := edit(current.Document, r)
		if len(problems) > 0 {
			return ChangeResult{Reply: Reply{Outcome: Invalid, Reason: "the configuration is refused"}, Problems: problems}
		}
		if bytes.Equal(doc, current.Document) {
			return ChangeResult{Reply: Reply{Outcome: Done}, Revision: current.Revision, Unchanged: true}
		}
		result := h.cfg.Apply(ctx, ChangeRequest{Change: id, Base: current.Revision, Document: doc})
		if result.Outcome != Conflict {
			return result
		}
		if result.Revision <= current.Revision {
			number++
			id = r.Change + "." + strconv.Itoa(number)
		}
	}
	return ChangeResult{Reply: Reply{Outcome: NotRun, Reason: "other changes won every attempt"}}
}
