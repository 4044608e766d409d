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
	// pipelineMost is the number of requests of one connection that are read
	// before the first of them is answered.
	pipelineMost = 16
	// defaultHeader and defaultBody are the limits without a plan, in bytes.
	defaultHeader = 64 << 10
	defaultBody   = 1 << 20
	// bodyMost bounds one body whatever the plan allows, since bodies are held
	// in memory.
	bodyMost = 16 << 20
	// defaultHeaderTime and defaultIdle are the times without a plan.
	defaultHeaderTime = 5 * time.Second
	defaultIdle       = 30 * time.Second
	// bodyTime bounds the time to send a body.
	bodyTime = 10 * time.Second
	// writeTime bounds the time in which a caller takes an answer.
	writeTime = 10 * time.Second
	// lingerTime is how long a connection that this side ends is read on, so
	// that its last answer is not lost to a reset.
	lingerTime = 500 * time.Millisecond
	// acceptPause is the pause after a failed accept, as when descriptors run
	// out.
	acceptPause = 20 * time.Millisecond
)

// accept takes callers' connections.
func (f *Front) accept() {
	for {
		nc, err := f.ln.Accept()
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			f.log.Warn("connection not accepted", "kind", "accept", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		if f.conns.len() >= f.cfg.Connections {
			f.counts.turned("connections")
			_ = nc.Close()
			continue
		}
		c := newConn(f, nc)
		f.conns.add(c)
		f.duties.Go(c.read)
		f.duties.Go(c.write)
	}
}

// conn is one connection of a caller. Requests are read by one goroutine and
// answered in order by another.
type conn struct {
	f   *Front
	nc  net.Conn
	br  *bufio.Reader
	lim *limited
	ctx context.Context
	// cancel ends the work for the caller, who has left.
	cancel context.CancelFunc

	queue chan *exchange

	mu sync.Mutex
	// waiting is the number of requests that were read and not answered.
	waiting int
	// closing means that no further request is taken.
	closing bool
}

// exchange is one request with its answer to be.
type exchange struct {
	req  *http.Request
	body []byte
	at   time.Time
	// before is closed when the request before it on its connection is
	// answered.
	before <-chan struct{}
	// done is closed when reply is set.
	done  chan struct{}
	reply reply
	// answered is closed when the reply was written.
	answered chan struct{}
	// last means that the caller wants the connection closed behind it.
	last bool
}

// limited bounds what is read from a connection.
type limited struct {
	r    io.Reader
	left int64
}

var errTooMuch = errors.New("agatefront: more bytes than allowed")

// Read reads up to the bound.
func (l *limited) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooMuch
	}
	if int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.r.Read(b)
	l.left -= int64(n)
	return n, err
}

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 4 << 10

func newConn(f *Front, nc net.Conn) *conn {
	c := &conn{f: f, nc: nc, queue: make(chan *exchange, pipelineMost)}
	c.ctx, c.cancel = context.WithCancel(f.ctx)
	c.lim = &limited{r: nc}
	c.br = bufio.NewReaderSize(c.lim, readBuffer)
	return c
}

// limits returns the plan's limits with the host's own where it has none.
func (f *Front) limits() agateplan.Limits {
	l := agateplan.Limits{}
	if p := f.plan.Load(); p != nil {
		l = p.Plan.Limits
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeader
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultBody
	}
	l.MaxBodyBytes = min(l.MaxBodyBytes, bodyMost)
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTime
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	return l
}

// read takes requests until the caller or this side ends the connection.
func (c *conn) read() {
	defer close(c.queue)
	before := make(chan struct{})
	close(before)
	for {
		x, status := c.next()
		if x == nil {
			if status != 0 {
				c.refuse(status, before)
			}
			c.leave()
			return
		}
		x.before = before
		before = x.answered
		if !c.take(x) {
			c.f.releaseBody(x)
			c.watch()
			return
		}
		c.f.duties.Go(func() { c.f.run(c, x) })
		if x.last {
			c.watch()
			return
		}
	}
}

