package agatefront

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"agategate/core/agateplan"
)

const (
	// maxPipelined is the capacity of the queue of unanswered requests of one
	// connection.
	maxPipelined = 16
	// Size limits that apply if the plan sets none.
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 1 << 20
	// maxBodyBytes limits each body regardless of the plan, because bodies are
	// kept in memory.
	maxBodyBytes = 16 << 20
	// Timeouts that apply if the plan sets none.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// bodyTimeout limits the time in which a caller sends a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout limits the time in which a caller receives a response.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long the host reads on from a connection that it closes,
	// so that a TCP reset does not destroy the last response.
	lingerTimeout = 500 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept, for example when the
	// process has no free file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
)

// accept accepts connections until the host stops: those of callers, or of other entry
// hosts that forward requests.
func (f *Front) accept(ln net.Listener, peer bool) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			f.log.Warn("accept failed", "kind", "accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if f.conns.len() >= f.cfg.MaxCallerConns {
			f.metrics.refused("connections")
			_ = nc.Close()
			continue
		}
		c := newConn(f, nc)
		c.peer = peer
		f.conns.add(c)
		f.wg.Go(c.read)
		f.wg.Go(c.write)
	}
}

// conn is one connection of a caller. One goroutine reads requests and another
// writes the replies in the same order.
type conn struct {
	f  *Front
	nc net.Conn
	// peer is set if another entry host opened the connection, to forward requests.
	peer  bool
	br    *bufio.Reader
	limit *limitedReader
	ctx   context.Context
	// cancel stops the processing of requests after the caller disconnected.
	cancel context.CancelFunc

	queue chan *exchange

	mu sync.Mutex
	// inFlight is the number of requests that were queued and whose reply is not
	// yet being written.
	inFlight int
	// closing is set when no further request is accepted.
	closing bool
}

// exchange is one request and its reply.
type exchange struct {
	req      *http.Request
	body     []byte
	received time.Time
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

// limitedReader limits the number of bytes that are read from a connection.
type limitedReader struct {
	r    io.Reader
	left int64
}

var errReadLimit = errors.New("agatefront: request exceeds the read limit")

// Read implements io.Reader. It returns errReadLimit once the limit is reached.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errReadLimit
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.r.Read(b)
	l.left -= int64(n)
	return n, err
}

const readBufferBytes = 4 << 10

func newConn(f *Front, nc net.Conn) *conn {
	c := &conn{f: f, nc: nc, queue: make(chan *exchange, maxPipelined)}
	c.ctx, c.cancel = context.WithCancel(f.ctx)
	c.limit = &limitedReader{r: nc}
	c.br = bufio.NewReaderSize(c.limit, readBufferBytes)
	return c
}

// limits returns the limits of the current plan, with defaults for those that it
// does not set.
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
	l.MaxBodyBytes = min(l.MaxBodyBytes, maxBodyBytes)
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// read reads and starts requests until the caller or the host closes the
// connection.
func (c *conn) read() {
	defer close(c.queue)
	previous := make(chan struct{})
	close(previous)
	for {
		x, status := c.readRequest()
		if x == nil {
			if status != 0 {
				c.rejectRequest(status, previous)
			}
			c.stop()
			return
		}
		x.previous = previous
		previous = x.finished
		if !c.enqueue(x) {
			c.f.releaseBody(x)
			c.awaitClose()
			return
		}
		c.f.wg.Go(func() { c.f.handle(c, x) })
		if x.closeAfter {
			c.awaitClose()
			return
		}
	}
}

