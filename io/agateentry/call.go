package agateentry

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
	"agategate/core/agateroute"
	"agategate/internal/agatebuffer"
	"agategate/internal/agateclock"
	"agategate/internal/agateserve"
)

// Header fields of requests and answers.
const (
	headerDeadline = "Agate-Deadline-Ms"
	headerOutcome  = "Agate-Outcome"
	headerRequest  = "Agate-Request"
	headerReason   = "Agate-Reason"
	headerKey      = "Idempotency-Key"
)

// outcome states whether a request was run. It is the value of
// Agate-Outcome.
type outcome string

const (
	outcomeRun     outcome = "run"
	outcomeNotRun  outcome = "not-run"
	outcomeUnknown outcome = "unknown"
)

const (
	// maxKeyBytes is the limit of an idempotency key.
	maxKeyBytes = 512
	// minRetryAfter is the shortest Retry-After, which is in whole seconds.
	minRetryAfter = time.Second
	// minStopTime is the time left before the end of a planned stop below which a host
	// takes no call: an upstream could not answer it, and the caller has the time to try
	// another host.
	minStopTime = 200 * time.Millisecond
)

// reasonStopping is the reason of replies to calls for which a planned stop leaves no time.
const reasonStopping = "stopping"

// call is one caller's request.
type call struct {
	id         string
	service    string
	method     string
	path       string // with the query
	homeRegion string // region of the caller
	key        string
	header     http.Header
	body       *agatebuffer.Buffer
	class      agateinventory.Class
	arrived    time.Time
	deadline   time.Time
	// seenIndex is the newest log index that this host had known for at least
	// agateaction.SeenLag when the request arrived.
	seenIndex uint64
	// forwarded is set if another entry host has forwarded the call.
	forwarded bool
	// charge is charged for what the call and its answers hold in memory. It ends when
	// the users, the handler and the runner of an action, have released it.
	charge *agatebuffer.Charge
	users  atomic.Int32
}

// release ends one use of the call. What it holds is no longer charged after the last one.
func (cl *call) release() {
	if cl.users.Add(-1) == 0 {
		cl.charge.End()
	}
}

// reply is the final answer to a call.
type reply struct {
	status     int
	outcome    outcome
	reason     string
	retryAfter time.Duration
	header     http.Header // of the upstream's answer, nil without one
	body       *agatebuffer.Buffer
}

// errorReply returns a reply that this host generates itself.
func errorReply(status int, o outcome, reason string, retryAfter time.Duration) reply {
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
	e.activeCalls.Add(1)
	defer e.activeCalls.Done()
	r := c.Request()
	id := newID()
	if e.draining.Load() {
		// The caller opens a connection to another host for its next request,
		// so that no request is cut off when the listener closes.
		c.Response().Header().Set("Connection", "close")
	}
	cl, rejected := e.parseCall(c.Response(), r, id)
	if cl != nil {
		defer cl.release()
	}
	if rejected != nil {
		e.metrics.refused(rejected.reason)
		writeReply(c.Response(), id, *rejected)
		return nil
	}
	end, _ := e.detours.begin(false)
	rep := e.serveCall(r.Context(), cl)
	end()
	writeReply(c.Response(), id, rep)
	e.recordCall(cl, rep)
	return nil
}

