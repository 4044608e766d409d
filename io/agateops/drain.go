package agateops

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
)

// DrainRequest adds a drain to the configuration or removes one.
type DrainRequest struct {
	Kind agateinventory.DrainKind `json:"kind"`
	Name string                   `json:"name"`
	// Share is the fraction of new requests that are kept away, above 0 and at
	// most 1. The default is 1. It is ignored when a drain is removed.
	Share float64 `json:"share,omitempty"`
	// ChangeID makes the request idempotent: a request that is resent with the
	// same id gets the stored result.
	ChangeID string `json:"change"`
}

// drainBody is the body of a drain request. Share is a pointer because an
// explicit 0 is refused and an omitted share means 1.
type drainBody struct {
	Kind   agateinventory.DrainKind `json:"kind"`
	Name   string                   `json:"name"`
	Share  *float64                 `json:"share"`
	Change string                   `json:"change"`
}

const (
	// maxAttempts bounds the compare-and-set attempts of one request.
	maxAttempts = 8
	// maxSuffixBytes is reserved in a change id for the suffix that modify appends.
	maxSuffixBytes = 3
)

func (h *handler) postDrain(c echo.Context) error {
	return h.drain(c, func(doc []byte, r DrainRequest) ([]byte, agateinventory.Problems) {
		d := agateinventory.Drain{Kind: r.Kind, Name: r.Name, Share: r.Share}
		return agateinventory.SetDrain(inventoryFileName, doc, d)
	})
}

func (h *handler) deleteDrain(c echo.Context) error {
	return h.drain(c, func(doc []byte, r DrainRequest) ([]byte, agateinventory.Problems) {
		return agateinventory.ClearDrain(inventoryFileName, doc, r.Kind, r.Name)
	})
}

type editFunc func(doc []byte, r DrainRequest) ([]byte, agateinventory.Problems)

func (h *handler) drain(c echo.Context, edit editFunc) error {
	var body drainBody
	if err := h.decodeJSON(c, &body); err != nil {
		return h.sendBodyError(c, err)
	}
	r := DrainRequest{Kind: body.Kind, Name: body.Name, Share: 1, ChangeID: body.Change}
	if body.Share != nil {
		r.Share = *body.Share
	}
	if !(r.Share > 0 && r.Share <= 1) {
		return sendError(c, http.StatusBadRequest, "share must be above 0 and at most 1")
	}
	if !isChangeID(r.ChangeID) || len(r.ChangeID) > maxChangeIDBytes-maxSuffixBytes {
		return sendError(c, http.StatusBadRequest, "change must have 1 to 61 letters, digits, \"-\", \"_\" or \".\"")
	}
	ctx, cancel := h.callContext(c)
	defer cancel()
	return h.sendChangeResult(c, r.ChangeID, h.modify(ctx, r, edit))
}

// modify edits the newest configuration until a compare-and-set succeeds.
//
// Attempts use the change id of the request until the group returns a stored
// conflict for it, that is, one whose revision is not newer than the base. Later
// attempts append a numeric suffix to the id. A resent request goes through the
// same ids and so gets the stored result.
func (h *handler) modify(ctx context.Context, r DrainRequest, edit editFunc) ChangeResult {
	changeID, suffix := r.ChangeID, 1
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
		result := h.cfg.Apply(ctx, ChangeRequest{ChangeID: changeID, Base: current.Revision, Document: doc})
		if result.Outcome != Conflict {
			return result
		}
		if result.Revision <= current.Revision {
			suffix++
			changeID = r.ChangeID + "." + strconv.Itoa(suffix)
		}
	}
	return ChangeResult{Reply: Reply{Outcome: NotRun, Reason: "every attempt conflicted with another change"}}
}