// enqueue queues a request. It reports false if the connection is being closed, or the
// host no longer takes requests; the request then counts as not read.
func (c *conn) enqueue(x *exchange) bool {
	c.mu.Lock()
	if c.closing || c.f.finishing.Load() {
		c.mu.Unlock()
		return false
	}
	c.inFlight++
	c.mu.Unlock()
	select {
	case c.queue <- x:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// readRequest reads one request. If it returns nil, status is that of the error
// response to send, or 0 for none.
func (c *conn) readRequest() (x *exchange, status int) {
	l := c.f.limits()
	if c.peer {
		l.IdleTimeout = defaultIdleTimeout // longer than the other host keeps the connection
		l.MaxHeaderBytes += peerHeaderBytes
	}
	if !c.awaitRequest(l.IdleTimeout) {
		return nil, 0
	}
	c.limit.left = int64(l.MaxHeaderBytes) + readBufferBytes
	_ = c.nc.SetReadDeadline(time.Now().Add(l.HeaderTimeout)) // fails only if the connection is closed; the read then fails too
	req, err := http.ReadRequest(c.br)
	switch {
	case errors.Is(err, errReadLimit):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return nil, http.StatusRequestTimeout
	case err != nil && c.disconnected(err):
		return nil, 0
	case err != nil:
		return nil, http.StatusBadRequest
	}
	x = &exchange{
		req:        req,
		received:   time.Now(),
		done:       make(chan struct{}),
		finished:   make(chan struct{}),
		closeAfter: req.Close || !req.ProtoAtLeast(1, 1),
	}
	if x.rejected = c.f.rejectUnread(c, x); x.rejected != nil {
		x.closeAfter = true // what follows is the body
		return x, 0
	}
	if status := c.readBody(x, l.MaxBodyBytes); status != 0 {
		return nil, status
	}
	if c.ctx.Err() != nil {
		return nil, 0
	}
	return x, 0
}

// awaitRequest waits for the first byte of a request. The idle timeout applies
// only while no request is in progress.
func (c *conn) awaitRequest(idle time.Duration) bool {
	for {
		c.limit.left = readBufferBytes
		if !c.setIdle(idle) {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !isTimeout(err) || c.numInFlight() == 0 {
			return false
		}
	}
}

// setIdle sets the read deadline for the next request. It reports false if the
// connection is being closed.
func (c *conn) setIdle(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(idle)) // fails only if the connection is closed; the read then fails too
	return true
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

// readBody reads the whole body. It returns the status of the error response to
// send, or 0 if the body was read or the caller disconnected.
func (c *conn) readBody(x *exchange, maxBytes int) int {
	req := x.req
	if !hasBody(req) {
		return 0
	}
	if req.ContentLength > int64(maxBytes) {
		return http.StatusRequestEntityTooLarge
	}
	if req.Header.Get("Expect") == "100-continue" && c.numInFlight() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0
		}
	}
	c.limit.left = int64(maxBytes) + int64(defaultMaxHeaderBytes)
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only if the connection is closed; the read then fails too
	body, err := io.ReadAll(io.LimitReader(req.Body, int64(maxBytes)+1))
	switch {
	case len(body) > maxBytes:
		return http.StatusRequestEntityTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case err != nil && c.disconnected(err):
		c.cancel()
		return 0
	case err != nil:
		return http.StatusBadRequest
	}
	if c.f.bodyBytes.Add(int64(len(body))) > c.f.cfg.MaxTotalBodyBytes {
		c.f.bodyBytes.Add(-int64(len(body)))
		return http.StatusServiceUnavailable
	}
	x.body = body
	return 0
}

func (f *Front) releaseBody(x *exchange) { f.bodyBytes.Add(-int64(len(x.body))) }

// rejectRequest sends an error response to a request that is malformed, too
// large, too slow or over the memory limit, and closes the connection after it.
func (c *conn) rejectRequest(status int, previous <-chan struct{}) {
	x := &exchange{
		req:        &http.Request{Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1},
		received:   time.Now(),
		previous:   previous,
		done:       make(chan struct{}),
		finished:   make(chan struct{}),
		closeAfter: true,
	}
	x.reply = reply{status: status, reason: "unreadable"}
	close(x.done)
	c.f.metrics.refused("unreadable")
	c.f.log.Warn("unreadable request rejected", "kind", "unreadable", "status", status, "caller", c.nc.RemoteAddr().String())
	if c.enqueue(x) {
		c.awaitClose()
	}
}

// awaitClose discards input after the last request until the caller closes the
// connection, or until it was idle for defaultIdleTimeout with no request in
// flight. It then stops the connection.
func (c *conn) awaitClose() {
	for {
		c.limit.left = readBufferBytes
		_ = c.nc.SetReadDeadline(time.Now().Add(defaultIdleTimeout)) // fails only if the connection is closed; the read then fails too
		if _, err := c.br.Discard(1); err == nil {
			continue
		} else if isTimeout(err) && c.numInFlight() > 0 {
			continue
		}
		c.stop()
		return
	}
}

// stop accepts no further request and cancels those in progress.
func (c *conn) stop() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
}

