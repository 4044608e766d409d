package agateentry

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
	"agategate/core/agateroute"
	"agategate/internal/agateclock"
)

// Headers towards callers and upstreams.
const (
	headerDeadline = "Agate-Deadline-Ms"
	headerOutcome  = "Agate-Outcome"
	headerRequest  = "Agate-Request"
	headerReason   = "Agate-Reason"
	headerKey      = "Idempotency-Key"
)

// outcome is what became of a request.
type outcome string

const (
	outcomeRun     outcome = "run"
	outcomeNotRun  outcome = "not-run"
	outcomeUnknown outcome = "unknown"
)

const (
	// maxKey bounds an idempotency key in bytes.
	maxKey = 512
	// bodyBudget bounds the bytes of all request bodies that are held at once.
	bodyBudget = 128 << 20
	// minRetryAfter is the shortest time told in Retry-After, whose unit is
	// the second.
	minRetryAfter = time.Second
)

// call is one caller's request.
type call struct {
	id       string
	service  string
	method   string
	path     string // with the query
	home     string // region of the caller
	key      string
	header   http.Header
	body     []byte
	class    agateinventory.Class
	arrived  time.Time
	deadline time.Time
	// seen is the newest log index known when the request arrived.
	seen uint64
}

// reply is the final answer to a call.
type reply struct {
	status     int
	outcome    outcome
	reason     string
	retryAfter time.Duration
	header     http.Header // of the upstream's answer
	body       []byte
}

// refusal answers without an upstream's answer.
func refusal(status int, o outcome, reason string, retryAfter time.Duration) reply {
	return reply{status: status, outcome: o, reason: reason, retryAfter: retryAfter}
}

// newID returns a random request id.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// handleCall serves ANY /v1/call/SERVICE/PATH.
func (e *Entry) handleCall(c echo.Context) error {
	e.active.Add(1)
	defer e.active.Done()
	r := c.Request()
	id := newID()
	if e.draining.Load() {
		// The caller's next request opens a connection elsewhere, so none is
		// cut when the listener closes.
		c.Response().Header().Set("Connection", "close")
	}
	cl, bad := e.parseCall(r, id)
	if cl != nil {
		defer e.bodies.Add(-int64(len(cl.body)))
	}
	if bad != nil {
		e.metrics.refused(bad.reason)
		writeReply(c.Response(), id, *bad)
		return nil
	}
	rep := e.serveCall(r.Context(), cl)
	writeReply(c.Response(), id, rep)
	e.recordCall(cl, rep)
	return nil
}

// parseCall checks a request. A bad request is answered at once and is not
// run. A call that is returned counts towards the budget of bodies.
func (e *Entry) parseCall(r *http.Request, id string) (*call, *reply) {
	arrived := time.Now()
	bad := func(status int, reason string) (*call, *reply) {
		rep := refusal(status, outcomeNotRun, reason, 0)
		return nil, &rep
	}
	name, path := splitPath(r.URL.EscapedPath())
	inv := e.inventory.Load()
	service := inv.Service(name)
	if service == nil {
		return bad(http.StatusNotFound, "no-service")
	}
	left, err := parseDeadline(r.Header.Get(headerDeadline), service, e.cfg.Settings.Wait.Deadline)
	if err != nil {
		return bad(http.StatusBadRequest, "deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, int64(e.cfg.Settings.Limit.Body)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bad(http.StatusRequestEntityTooLarge, "body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		rep := refusal(http.StatusRequestTimeout, outcomeNotRun, "body", minRetryAfter)
		return nil, &rep
	case err != nil:
		return bad(http.StatusBadRequest, "body")
	}
	if e.bodies.Add(int64(len(body))) > bodyBudget {
		e.bodies.Add(-int64(len(body)))
		rep := refusal(http.StatusServiceUnavailable, outcomeUnknown, "memory", minRetryAfter)
		return nil, &rep
	}
	cl := &call{
		id:       id,
		service:  name,
		method:   r.Method,
		path:     path,
		home:     e.lookup.homeOf(r.RemoteAddr),
		key:      r.Header.Get(headerKey),
		header:   r.Header.Clone(),
		body:     body,
		class:    service.Classify(r.Method, path),
		arrived:  arrived,
		deadline: arrived.Add(left),
		seen:     e.seen.At(agateclock.Now()),
	}
	// An upstream that echoes the id lets a late answer be told from the
	// right one.
	cl.header.Set(headerRequest, id)
	if r.URL.RawQuery != "" {
		cl.path += "?" + r.URL.RawQuery
	}
	if (cl.class == agateinventory.Action && cl.key == "") || !validKey(cl.key) {
		rep := refusal(http.StatusBadRequest, outcomeNotRun, "idempotency-key", 0)
		return cl, &rep
	}
	return cl, nil
}

// validKey reports whether a key has at most maxKey bytes of printable ASCII.
// The records of the control group hold keys as UTF-8 text.
func validKey(key string) bool {
	return len(key) <= maxKey && !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' })
}

// splitPath splits "/v1/call/SERVICE/PATH" into SERVICE and "/PATH".
func splitPath(escaped string) (service, path string) {
	rest := strings.TrimPrefix(escaped, "/v1/call/")
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

func parseDeadline(text string, service *agateinventory.Service, most time.Duration) (time.Duration, error) {
	if text == "" {
		if service.Deadline > 0 {
			return service.Deadline, nil
		}
		return agateinventory.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > most.Milliseconds() {
		return 0, fmt.Errorf("agateentry: deadline %q is not between 1 and %d ms", text, most.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// request is what the table needs to know about a call.
func (cl *call) request() agateroute.Request {
	return agateroute.Request{ID: cl.id, Service: cl.service, Region: cl.home, Class: cl.class, Deadline: cl.deadline}
}

// writeReply writes the final answer with what became of the request.
func writeReply(w http.ResponseWriter, id string, rep reply) {
	h := w.Header()
	for name, values := range rep.header {
		h[name] = values
	}
	h.Set(headerOutcome, string(rep.outcome))
	h.Set(headerRequest, id)
	if rep.reason != "" {
		h.Set(headerReason, rep.reason)
	}
	if rep.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(rep.retryAfter), 10))
	}
	body := rep.body
	if rep.header == nil {
		h.Set("Content-Type", echo.MIMEApplicationJSON)
		body, _ = json.Marshal(wireError{Error: string(rep.outcome) + ": " + rep.reason}) // a string always has a JSON form
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(rep.status)
	_, _ = w.Write(body) // the caller may be gone
}

// wholeSeconds rounds up, because a caller that comes back early is refused
// again.
func wholeSeconds(d time.Duration) int64 {
	d = max(d, minRetryAfter)
	return int64((d + time.Second - 1) / time.Second)
}
