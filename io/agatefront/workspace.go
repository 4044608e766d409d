package agatefront

import "net/http"

// Reasons of replies to requests without a valid key. The values are stable.
const (
	reasonUnknownKey = "unknown key"
	reasonOldPlan    = "plan may be old"
)

// identify sets the workspace of the request by the plan in force. If the request
// needs the key of a workspace and has none, it returns the reply to send and false.
//
// Another host that forwards the request has checked the key and names the workspace
// instead, in the header that upstreams get it in. Callers cannot do so: their
// connections never have c.peer set.
func (p *proxyRequest) identify() (reply, bool) {
	p.criteria.Workspace = nil
	if !p.plan.HasWorkspaces() || p.route.Public {
		return reply{}, true
	}
	h := p.x.req.Header
	if p.c.peer {
		p.criteria.Workspace = p.plan.Workspace(h.Get(p.f.headers.Workspace))
	} else {
		p.criteria.Workspace = p.plan.WorkspaceByKey(h.Get(p.f.headers.Key))
	}
	switch {
	case p.criteria.Workspace != nil:
		return reply{}, true
	case p.mayHaveRun:
		return reply{status: http.StatusBadGateway, reason: "key withdrawn"}, false
	case !p.f.control.fresh():
		// The key may be in a newer plan that this host has not received.
		return reply{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, reason: reasonOldPlan, preferOtherHost: true}, false
	}
	return reply{status: http.StatusUnauthorized, reason: reasonUnknownKey}, false
}

// setWorkspace replaces what a caller sent as key and workspace by the name of the
// request's workspace. The headers of plans without workspaces are not touched.
func (p *proxyRequest) setWorkspace(h http.Header) {
	if !p.plan.HasWorkspaces() {
		return
	}
	h.Del(p.f.headers.Key)
	h.Del(p.f.headers.Workspace)
	if w := p.criteria.Workspace; w != nil {
		h.Set(p.f.headers.Workspace, w.Name)
	}
}

// rejectUnread returns the reply to a request with a body that need not be read, because
// its key is unknown.
func (f *Front) rejectUnread(c *conn, x *exchange) *reply {
	plan := f.plan.Load()
	if c.peer || plan == nil || !plan.HasWorkspaces() || !hasBody(x.req) {
		return nil
	}
	p := &proxyRequest{f: f, c: c, x: x, path: requestPath(x.req)}
	r, _ := p.match()
	if r.status != http.StatusUnauthorized {
		return nil
	}
	return &r
}

// workspaceName returns the name of the request's workspace, or "".
func (p *proxyRequest) workspaceName() string {
	if w := p.criteria.Workspace; w != nil {
		return w.Name
	}
	return ""
}
