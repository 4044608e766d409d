package agateops

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/io/agatelog"
)

// Status is what the control leader knows of the system. Durations in JSON
// are in nanoseconds.
type Status struct {
	// Name is the replica that answers, Leader the one that leads.
	Name      string      `json:"name"`
	Leader    string      `json:"leader"`
	Term      uint64      `json:"term"`
	Commit    uint64      `json:"commit"`
	Applied   uint64      `json:"applied"`
	Revision  uint64      `json:"revision"`
	Change    string      `json:"change"`
	At        time.Time   `json:"at"` // when the revision was accepted
	Members   []Member    `json:"members"`
	Hosts     []Host      `json:"hosts"`
	Upstreams []Upstreams `json:"upstreams"`
	Grants    []Grant     `json:"grants"`
	Drains    []Drain     `json:"drains"`
}

// Member is a replica of the control group.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`  // leader, voter or learner
	Match   uint64 `json:"match"` // highest log index that it has applied
	Alive   bool   `json:"alive"`
}

// Host is an entry host. A host that sent no heartbeat is not alive.
type Host struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Domain   string `json:"domain"`
	Caller   string `json:"caller"`
	Revision uint64 `json:"revision"`
	// Since is when the revision came into force there.
	Since time.Time `json:"since"`
	// Took is the time from the accepted change until then.
	Took     time.Duration `json:"took"`
	Draining bool          `json:"draining"`
	Load     float64       `json:"load"`
	Alive    bool          `json:"alive"`
}

// Upstreams sums up the upstreams of a service in a region.
type Upstreams struct {
	Service  string  `json:"service"`
	Region   string  `json:"region"`
	Capacity float64 `json:"capacity"` // requests per second
	Demand   float64 `json:"demand"`   // requests per second
	Inflight float64 `json:"inflight"`
}

// Grant is overflow that a host may send.
type Grant struct {
	Host     string    `json:"host"`
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Requests float64   `json:"requests"` // per second
	Bytes    float64   `json:"bytes"`    // per second
	Until    time.Time `json:"until"`
}

// Drain is a drain of the configuration in force.
type Drain struct {
	Kind  string  `json:"kind"`
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// StatusResult is the status or why it is not known.
type StatusResult struct {
	Reply
	Status
}

// HostDecisions is the decisions on a request that one entry host keeps.
type HostDecisions struct {
	Host      string              `json:"host"`
	Decisions []agatelog.Decision `json:"decisions"`
}

// ExplainResult is the decisions on a request on all entry hosts.
type ExplainResult struct {
	Reply
	Hosts []HostDecisions
	// Missing lists hosts that did not answer.
	Missing []string
}

type explanation struct {
	Hosts   []HostDecisions `json:"hosts"`
	Missing []string        `json:"missing"`
}

func (h *handler) getStatus(c echo.Context) error {
	ctx, cancel := h.call(c)
	defer cancel()
	r := h.cfg.Status(ctx)
	if r.Outcome != Done {
		return send(c, r.Reply, errorBody{})
	}
	s := r.Status
	s.Members, s.Hosts, s.Upstreams = orEmpty(s.Members), orEmpty(s.Hosts), orEmpty(s.Upstreams)
	s.Grants, s.Drains = orEmpty(s.Grants), orEmpty(s.Drains)
	return c.JSON(http.StatusOK, s)
}

func (h *handler) getExplain(c echo.Context) error {
	ctx, cancel := h.call(c)
	defer cancel()
	r := h.cfg.Explain(ctx, c.Param("request"))
	if r.Outcome != Done {
		return send(c, r.Reply, errorBody{})
	}
	if len(r.Hosts) == 0 && len(r.Missing) == 0 {
		return fail(c, http.StatusNotFound, "no entry host keeps a decision on this request")
	}
	return c.JSON(http.StatusOK, explanation{Hosts: orEmpty(r.Hosts), Missing: orEmpty(r.Missing)})
}

// orEmpty makes a list that is not set an empty JSON list instead of null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// MemberAction is a change of the control group's members.
type MemberAction string

// The changes of members.
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

// MemberResult is the members after a change.
type MemberResult struct {
	Reply
	Members []Member
}

type membersBody struct {
	Members []Member `json:"members"`
}

func (h *handler) postMembers(c echo.Context) error {
	if !h.begin() {
		return tooBusy(c)
	}
	defer h.end()
	var r MemberRequest
	if err := h.decode(c, &r); err != nil {
		return badBody(c, err)
	}
	if text := r.fault(); text != "" {
		return fail(c, http.StatusBadRequest, text)
	}
	ctx, cancel := h.call(c)
	defer cancel()
	result := h.cfg.Members(ctx, r)
	h.cfg.Log.Info("members", "action", string(r.Action), "id", r.ID, "name", r.Name, "outcome", string(result.Outcome), "reason", result.Reason)
	if result.Outcome != Done {
		return send(c, result.Reply, errorBody{})
	}
	return c.JSON(http.StatusOK, membersBody{Members: orEmpty(result.Members)})
}

// decode reads a small JSON body strictly.
func (h *handler) decode(c echo.Context, dst any) error {
	const largest = 64 << 10
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, min(largest, h.cfg.Body)))
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("agateops: more than one JSON value")
	}
	return nil
}
