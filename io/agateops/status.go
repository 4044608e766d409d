package agateops

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/internal/agateserve"
	"agategate/io/agatelog"
)

// Status is the state of the system as the control leader sees it. Durations in
// JSON are in nanoseconds.
type Status struct {
	// Name is the replica that answers, and Leader the current leader.
	Name       string            `json:"name"`
	Leader     string            `json:"leader"`
	Term       uint64            `json:"term"`
	Commit     uint64            `json:"commit"`  // log index
	Applied    uint64            `json:"applied"` // log index
	Revision   uint64            `json:"revision"`
	ChangeID   string            `json:"change"`
	AcceptedAt time.Time         `json:"at"` // time at which the revision was accepted, by the clock of the replicated state
	Members    []Member          `json:"members"`
	Hosts      []Host            `json:"hosts"`
	Capacities []ServiceCapacity `json:"upstreams"`
	Grants     []Grant           `json:"grants"`
	Drains     []Drain           `json:"drains"`
}

// Member is a replica of the control group.
type Member struct {
	ID           uint64 `json:"id"`
	Name         string `json:"name"`
	Address      string `json:"address"`
	Role         string `json:"role"`  // leader, voter or learner
	AppliedIndex uint64 `json:"match"` // last applied log index
	Alive        bool   `json:"alive"`
}

// Host is an entry host. Alive reports whether its last heartbeat is recent.
type Host struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	Domain     string `json:"domain"`
	CallerAddr string `json:"caller"` // address for callers
	Revision   uint64 `json:"revision"`
	// ActiveSince is when the leader received the first heartbeat in which the
	// host's process reported the revision.
	ActiveSince time.Time `json:"since"`
	// PropagationDelay is the time from the application of the revision on the
	// leader to ActiveSince, or 0 if the former is not known.
	PropagationDelay time.Duration `json:"took"`
	Draining         bool          `json:"draining"`
	// Load is the number of in-flight and queued requests per upstream slot in
	// the host's region, of the most loaded service.
	Load  float64 `json:"load"`
	Alive bool    `json:"alive"`
}

// ServiceCapacity is the capacity and load of a service's upstreams in a region.
type ServiceCapacity struct {
	Service  string  `json:"service"`
	Region   string  `json:"region"`
	Capacity float64 `json:"capacity"` // requests per second
	Demand   float64 `json:"demand"`   // requests per second
	InFlight float64 `json:"inflight"` // requests in progress
}

// Grant is the overflow to another region that an entry host may send.
type Grant struct {
	Host        string    `json:"host"`
	Service     string    `json:"service"`
	From        string    `json:"from"`
	To          string    `json:"to"`
	RequestRate float64   `json:"requests"` // per second
	ByteRate    float64   `json:"bytes"`    // per second
	ExpiresAt   time.Time `json:"until"`
}

// Drain is a drain of the active configuration.
type Drain struct {
	Kind  string  `json:"kind"`
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// StatusResult is the status, or the reason why it is unavailable.
type StatusResult struct {
	Reply
	Status
}

// HostDecisions lists the decisions on a request recorded by one entry host.
type HostDecisions struct {
	Host      string              `json:"host"`
	Decisions []agatelog.Decision `json:"decisions"`
}

// ExplainResult lists the decisions on a request recorded by all entry hosts.
type ExplainResult struct {
	Reply
	Hosts []HostDecisions
	// Missing lists the hosts that did not answer.
	Missing []string
}

type explanation struct {
	Hosts   []HostDecisions `json:"hosts"`
	Missing []string        `json:"missing"`
}

func (h *handler) getStatus(c echo.Context) error {
	ctx, cancel := h.callContext(c)
	defer cancel()
	r := h.cfg.Status(ctx)
	if r.Outcome != Done {
		return sendReply(c, r.Reply, errorBody{})
	}
	s := r.Status
	s.Members, s.Hosts, s.Capacities = orEmpty(s.Members), orEmpty(s.Hosts), orEmpty(s.Capacities)
	s.Grants, s.Drains = orEmpty(s.Grants), orEmpty(s.Drains)
	return c.JSON(http.StatusOK, s)
}

func (h *handler) getExplain(c echo.Context) error {
	ctx, cancel := h.callContext(c)
	defer cancel()
	r := h.cfg.Explain(ctx, c.Param("request"))
	if r.Outcome != Done {
		return sendReply(c, r.Reply, errorBody{})
	}
	if len(r.Hosts) == 0 && len(r.Missing) == 0 {
		return sendError(c, http.StatusNotFound, "no entry host keeps a decision on this request")
	}
	return c.JSON(http.StatusOK, explanation{Hosts: orEmpty(r.Hosts), Missing: orEmpty(r.Missing)})
}

// orEmpty replaces a nil slice, which JSON would encode as null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// MemberAction is a kind of membership change of the control group.
type MemberAction string

// Membership changes.
const (
	AddLearner MemberAction = "add"
	Promote    MemberAction = "promote"
	Remove     MemberAction = "remove"
)

// MemberRequest changes one member of the control group. A replica is added
// by name and address, and promoted or removed by its id.
type MemberRequest struct {
	Action  MemberAction `json:"action"`
	ID      uint64       `json:"id,omitempty"`
	Name    string       `json:"name,omitempty"`
	Address string       `json:"address,omitempty"`
}

// MemberResult lists the members after a change.
type MemberResult struct {
	Reply
	Members []Member
}

type membersBody struct {
	Members []Member `json:"members"`
}

func (h *handler) postMembers(c echo.Context) error {
	var r MemberRequest
	if err := h.decodeJSON(c, &r); err != nil {
		return h.sendBodyError(c, err)
	}
	if text := r.validate(); text != "" {
		return sendError(c, http.StatusBadRequest, text)
	}
	ctx, cancel := h.callContext(c)
	defer cancel()
	result := h.cfg.ChangeMember(ctx, r)
	h.cfg.Log.Info("membership change request", "action", string(r.Action), "id", r.ID, "name", r.Name, "outcome", string(result.Outcome), "reason", result.Reason)
	if result.Outcome != Done {
		return sendReply(c, result.Reply, errorBody{})
	}
	return c.JSON(http.StatusOK, membersBody{Members: orEmpty(result.Members)})
}

// decodeJSON decodes a body of one small JSON value into dst. Unknown fields and
// trailing data are errors.
func (h *handler) decodeJSON(c echo.Context, dst any) error {
	const maxBytes = 64 << 10
	body, err := agateserve.ReadBody(c.Response(), c.Request(), min(maxBytes, h.cfg.MaxBodyBytes))
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(body.Bytes()))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("agateops: trailing data after the JSON value")
	}
	return nil
}