// take queues a request, unless the connection is being closed: then the
// request counts as not read.
func (c *conn) take(x *exchange) bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.waiting++
	c.mu.Unlock()
	select {
	case c.queue <- x:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// next reads one request. Without one, status tells what to answer, if
// anything.
func (c *conn) next() (x *exchange, status int) {
	l := c.f.limits()
	if !c.awaitByte(l.IdleTimeout) {
		return nil, 0
	}
	c.lim.left = int64(l.MaxHeaderBytes) + readBuffer
	_ = c.nc.SetReadDeadline(time.Now().Add(l.HeaderTimeout)) // fails only on a closed connection, as the read does
	req, err := http.ReadRequest(c.br)
	switch {
	case errors.Is(err, errTooMuch):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		return nil, http.StatusRequestTimeout
	case err != nil && c.gone(err):
		return nil, 0
	case err != nil:
		return nil, http.StatusBadRequest
	}
	x = &exchange{
		req:      req,
		at:       time.Now(),
		done:     make(chan struct{}),
		answered: make(chan struct{}),
		last:     req.Close || !req.ProtoAtLeast(1, 1),
	}
	if status := c.readBody(x, l.MaxBodyBytes); status != 0 {
		return nil, status
	}
	if c.ctx.Err() != nil {
		return nil, 0
	}
	return x, 0
}

// awaitByte waits for the first byte of a request. The connection counts as
// idle only while no request is in progress.
func (c *conn) awaitByte(idle time.Duration) bool {
	for {
		c.lim.left = readBuffer
		if !c.setIdle(idle) {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if !isTimeout(err) || c.pending() == 0 {
			return false
		}
	}
}

// setIdle sets the time to wait for a request, unless the connection is being
// closed.
func (c *conn) setIdle(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(idle)) // fails only on a closed connection, as the read does
	return true
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// gone reports whether an error says that the caller left.
func (c *conn) gone(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// readBody reads the whole body. It returns the status of a refusal, or 0.
func (c *conn) readBody(x *exchange, most int) int {
	req := x.req
	if req.Body == nil || req.Body == http.NoBody {
		return 0
	}
	if req.ContentLength > int64(most) {
		return http.StatusRequestEntityTooLarge
	}
	if req.Header.Get("Expect") == "100-continue" && c.pending() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0
		}
	}
	c.lim.left = int64(most) + int64(defaultHeader)
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTime)) // fails only on a closed connection, as the read does
	body, err := io.ReadAll(io.LimitReader(req.Body, int64(most)+1))
	switch {
	case len(body) > most:
		return http.StatusRequestEntityTooLarge
	case isTimeout(err):
		return http.StatusRequestTimeout
	case err != nil && c.gone(err):
		c.cancel()
		return 0
	case err != nil:
		return http.StatusBadRequest
	}
	if c.f.bodies.Add(int64(len(body))) > c.f.cfg.BodyMemory {
		c.f.bodies.Add(-int64(len(body)))
		return http.StatusServiceUnavailable
	}
	x.body = body
	return 0
}

func (f *Front) releaseBody(x *exchange) { f.bodies.Add(-int64(len(x.body))) }

// refuse answers a request that cannot be read, as the connection's last.
func (c *conn) refuse(status int, before <-chan struct{}) {
	x := &exchange{
		req:      &http.Request{Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1},
		at:       time.Now(),
		before:   before,
		done:     make(chan struct{}),
		answered: make(chan struct{}),
		last:     true,
	}
	x.reply = reply{status: status, reason: "unreadable"}
	close(x.done)
	c.f.counts.turned("unreadable")
	c.f.log.Warn("request not read", "kind", "unreadable", "status", status, "caller", c.nc.RemoteAddr().String())
	if c.take(x) {
		c.watch()
	}
}

// watch waits until the caller leaves, behind the last request.
func (c *conn) watch() {
	for {
		c.lim.left = readBuffer
		_ = c.nc.SetReadDeadline(time.Now().Add(defaultIdle)) // fails only on a closed connection, as the read does
		if _, err := c.br.Discard(1); err == nil {
			continue
		} else if isTimeout(err) && c.pending() > 0 {
			continue
		}
		c.leave()
		return
	}
}

// leave ends the work for a caller that has closed the connection.
func (c *conn) leave() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
}

// pending is the number of requests that were read and not answered.
func (c *conn) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// write answers requests in the order in which they were read.
func (c *conn) write() {
	defer c.f.conns.remove(c)
	defer c.end()
	for x := range c.queue {
		select {
		case <-x.done:
		case <-c.ctx.Done():
			c.forget(x)
			return
		}
		last := c.settle(x)
		err := c.send(x, last)
		close(x.answered)
		c.f.releaseBody(x)
		if err != nil || last {
			return
		}
	}
}

// settle takes a request off the count and decides whether its answer is the
// connection's last. During a planned stop, and when the caller is better
// served elsewhere, that is the first answer with no request behind it; a
// request that arrives later counts as not read.
func (c *conn) settle(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	moves := x.reply.elsewhere || c.f.stopping.Load()
	last := x.last || x.reply.close || (moves && c.waiting == 0)
	if last {
		c.closing = true
	}
	return last
}

func (c *conn) send(x *exchange, last bool) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTime)) // fails only on a closed connection, as the write does
	_, err := c.nc.Write(x.reply.encode(x.req, last, c.f.words.Request))
	return err
}

// forget gives back what a request holds that is not answered any more.
func (c *conn) forget(x *exchange) {
	close(x.answered)
	c.f.releaseBody(x)
	for x := range c.queue {
		close(x.answered)
		c.f.releaseBody(x)
	}
}

// end closes the connection behind its last answer. For a moment the reader
// goes on to drop what the caller sends, because closing with unread bytes
// would reset the connection and could destroy the answer.
func (c *conn) end() {
	c.leave()
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the caller may have closed already
	}
	stop := time.AfterFunc(lingerTime, func() { _ = c.nc.Close() }) // nothing depends on it
	for x := range c.queue {
		close(x.answered)
		c.f.releaseBody(x)
	}
	stop.Stop()
	_ = c.nc.Close() // nothing depends on it
}
