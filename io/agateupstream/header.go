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
	headerDeadline = "Agate-Deadline-Ms"
	headerRequest  = "Agate-Request"
	headerShed     = "Agate-Shed"
	shedBefore     = "before-execution"
)

// hopByHop lists headers that concern one connection only. Expect is among
// them because the pool sends the body without waiting for a 100.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect",
}

// endToEnd returns a copy of h without hop-by-hop headers and without those
// that h's Connection header names.
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

// outgoing returns the header of the request to the upstream, without the
// remaining time.
func outgoing(c *Call, deadline string) http.Header {
	h := endToEnd(c.Header)
	h.Del("Host")
	h.Del("Content-Length")
	h.Del(deadline)
	if needsLength(c) {
		h.Set("Content-Length", strconv.Itoa(len(c.Body)))
	}
	return h
}

func needsLength(c *Call) bool {
	switch c.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return len(c.Body) > 0
}

// validate rejects calls whose request line could be read as something else
// than one request.
func validate(c *Call) error {
	if !c.Address.IsValid() {
		return errors.New("agateupstream: call without an address")
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

// encodeHead returns the request line and header.
func encodeHead(c *Call, h http.Header, deadline string, left time.Duration) []byte {
	var b bytes.Buffer
	host := c.Host
	if host == "" {
		host = c.Address.String()
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.Path, host)
	fmt.Fprintf(&b, "%s: %d\r\n", deadline, max(left.Milliseconds(), 1))
	_ = h.Write(&b) // a bytes.Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// shed reports whether an answer is the documented one of an upstream that did
// not run the request.
func shed(status int, h http.Header) bool {
	return status == http.StatusServiceUnavailable && h.Get(headerShed) == shedBefore
}

// keepAlive reads the time that the peer keeps an idle connection, or 0.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.ParseUint(value, 10, 31)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// retryAfter reads the Retry-After header in either of its two forms.
func retryAfter(h http.Header, now time.Time) time.Duration {
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