// numInFlight returns the number of requests that were queued and whose reply is
// not yet being written.
func (c *conn) numInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// write sends the replies in the order in which the requests were read.
func (c *conn) write() {
	defer c.f.conns.remove(c)
	defer c.closeGracefully()
	for x := range c.queue {
		r, ok := c.awaitReply(x)
		if !ok {
			c.discardQueued(x)
			return
		}
		last := c.beginReply(x, r)
		err := c.writeReply(x, r, last)
		if r.stream != nil {
			c.endStream()
		}
		close(x.finished)
		c.f.releaseBody(x)
		if err != nil || last {
			return
		}
	}
}

// awaitReply waits for the reply to a request. At the end of a planned stop, a request that
// has none gets the reply that it timed out, so that its caller does not have to guess from
// the end of the connection. It reports false if the caller has disconnected.
func (c *conn) awaitReply(x *exchange) (*reply, bool) {
	select {
	case <-x.done:
		return &x.reply, true
	case <-c.ctx.Done():
		return nil, false
	case <-c.f.ending:
	}
	select {
	case <-x.done:
		return &x.reply, true
	default:
	}
	c.f.log.Info("request answered at the end of the stop", "kind", "stop", "req", x.req.Header.Get(c.f.headers.RequestID))
	return &reply{status: http.StatusGatewayTimeout, reason: reasonTimeout}, true
}

// beginReply removes a request from the count of requests in flight and reports
// whether the connection closes after its reply. During a planned stop, or if
// another entry host may serve the caller better, it closes after the first
// reply with no further request queued; a request that arrives later counts as
// not read.
func (c *conn) beginReply(x *exchange, r *reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	reconnect := r.preferOtherHost && !c.peer || c.f.stopping.Load()
	last := x.closeAfter || r.close || (reconnect && c.inFlight == 0)
	if last {
		c.closing = true
	}
	if r.stream != nil {
		c.inFlight++ // until endStream, as the upstream is still at work
	}
	return last
}

func (c *conn) writeReply(x *exchange, r *reply, last bool) error {
	if err := c.writeBytes(r.encode(x.req, last, c.f.headers.RequestID)); err != nil || r.stream == nil {
		return err
	}
	return c.writeStream(r.stream)
}

func (c *conn) writeBytes(b []byte) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed; the write then fails too
	_, err := c.nc.Write(b)
	return err
}

// discardQueued drops a request and those queued after it without a reply.
func (c *conn) discardQueued(x *exchange) {
	close(x.finished)
	c.f.releaseBody(x)
	for x := range c.queue {
		close(x.finished)
		c.f.releaseBody(x)
	}
}

// closeGracefully closes the connection after its last reply. For up to
// lingerTimeout the reader discards further input, because closing a socket with
// unread bytes resets the connection and can destroy the reply.
func (c *conn) closeGracefully() {
	c.stop()
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the caller may have closed already
	}
	stop := time.AfterFunc(lingerTimeout, func() { _ = c.nc.Close() }) // an error has no consequence: the connection is not used again
	// The reader closes the queue when it ends, at the latest when lingerTimeout
	// closes the connection.
	for x := range c.queue {
		close(x.finished)
		c.f.releaseBody(x)
	}
	stop.Stop()
	_ = c.nc.Close() // an error has no consequence: the connection is not used again
}
