package agatefront

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// reply is the answer to one request.
type reply struct {
	status int
	header http.Header // end-to-end headers of an upstream's answer, or nil
	body   []byte
	// after is when to come back, with statuses that promise that the request
	// was not run.
	after time.Duration
	// reason explains an answer of this host.
	reason string
	// close ends the connection behind the answer.
	close bool
	// elsewhere says that another entry host may serve the caller better. The
	// connection ends behind the answer if no other request is on it.
	elsewhere bool
}

// encode returns the bytes of the answer to a request. A reply of this host
// has its reason as text and the request's id.
func (r *reply) encode(req *http.Request, last bool, idHeader string) []byte {
	var b bytes.Buffer
	b.Grow(len(r.body) + 512)
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	body := r.body
	h := r.header
	if h == nil {
		h = http.Header{}
		if id := req.Header.Get(idHeader); id != "" {
			h.Set(idHeader, id)
		}
		if r.after > 0 {
			h.Set("Retry-After", seconds(r.after))
		}
		h.Set("Content-Type", "text/plain; charset=utf-8")
		body = []byte(r.reason + "\n")
	}
	h.Del("Connection")
	if bodyAllowed(r.status) {
		if req.Method != http.MethodHead {
			h.Set("Content-Length", strconv.Itoa(len(body)))
		}
	} else {
		h.Del("Content-Length")
	}
	_ = h.Write(&b) // a bytes.Buffer does not fail
	switch {
	case last:
		b.WriteString("Connection: close\r\n")
	case !req.ProtoAtLeast(1, 1):
		b.WriteString("Connection: keep-alive\r\n")
	}
	b.WriteString("\r\n")
	if req.Method != http.MethodHead && bodyAllowed(r.status) {
		b.Write(body)
	}
	return b.Bytes()
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// seconds formats a time as seconds with hundredths, rounded up, so that
// nobody comes back too early.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', 2, 64)
}
