package agatefront

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"agategate/core/agateplan"
	"agategate/internal/agatebuffer"
	"agategate/io/agatemetrics"
)

const (
	// bodyTimeout limits the time in which a caller sends a body.
	bodyTimeout = 10 * time.Second
	// memoryRetryAfter is the Retry-After time of a request for whose bytes there is no
	// memory: most of those that hold it end within that time.
	memoryRetryAfter = time.Second
)

// Reasons of replies to requests that are not read to their end. The values are stable.
const (
	reasonUnreadable = "unreadable"
	reasonMemory     = "memory"
)

// limitedReader limits the number of bytes that are read from a connection.
type limitedReader struct {
	r    io.Reader
	left int64
	// charge is charged for the bytes that are read, if it is not nil.
	charge *agatebuffer.Charge
}

var errReadLimit = errors.New("agatefront: request exceeds the read limit")

// Read implements io.Reader. It returns errReadLimit once the limit is reached, and
// agatebuffer.ErrFull if there is no memory for the bytes.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errReadLimit
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.r.Read(b)
	l.left -= int64(n)
	if l.charge != nil && n > 0 {
		if err := l.charge.Grow(int64(n)); err != nil {
			return 0, err
		}
	}
	return n, err
}

// limits returns the limits of the current plan, with defaults for those that it
// does not set. Bodies are kept in memory, so none may be larger than the account.
func (f *Front) limits() agateplan.Limits {
	l := agateplan.Limits{}
	if p := f.plan.Load(); p != nil {
		l = p.Plan.Limits
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	l.MaxBodyBytes = int(min(int64(l.MaxBodyBytes), f.account.Largest()))
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// refusal is the reply to a request that is not read to its end. The connection closes
// after it.
type refusal struct {
	reply
	req *http.Request // nil if the head could not be read
}

func refuseUnreadable(req *http.Request, status int) *refusal {
	return &refusal{reply: reply{status: status, reason: reasonUnreadable}, req: req}
}

// refuseForMemory refuses a request for whose bytes there is no memory. It has not run.
func refuseForMemory(req *http.Request) *refusal {
	return &refusal{reply: reply{status: http.StatusServiceUnavailable, retryAfter: memoryRetryAfter, reason: reasonMemory}, req: req}
}

// readRequest reads one request. If it returns no request, the refusal is the reply to
// send, or nil for none.
func (c *conn) readRequest() (*exchange, *refusal) {
	l := c.f.limits()
	if c.peer {
		l.IdleTimeout = defaultIdleTimeout // longer than the other host keeps the connection
		l.MaxHeaderBytes += peerHeaderBytes
	}
	if !c.awaitRequest(l.IdleTimeout) {
		return nil, nil
	}
	x := c.newExchange()
	refused := c.receive(x, l)
	if refused != nil || c.ctx.Err() != nil {
		x.release()
		return nil, refused
	}
	return x, nil
}

// receive reads the head and the body of a request. If the caller disconnects, the
// context of the connection ends.
func (c *conn) receive(x *exchange, l agateplan.Limits) *refusal {
	if refused := c.readHead(x, l); refused != nil || c.ctx.Err() != nil {
		return refused
	}
	if x.rejected = c.f.rejectUnread(c, x); x.rejected != nil {
		x.closeAfter = true // what follows is the body
		return nil
	}
	return c.readBody(x, l.MaxBodyBytes)
}

// readHead reads the request line and the header.
func (c *conn) readHead(x *exchange, l agateplan.Limits) *refusal {
	c.limit.left = int64(l.MaxHeaderBytes) + readBufferBytes
	c.limit.charge = x.charge
	_ = c.nc.SetReadDeadline(time.Now().Add(l.HeaderTimeout)) // fails only if the connection is closed; the read then fails too
	req, err := http.ReadRequest(c.br)
	c.limit.charge = nil
	if err == nil {
		err = x.charge.Grow(int64(agatebuffer.FieldBytes * len(req.Header)))
	}
	switch {
	case errors.Is(err, agatebuffer.ErrFull):
		return refuseForMemory(req)
	case errors.Is(err, errReadLimit):
		return refuseUnreadable(nil, http.StatusRequestHeaderFieldsTooLarge)
	case isTimeout(err):
		return refuseUnreadable(nil, http.StatusRequestTimeout)
	case err != nil && c.disconnected(err):
		c.cancel()
		return nil
	case err != nil:
		return refuseUnreadable(nil, http.StatusBadRequest)
	}
	x.req, x.received = req, time.Now()
	x.closeAfter = req.Close || !req.ProtoAtLeast(1, 1)
	return nil
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// disconnected reports whether a read error means that the connection ended.
func (c *conn) disconnected(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

func hasBody(req *http.Request) bool { return req.Body != nil && req.Body != http.NoBody }

// readBody reads the whole body, which is charged while it arrives.
func (c *conn) readBody(x *exchange, maxBytes int) *refusal {
	req := x.req
	if !hasBody(req) {
		return nil
	}
	if req.ContentLength > int64(maxBytes) {
		return refuseUnreadable(req, http.StatusRequestEntityTooLarge)
	}
	if req.Header.Get("Expect") == "100-continue" && c.numInFlight() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			c.cancel()
			return nil
		}
	}
	c.limit.left = math.MaxInt64                          // the body and the framing of its chunks have limits of their own
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only if the connection is closed; the read then fails too
	body, err := agatebuffer.Read(req.Body, int64(maxBytes), x.charge.Receive(func() {
		_ = c.nc.SetReadDeadline(time.Unix(0, 0)) // ends the read; fails only if the connection is closed
	}))
	switch {
	case errors.Is(err, agatebuffer.ErrTooLarge):
		return refuseUnreadable(req, http.StatusRequestEntityTooLarge)
	case errors.Is(err, agatebuffer.ErrFull):
		return refuseForMemory(req)
	case isTimeout(err):
		return refuseUnreadable(req, http.StatusRequestTimeout)
	case err != nil && c.disconnected(err):
		c.cancel()
	case err != nil:
		return refuseUnreadable(req, http.StatusBadRequest)
	}
	x.body = body
	return nil
}

// declineUnread marks the reply to a forwarded request that was not read to its end: the
// host that forwarded it may try another one.
func (c *conn) declineUnread(r *reply) {
	r.setExtra(headerReason, r.reason)
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusRequestEntityTooLarge {
		r.setExtra(headerDeclined, declinedBusy)
	}
}

// refuse sends the reply to a request that is malformed, too large, too slow or finds no
// memory, and closes the connection after it.
func (c *conn) refuse(r *refusal, previous <-chan struct{}) {
	x := c.newExchange()
	x.received, x.previous, x.closeAfter = time.Now(), previous, true
	if x.req = r.req; x.req == nil {
		x.req = &http.Request{Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1}
	}
	x.reply = r.reply
	if c.peer {
		c.declineUnread(&x.reply)
	}
	close(x.done)
	c.f.metrics.refused(r.reason)
	if c.f.otherLimit.allow(time.Now(), otherLinesPerSecond) {
		c.f.log.Warn("request refused before its end", "kind", "unreadable", "req", x.req.Header.Get(c.f.headers.RequestID),
			"status", r.status, "reason", r.reason, "caller", c.nc.RemoteAddr().String())
	} else {
		c.f.metrics.set.Counter(agatemetrics.SkippedLines, "").Add(1)
	}
	if !c.enqueue(x) {
		x.release()
		return
	}
	c.awaitClose()
}
