package agateops

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"agategate/core/agateinventory"
)

// Outcome says what came of a call to the control group.
type Outcome string

// The outcomes of calls.
const (
	Done      Outcome = "done"      // carried out
	Conflict  Outcome = "conflict"  // another change won, or the state does not allow it
	Invalid   Outcome = "invalid"   // the request is wrong and was not carried out
	Elsewhere Outcome = "elsewhere" // the replica does not lead; nothing was proposed
	NotRun    Outcome = "not-run"   // refused before anything was proposed
	Unknown   Outcome = "unknown"   // it may still be carried out
)

// Reply is the part that the results of all calls share. The zero value of
// Outcome means Unknown.
type Reply struct {
	Outcome Outcome
	// Leader is the admin address (host:port) of the leader, if the replica
	// does not lead and knows it.
	Leader string
	// Reason says why a call was not carried out.
	Reason string
	// Wait is the time after which the call may be sent again. It is rounded
	// up to seconds. The default is 1 s.
	Wait time.Duration
}

// errorBody is the body of every reply that is not a success.
type errorBody struct {
	Error    string                  `json:"error"`
	Revision uint64                  `json:"revision,omitempty"`
	Change   string                  `json:"change,omitempty"`
	Problems agateinventory.Problems `json:"problems,omitempty"`
}

func fail(c echo.Context, code int, text string) error {
	return c.JSON(code, errorBody{Error: text})
}

func tooBusy(c echo.Context) error {
	return send(c, Reply{Outcome: NotRun, Reason: "too many requests are in progress"}, errorBody{})
}

// send answers a call that was not carried out.
func send(c echo.Context, r Reply, body errorBody) error {
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
	case Elsewhere:
		return redirect(c, r, body)
	case NotRun:
		header.Set(HeaderOutcome, "not-run")
		header.Set("Retry-After", seconds(r.Wait))
	default:
		header.Set(HeaderOutcome, "unknown")
		header.Set("Retry-After", seconds(r.Wait))
	}
	if body.Error == "" {
		body.Error = http.StatusText(code)
	}
	return c.JSON(code, body)
}

// redirect names the leader, or asks to try again if there is none.
func redirect(c echo.Context, r Reply, body errorBody) error {
	header := c.Response().Header()
	header.Set(HeaderOutcome, "not-run")
	if r.Leader == "" {
		header.Set("Retry-After", seconds(r.Wait))
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

func seconds(d time.Duration) string {
	if d <= 0 {
		d = time.Second
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
