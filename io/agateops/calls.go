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

// Revision is an accepted change.
type Revision struct {
	Revision  uint64 `json:"revision"`
	Change    string `json:"change"`
	Unchanged bool   `json:"unchanged,omitempty"`
}

// Config returns the newest configuration.
func (c *Client) Config(ctx context.Context) (Configuration, error) {
	a, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/config"})
	if err != nil {
		return Configuration{}, err
	}
	cfg := Configuration{Change: a.header.Get(HeaderChange), Document: a.body}
	if cfg.Revision, err = strconv.ParseUint(strings.Trim(a.header.Get("ETag"), `"`), 10, 64); err != nil {
		return Configuration{}, fmt.Errorf("agateops: reply without a revision: %w", err)
	}
	if at, err := http.ParseTime(a.header.Get("Last-Modified")); err == nil {
		cfg.At = at
	}
	return cfg, nil
}

// Apply changes the configuration. An unknown result is sent again with the
// same change id until the context ends.
func (c *Client) Apply(ctx context.Context, r ChangeRequest) (Revision, error) {
	header := http.Header{}
	header.Set(HeaderChange, r.Change)
	header.Set("If-Match", `"`+strconv.FormatUint(r.Base, 10)+`"`)
	header.Set("Content-Type", "application/toml")
	var rev Revision
	err := c.into(ctx, call{method: http.MethodPut, path: "/v1/config", header: header, body: r.Document, write: true}, &rev)
	return rev, err
}

// Drain adds a drain to the configuration.
func (c *Client) Drain(ctx context.Context, r DrainRequest) (Revision, error) {
	return c.drain(ctx, http.MethodPost, r)
}

// Undrain removes a drain from the configuration.
func (c *Client) Undrain(ctx context.Context, r DrainRequest) (Revision, error) {
	return c.drain(ctx, http.MethodDelete, r)
}

func (c *Client) drain(ctx context.Context, method string, r DrainRequest) (Revision, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Revision{}, fmt.Errorf("agateops: drain: %w", err)
	}
	var rev Revision
	err = c.into(ctx, call{method: method, path: "/v1/drain", body: body, write: true}, &rev)
	return rev, err
}

// Status returns what the control leader knows of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.into(ctx, call{method: http.MethodGet, path: "/v1/status"}, &s)
	return s, err
}

// Explain returns the decisions on a request that entry hosts keep, and the
// hosts that did not answer.
func (c *Client) Explain(ctx context.Context, request string) (hosts []HostDecisions, missing []string, err error) {
	var e explanation
	err = c.into(ctx, call{method: http.MethodGet, path: "/v1/explain/" + url.PathEscape(request)}, &e)
	return e.Hosts, e.Missing, err
}

// Members changes the members of the control group. It is sent only once if
// its result is unknown, because it carries no change id.
func (c *Client) Members(ctx context.Context, r MemberRequest) ([]Member, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("agateops: members: %w", err)
	}
	var b membersBody
	err = c.into(ctx, call{method: http.MethodPost, path: "/v1/members", body: body, write: true, once: true}, &b)
	return b.Members, err
}

// Plan returns the newest routing plan as a document, and its version. The
// version is 0 if there is none yet.
func (c *Client) Plan(ctx context.Context) (version uint64, document []byte, err error) {
	a, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/plan"})
	if err != nil {
		return 0, nil, err
	}
	if version, err = strconv.ParseUint(strings.Trim(a.header.Get("ETag"), `"`), 10, 64); err != nil {
		return 0, nil, fmt.Errorf("agateops: reply without a version: %w", err)
	}
	return version, a.body, nil
}

// ApplyPlan puts a routing plan in force and returns its version. An unknown
// result is sent again with the same change id until the context ends.
func (c *Client) ApplyPlan(ctx context.Context, r PlanRequest) (uint64, error) {
	header := http.Header{}
	header.Set(HeaderChange, r.Change)
	header.Set("If-Match", versionTag(r.Base))
	header.Set("Content-Type", "application/toml")
	var body planBody
	err := c.into(ctx, call{method: http.MethodPut, path: "/v1/plan", header: header, body: r.Document, write: true}, &body)
	return body.Version, err
}

// Fleet returns the upstreams and entry hosts.
func (c *Client) Fleet(ctx context.Context) (Fleet, error) {
	var f Fleet
	err := c.into(ctx, call{method: http.MethodGet, path: "/v1/fleet"}, &f)
	return f, err
}

// Evacuate keeps new work away from a failure domain, or ends that.
func (c *Client) Evacuate(ctx context.Context, r EvacuateRequest) (Evacuation, error) {
	method := http.MethodPut
	if !r.On {
		method = http.MethodDelete
	}
	var e Evacuation
	err := c.into(ctx, call{method: method, path: "/v1/evacuations/" + url.PathEscape(r.Domain), write: true}, &e)
	return e, err
}

func (c *Client) into(ctx context.Context, r call, dst any) error {
	a, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, dst); err != nil {
		return fmt.Errorf("agateops: reply: %w", err)
	}
	return nil
}
