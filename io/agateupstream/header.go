package agateupstream

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Headers of the protocol between entry hosts and upstreams.
const (
	headerDeadline      = "Agate-Deadline-Ms"
	headerRequest       = "Agate-Request"
	headerShed          = "Agate-Shed"
	shedBeforeExecution = "before-execution"
)

// hopByHop lists the headers that apply to a single connection. Expect is
// included because the pool sends the body without waiting for a 100 response.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect",
}

// endToEnd returns a copy of h without hop-by-hop headers and without the headers
// that its Connection header lists.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// outgoingHeader returns the header of the request to the upstream, without the
// deadline header.
func outgoingHeader(c *Call, deadlineHeader string) http.Header {
	h := endToEnd(c.Header)
	h.Del("Host")
	h.Del("Content-Length")
	h.Del(deadlineHeader)
	if needsLength(c) {
		h.Set("Content-Length", strconv.FormatInt(c.Body.Len(), 10))
	}
	return h
}

func needsLength(c *Call) bool {
	switch c.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return c.Body.Len() > 0
}

// validate rejects calls whose request line the upstream could parse as anything
// other than a single request, which prevents request smuggling.
func validate(c *Call) error {
	if !c.Address.IsValid() {
		return errors.New("agateupstream: call has no upstream address")
	}
	if c.Method == "" || strings.ContainsFunc(c.Method, notToken) {
		return fmt.Errorf("agateupstream: invalid method %q", c.Method)
	}
	if !strings.HasPrefix(c.Path, "/") || strings.ContainsFunc(c.Path, notPath) {
		return fmt.Errorf("agateupstream: invalid path %q", c.Path)
	}
	return nil
}

func notToken(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune(`()<>@,;:\"/[]?={}`, r)
}

func notPath(r rune) bool { return r <= ' ' || r == 0x7f }

// encodeHead returns the request line and header with the remaining time.
func encodeHead(c *Call, h http.Header, deadlineHeader string, left time.Duration) []byte {
	var b bytes.Buffer
	host := c.Host
	if host == "" {
		host = c.Address.String()
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Path, host)
	fmt.Fprintf(&b, "%s: %d\r\n", deadlineHeader, max(left.Milliseconds(), 1))
	_ = h.Write(&b) // writing to a bytes.Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// isShed reports whether a response is status 503 with the header "Agate-Shed:
// before-execution", by which an upstream states that it did not run the request.
func isShed(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(headerShed) == shedBeforeExecution
}

// parseKeepAlive returns the timeout of the Keep-Alive header, or 0.
func parseKeepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseUint(value, 10, 31)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// parseRetryAfter returns the time of the Retry-After header, which is a number
// of seconds or a date. It returns 0 if there is none. Fractions of seconds, which
// agatefront sends, extend RFC 9110.
func parseRetryAfter(h http.Header, now time.Time) time.Duration {
	value := h.Get("Retry-After")
	if value == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds >= 0 && seconds < math.MaxInt32 {
		return time.Duration(seconds * float64(time.Second))
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(at.Sub(now), 0)
	}
	return 0
}
