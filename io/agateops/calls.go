package agateops

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// AcceptedChange is the reply to an accepted change of the configuration.
type AcceptedChange struct {
	Revision  uint64 `json:"revision"`
	ChangeID  string `json:"change"`
	Unchanged bool   `json:"unchanged,omitempty"`
}

// Config returns the latest committed configuration.
func (c *Client) Config(ctx context.Context) (Configuration, error) {
	a, err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/config"})
	if err != nil {
		return Configuration{}, err
	}
	cfg := Configuration{ChangeID: a.header.Get(HeaderChange), Document: a.body}
	if cfg.Revision, err = strconv.ParseUint(strings.Trim(a.header.Get("ETag"), `"`), 10, 64); err != nil {
		return Configuration{}, fmt.Errorf("agateops: reply without a revision: %w", err)
	}
	if at, err := http.ParseTime(a.header.Get("Last-Modified")); err == nil {
		cfg.AcceptedAt = at
	}
	return cfg, nil
}

// Apply replaces the configuration. After an unknown result it resends the
// request with the same change id until the context ends.
func (c *Client) Apply(ctx context.Context, r ChangeRequest) (AcceptedChange, error) {
	header := http.Header{}
	header.Set(HeaderChange, r.ChangeID)
	header.Set("If-Match", `"`+strconv.FormatUint(r.Base, 10)+`"`)
	header.Set("Content-Type", "application/toml")
	var rev AcceptedChange
	err := c.doJSON(ctx, apiRequest{method: http.MethodPut, path: "/v1/config", header: header, body: r.Document, write: true}, &rev)
	return rev, err
}

// Drain adds a drain to the configuration.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (AcceptedChange, error) {
	return c.drain(ctx, http.MethodPost, r)
}

// Undrain removes a drain from the configuration.
func (c *Client) Undrain(ctx context.Context, r DrainRequest) (AcceptedChange, error) {
	return c.drain(ctx, http.MethodDelete, r)
}

func (c *Client) drain(ctx context.Context, method string, r DrainRequest) (AcceptedChange, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return AcceptedChange{}, fmt.Errorf("agateops: drain: %w", err)
	}
	var rev AcceptedChange
	err = c.doJSON(ctx, apiRequest{method: method, path: "/v1/drain", body: body, write: true}, &rev)
	return rev, err
}

// Status returns the state of the system as the control leader sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.doJSON(ctx, apiRequest{method: http.MethodGet, path: "/v1/status"}, &s)
	return s, err
}

// Explain returns the recorded decisions on a request, by entry host, and the
// names of the hosts that did not answer.
func (c *Client) Explain(ctx context.Context, request string) (hosts []HostDecisions, missing []string, err error) {
	var e explanation
	err = c.doJSON(ctx, apiRequest{method: http.MethodGet, path: "/v1/explain/" + url.PathEscape(request)}, &e)
	return e.Hosts, e.Missing, err
}

// ChangeMember adds, promotes or removes a member of the control group and returns
// the new members. The request carries no change id, so it is not resent after an
// unknown result.
func (c *Client) ChangeMember(ctx context.Context, r MemberRequest) ([]Member, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("agateops: members: %w", err)
	}
	var b membersBody
	err = c.doJSON(ctx, apiRequest{method: http.MethodPost, path: "/v1/members", body: body, write: true, once: true}, &b)
	return b.Members, err
}

// Plan returns the active routing plan as TOML and its version, which is 0 if
// there is no plan yet.
func (c *Client) Plan(ctx context.Context) (version uint64, document []byte, err error) {
	a, err := c.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/plan"})
	if err != nil {
		return 0, nil, err
	}
	if version, err = strconv.ParseUint(strings.Trim(a.header.Get("ETag"), `"`), 10, 64); err != nil {
		return 0, nil, fmt.Errorf("agateops: reply without a version: %w", err)
	}
	return version, a.body, nil
}

// ApplyPlan activates a routing plan and returns its version. After an unknown
// result it resends the request with the same change id until the context
// ends.
func (c *Client) ApplyPlan(ctx context.Context, r PlanRequest) (uint64, error) {
	header := http.Header{}
	header.Set(HeaderChange, r.ChangeID)
	header.Set("If-Match", versionETag(r.Base))
	header.Set("Content-Type", "application/toml")
	var body planBody
	err := c.doJSON(ctx, apiRequest{method: http.MethodPut, path: "/v1/plan", header: header, body: r.Document, write: true}, &body)
	return body.Version, err
}

// Fleet returns the upstreams and entry hosts.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	var f Fleet
	err := c.doJSON(ctx, apiRequest{method: http.MethodGet, path: "/v1/fleet"}, &f)
	return f, err
}

// Evacuate starts or ends the evacuation of a failure domain, which receives
// no new requests while it is evacuated.
func (c *Client) Evacuate(ctx context.Context, r EvacuateRequest) (Evacuation, error) {
	method := http.MethodPut
	if !r.On {
		method = http.MethodDelete
	}
	var e Evacuation
	err := c.doJSON(ctx, apiRequest{method: method, path: "/v1/evacuations/" + url.PathEscape(r.Domain), write: true}, &e)
	return e, err
}

// doJSON sends a request and decodes the JSON body of the reply into dst.
func (c *Client) doJSON(ctx context.Context, r apiRequest, dst any) error {
	a, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, dst); err != nil {
		return transportError(fmt.Errorf("reply: %w", err), r.write)
	}
	return nil
}
