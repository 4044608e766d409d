package agatefront

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"agategate/internal/agatebuffer"
)

// reply is the response to one request.
type reply struct {
	status int
	header http.Header // end-to-end headers of an upstream's response; nil for the host's own reply
	body   *agatebuffer.Buffer
	// stream passes on a body of size bytes while it arrives. It replaces body if it is
	// not nil.
	stream *bodyStream
	size   int64
	// retryAfter is the Retry-After time, for statuses that mean that the
	// request was not run.
	retryAfter time.Duration
	// reason is the text of the host's own reply.
	reason string
	// extra are headers for another entry host that forwarded the request.
	extra http.Header
	// close closes the connection after the reply.
	close bool
	// preferOtherHost means that another entry host may serve the caller better.
	// The connection closes after the reply if it has no other request.
	preferOtherHost bool
}

// setExtra sets a header for another entry host.
func (r *reply) setExtra(name, value string) {
	if r.extra == nil {
		r.extra = http.Header{}
	}
	r.extra.Set(name, value)
}

// encode returns the head of the reply as an HTTP/1.1 message, and the body that follows
// it, which is nil for a stream. The host's own reply has the reason as its body and the
// request's id as a header.
func (r *reply) encode(req *http.Request, last bool, idHeader string) ([]byte, *agatebuffer.Buffer) {
	var b bytes.Buffer
	b.Grow(512)
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	body := r.body
	h := r.header
	if h == nil {
		h = http.Header{}
		if id := req.Header.Get(idHeader); id != "" {
			h.Set(idHeader, id)
		}
		if r.retryAfter > 0 {
			h.Set("Retry-After", formatSeconds(r.retryAfter))
		}
		h.Set("Content-Type", "text/plain; charset=utf-8")
		body = agatebuffer.Of([]byte(r.reason + "\n"))
	}
	for name, values := range r.extra {
		h[name] = values
	}
	h.Del("Connection")
	if bodyAllowed(r.status) {
		if req.Method != http.MethodHead {
			size := body.Len()
			if r.stream != nil {
				size = r.size
			}
			h.Set("Content-Length", strconv.FormatInt(size, 10))
		}
	} else {
		h.Del("Content-Length")
	}
	_ = h.Write(&b) // writing to a bytes.Buffer does not fail
	switch {
	case last:
		b.WriteString("Connection: close\r\n")
	case !req.ProtoAtLeast(1, 1):
		b.WriteString("Connection: keep-alive\r\n")
	}
	b.WriteString("\r\n")
	if req.Method == http.MethodHead || !bodyAllowed(r.status) {
		body = nil
	}
	return b.Bytes(), body
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// formatSeconds formats a duration as seconds with two decimals, rounded up so
// that callers do not retry too early. The fraction extends RFC 9110, which
// allows whole seconds only.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', 2, 64)
}
