package agatefront

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"agategate/internal/agatebuffer"
)

const (
	// maxPipelined is the capacity of the queue of unanswered requests of one
	// connection.
	maxPipelined = 16
	// Size limits that apply if the plan sets none.
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 1 << 20
	// Timeouts that apply if the plan sets none.
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
	// writeTimeout limits the time in which a caller receives a response.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long the host reads on from a connection that it closes,
	// so that a TCP reset does not destroy the last response.
	lingerTimeout = 500 * time.Millisecond
	// maxJoinedBytes is the size up to which a body is written together with its head.
	maxJoinedBytes = 16 << 10
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
		if f.conns.len() >= f.cfg.MaxCallerConns && !f.conns.displace() {
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
	// holder is charged for what the connection's requests buffer.
	holder *agatebuffer.Holder
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
	// writing is set while a reply is written, and quietSince is when the last one was.
	writing    bool
	quietSince time.Time
	// closing is set when no further request is accepted.
	closing bool
}

const readBufferBytes = 4 << 10

func newConn(f *Front, nc net.Conn) *conn {
	c := &conn{f: f, nc: nc, holder: f.account.Open(), quietSince: time.Now(), queue: make(chan *exchange, maxPipelined)}
	c.ctx, c.cancel = context.WithCancel(f.ctx)
	c.limit = &limitedReader{r: nc}
	c.br = bufio.NewReaderSize(c.limit, readBufferBytes)
	return c
}

// read reads and starts requests until the caller or the host closes the
// connection.
func (c *conn) read() {
	defer close(c.queue)
	previous := make(chan struct{})
	close(previous)
	for {
		x, refusal := c.readRequest()
		if x == nil {
			if refusal != nil {
				c.refuse(refusal, previous)
			}
			c.stop()
			return
		}
		x.previous = previous
		previous = x.finished
		x.users.Add(1) // the processing below
		if !c.enqueue(x) {
			x.release()
			x.release()
			c.awaitClose()
			return
		}
		c.f.wg.Go(func() {
			defer x.release()
			c.f.handle(c, x)
		})
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

// awaitClose discards input after the last request until the caller closes the
// connection, or until it was idle for defaultIdleTimeout with no request in
// flight. It then stops the connection.
func (c *conn) awaitClose() {
	for {
		c.limit.left = readBufferBytes
		_ = c.nc.SetReadDeadline(time.Now().Add(defaultIdleTimeout)) // fails only if the connection is closed; the read then fails too
		if _, err := c.br.Discard(max(1, c.br.Buffered())); err == nil {
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
		c.endReply(r)
		close(x.finished)
		x.release()
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
	c.writing = true
	reconnect := r.preferOtherHost && !c.peer || c.f.stopping.Load()
	last := x.closeAfter || r.close || (reconnect && c.inFlight == 0)
	if last {
		c.closing = true
	}
	if r.stream != nil {
		c.inFlight++ // until endReply, as the upstream is still at work
	}
	return last
}

// endReply is called when a reply has been written, or cannot be.
func (c *conn) endReply(r *reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.stream != nil {
		c.inFlight--
	}
	c.writing = false
	c.quietSince = time.Now()
}

// closeQuiet closes the connection if it has no request in progress: what has been read of
// the next one is not processed. It reports whether it did.
func (c *conn) closeQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.quiet() {
		return false
	}
	c.closing = true
	_ = c.nc.Close() // an error has no consequence: the connection is not used again
	return true
}

// quiet reports whether the connection has no request in progress. c.mu must be held.
func (c *conn) quiet() bool { return c.inFlight == 0 && !c.writing && !c.closing }

func (c *conn) writeReply(x *exchange, r *reply, last bool) error {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed; the write then fails too
	head, body := r.encode(x.req, last, c.f.headers.RequestID)
	if body.Len() <= maxJoinedBytes {
		head = append(head, body.Bytes()...)
		body = nil
	}
	if _, err := c.nc.Write(head); err != nil {
		return err
	}
	if r.stream != nil {
		return c.writeStream(r.stream, x.charge)
	}
	_, err := body.WriteTo(c.nc)
	return err
}

// discardQueued drops a request and those queued after it without a reply.
func (c *conn) discardQueued(x *exchange) {
	close(x.finished)
	x.release()
	for x := range c.queue {
		close(x.finished)
		x.release()
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
		x.release()
	}
	stop.Stop()
	_ = c.nc.Close() // an error has no consequence: the connection is not used again
}
