package agateserve

import (
	"errors"
	"net/http"
	"time"

	"agategate/internal/agatebuffer"
)

// fullRetryAfter is the Retry-After time in seconds of a request for which there is no
// memory.
const fullRetryAfter = "1"

// chargeRequests charges the account for the head of each request, and gives handlers a
// charge for its body.
func chargeRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := r.Context().Value(connKey{}).(*limitConn)
		c.beginRequest()
		defer c.endRequest()
		c.charge = c.holder.Begin()
		defer c.charge.End()
		if err := c.charge.Grow(headBytes(r)); err != nil {
			SetFull(w.Header())
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// headBytes returns the size of a parsed head.
func headBytes(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		n += agatebuffer.FieldBytes + len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// SetFull sets the headers of a reply with status 503 to a request for which there is no
// memory.
func SetFull(h http.Header) {
	h.Set("Retry-After", fullRetryAfter)
	h.Set("Connection", "close") // what follows is the body
}

// Charge returns what a request is charged for. It ends with the handler. A request that
// did not arrive through a Server has an account of its own.
func Charge(r *http.Request) *agatebuffer.Charge {
	if c, ok := r.Context().Value(connKey{}).(*limitConn); ok {
		return c.charge
	}
	return agatebuffer.New(agatebuffer.Config{}).Open().Begin()
}

// NewCharge returns a charge for a request that outlives its handler. End must be called to
// release it.
func NewCharge(r *http.Request) *agatebuffer.Charge {
	if c, ok := r.Context().Value(connKey{}).(*limitConn); ok {
		return c.holder.Begin()
	}
	return Charge(r)
}

// ReadBody reads the body of a request of at most limit bytes, for which Charge is charged
// while they arrive. It returns agatebuffer.ErrTooLarge if the body is larger, and
// agatebuffer.ErrFull if there is no memory for it; the connection closes after the reply
// then.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*agatebuffer.Buffer, error) {
	return ReadBodyFor(w, r, limit, Charge(r))
}

// ReadBodyFor is ReadBody for a charge of NewCharge.
func ReadBodyFor(w http.ResponseWriter, r *http.Request, limit int64, charge *agatebuffer.Charge) (*agatebuffer.Buffer, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, agatebuffer.ErrTooLarge
	}
	if c, ok := r.Context().Value(connKey{}).(*limitConn); ok {
		// Until the body has arrived, the connection may be closed for a new one.
		c.endRequest()
		defer c.beginRequest()
	}
	control := http.NewResponseController(w)
	arrival := charge.Receive(func() { _ = control.SetReadDeadline(time.Unix(0, 0)) }) // fails only if the connection is closed
	body, err := agatebuffer.Read(r.Body, limit, arrival)
	if errors.Is(err, agatebuffer.ErrTooLarge) || errors.Is(err, agatebuffer.ErrFull) {
		w.Header().Set("Connection", "close")
	}
	return body, err
}