// parseCall reads and validates a request. A non-nil reply is a refusal to be
// sent to the caller. A returned call must be released.
func (e *Entry) parseCall(w http.ResponseWriter, r *http.Request, id string) (*call, *reply) {
	arrived := time.Now()
	reject := func(status int, reason string) (*call, *reply) {
		rep := errorReply(status, outcomeNotRun, reason, 0)
		return nil, &rep
	}
	name, path := splitPath(r.URL.EscapedPath())
	inv := e.inventory.Load()
	service := inv.Service(name)
	if service == nil {
		return reject(http.StatusNotFound, "no-service")
	}
	remaining, err := parseDeadline(r.Header.Get(headerDeadline), service, e.cfg.Settings.Wait.Deadline)
	if err != nil {
		return reject(http.StatusBadRequest, "deadline")
	}
	charge := agateserve.NewCharge(r)
	body, err := agateserve.ReadBodyFor(w, r, min(int64(e.cfg.Settings.Limit.Body), e.account.Largest()), charge)
	if err != nil {
		charge.End()
	}
	switch {
	case errors.Is(err, agatebuffer.ErrTooLarge):
		return reject(http.StatusRequestEntityTooLarge, "body")
	case errors.Is(err, agatebuffer.ErrFull):
		// Another call with the same key may have run.
		rep := errorReply(http.StatusServiceUnavailable, outcomeUnknown, "memory", minRetryAfter)
		return nil, &rep
	case errors.Is(err, os.ErrDeadlineExceeded):
		rep := errorReply(http.StatusRequestTimeout, outcomeNotRun, "body", minRetryAfter)
		return nil, &rep
	case err != nil:
		return reject(http.StatusBadRequest, "body")
	}
	cl := &call{
		charge:     charge,
		id:         id,
		service:    name,
		method:     r.Method,
		path:       path,
		homeRegion: e.lookup.homeRegion(r.RemoteAddr),
		key:        r.Header.Get(headerKey),
		header:     r.Header.Clone(),
		body:       body,
		class:      service.Classify(r.Method, path),
		arrived:    arrived,
		deadline:   e.beforeStop(arrived.Add(remaining)),
		seenIndex:  e.seenIndex.At(agateclock.Now()),
	}
	cl.users.Store(1)
	// An upstream that echoes the id allows detecting a late answer to another
	// request.
	cl.header.Set(headerRequest, id)
	if r.URL.RawQuery != "" {
		cl.path += "?" + r.URL.RawQuery
	}
	if (cl.class == agateinventory.Action && cl.key == "") || !validKey(cl.key) {
		rep := errorReply(http.StatusBadRequest, outcomeNotRun, "idempotency-key", 0)
		return cl, &rep
	}
	if end := e.stopEnd.Load(); end != nil && time.Until(*end) < minStopTime {
		rep := errorReply(http.StatusServiceUnavailable, outcomeNotRun, reasonStopping, minRetryAfter)
		return cl, &rep
	}
	return cl, nil
}

// validKey reports whether a key is printable ASCII of at most maxKeyBytes. The
// control group stores keys as UTF-8 text.
func validKey(key string) bool {
	return len(key) <= maxKeyBytes && !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' })
}

// pathOf returns a path without its query.
func pathOf(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}

// splitPath splits "/v1/call/SERVICE/PATH" into SERVICE and "/PATH".
func splitPath(escaped string) (service, path string) {
	rest := strings.TrimPrefix(escaped, "/v1/call/")
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

func parseDeadline(text string, service *agateinventory.Service, limit time.Duration) (time.Duration, error) {
	if text == "" {
		if service.Deadline > 0 {
			return service.Deadline, nil
		}
		return agateinventory.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > limit.Milliseconds() {
		return 0, fmt.Errorf("agateentry: deadline %q is not between 1 and %d ms", text, limit.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// request returns the routing request of a call.
func (cl *call) request() agateroute.Request {
	return agateroute.Request{ID: cl.id, Service: cl.service, HomeRegion: cl.homeRegion, Class: cl.class, Deadline: cl.deadline}
}

// writeReply writes the final answer, with the outcome in its header.
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
		h.Set("Retry-After", strconv.FormatInt(ceilSeconds(rep.retryAfter), 10))
	}
	body := rep.body
	if rep.header == nil {
		h.Set("Content-Type", echo.MIMEApplicationJSON)
		text, _ := json.Marshal(wireError{Error: string(rep.outcome) + ": " + rep.reason}) // a string always has a JSON form
		body = agatebuffer.Of(text)
	}
	h.Set("Content-Length", strconv.FormatInt(body.Len(), 10))
	w.WriteHeader(rep.status)
	_, _ = body.WriteTo(w) // the caller may be gone
}

// ceilSeconds rounds up to whole seconds, because a caller that retries early
// is refused again.
func ceilSeconds(d time.Duration) int64 {
	d = max(d, minRetryAfter)
	return int64((d + time.Second - 1) / time.Second)
}
