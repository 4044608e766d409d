package agatefront

import (
	"net/http"
	"sync/atomic"
	"time"

	"agategate/internal/agatebuffer"
)

// exchange is one request and its reply.
type exchange struct {
	req      *http.Request
	body     *agatebuffer.Buffer
	received time.Time
	// charge is charged for what the request and its responses buffer. It ends when the
	// users, the connection and the processing of the request, have released it.
	charge *agatebuffer.Charge
	users  atomic.Int32
	// previous is closed when the previous request on the connection is
	// finished.
	previous <-chan struct{}
	// done is closed when reply is set.
	done  chan struct{}
	reply reply
	// rejected is the reply if the request is rejected without its body.
	rejected *reply
	// finished is closed when the reply was written or dropped.
	finished chan struct{}
	// closeAfter means that the connection closes after the reply, as the
	// caller requested or because the request was rejected.
	closeAfter bool
}

// newExchange returns an exchange of the connection, which uses it until release.
func (c *conn) newExchange() *exchange {
	x := &exchange{charge: c.holder.Begin(), done: make(chan struct{}), finished: make(chan struct{})}
	x.users.Store(1)
	return x
}

// release ends one use of the exchange. What it holds is no longer charged after the last
// one.
func (x *exchange) release() {
	if x.users.Add(-1) == 0 {
		x.charge.End()
	}
}
