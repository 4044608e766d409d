package agateops

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
)

// Outcome is the outcome of a call to the control group.
type Outcome string

// Outcomes of calls.
const (
	Done      Outcome = "done"      // executed
	Conflict  Outcome = "conflict"  // lost to another change, or not allowed in the current state
	Invalid   Outcome = "invalid"   // the request is malformed or invalid; not executed
	NotLeader Outcome = "elsewhere" // the replica is not the leader; nothing was proposed
	NotRun    Outcome = "not-run"   // rejected before anything was proposed
	Unknown   Outcome = "unknown"   // may still take effect
)

// Reply holds the fields common to the results of all calls. The zero value of
// Outcome means Unknown.
type Reply struct {
	Outcome Outcome
	// Leader is the admin address (host:port) of the leader, if the replica is
	// a follower that knows it.
	Leader string
	// Reason explains an outcome other than Done.
	Reason string
	// RetryAfter is the delay after which the call may be retried. It is rounded
	// up to seconds. The default is 1 s.
	RetryAfter time.Duration
}

// errorBody is the body of every error reply.
type errorBody struct {
	Error    string                  `json:"error"`
	Revision uint64                  `json:"revision,omitempty"`
	Change   string                  `json:"change,omitempty"`
	Problems agateinventory.Problems `json:"problems,omitempty"`
}

func sendError(c echo.Context, code int, text string) error {
	return c.JSON(code, errorBody{Error: text})
}

// sendReply sends the reply to a call whose outcome is not Done.
func sendReply(c echo.Context, r Reply, body errorBody) error {
	header := c.Response().Header()
	if body.Error == "" {
		body.Error = r.Reason
	}
	code := http.StatusServiceUnavailable
	switch r.Outcome {
	case Conflict:
		code = http.StatusConflict
	case Invalid:
		code = http.StatusUnprocessableEntity
	case NotLeader:
		return redirect(c, r, body)
	case NotRun:
		header.Set(HeaderOutcome, "not-run")
		header.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	default:
		header.Set(HeaderOutcome, "unknown")
		header.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	if body.Error == "" {
		body.Error = http.StatusText(code)
	}
	return c.JSON(code, body)
}

// redirect redirects to the leader, or replies with 421 and Retry-After if the
// leader is unknown.
func redirect(c echo.Context, r Reply, body errorBody) error {
	header := c.Response().Header()
	header.Set(HeaderOutcome, "not-run")
	if r.Leader == "" {
		header.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
		body.Error = "this replica does not lead, and no leader is known"
		return c.JSON(http.StatusMisdirectedRequest, body)
	}
	u := *c.Request().URL
	u.Scheme, u.Host = c.Scheme(), r.Leader
	header.Set(HeaderLeader, r.Leader)
	header.Set("Location", u.String())
	body.Error = "this replica does not lead; the leader is " + r.Leader
	return c.JSON(http.StatusTemporaryRedirect, body)
}

func retryAfterSeconds(d time.Duration) string {
	if d <= 0 {
		d = time.Second
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
