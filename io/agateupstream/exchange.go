package agateupstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"
)

// inlineWrite is the request size in bytes up to which the request is written
// before the answer is read. A longer one is written concurrently, because an
// upstream may answer before it has read everything.
const inlineWrite = 16 << 10

// maxInterim is how many 1xx answers may precede the final one.
const maxInterim = 16

var (
	errNoLength = errors.New("agateupstream: answer has neither a length nor chunks")
	errBodySize = errors.New("agateupstream: body of the answer is too large")
)

// exchange is one request and its answer on one connection.
type exchange struct {
	ctx    context.Context
	call   *Call
	conn   *conn
	header http.Header
	limits *Config
	// wrote is when the write started.
	wrote time.Time
	// started is set once a byte may have been written.
	started bool
	inBody  bool
	// silent is set if the peer showed no life for Probe or the user timeout.
	silent bool
	// written is closed once a concurrent write of the body has ended; sent is
	// then set if all of it was written.
	written chan struct{}
	sent    bool
	// reusable is set if the connection can carry another request.
	reusable bool
}

func (x *exchange) run() Reply {
	c := x.conn
	c.until = x.call.Deadline.Add(x.call.Grace)
	c.probe = x.call.Probe
	if x.call.Action {
		c.probe = 0
	}
	c.budget = x.limits.HeaderLimit + readBuffer
	if r, done := x.write(); done {
		return r
	}
	resp, err := x.readHead()
	if err != nil {
		return x.fail(err)
	}
	return x.readBody(resp)
}

// write sends the request. It is done if the reply is final already.
func (x *exchange) write() (r Reply, done bool) {
	c := x.conn
	if err := c.tcp.SetWriteDeadline(c.until); err != nil {
		return x.fail(err), true
	}
	left := time.Until(x.call.Deadline)
	if left <= 0 {
		x.reusable = true
		return Reply{Kind: TimedOut, Err: context.DeadlineExceeded}, true
	}
	head := encodeHead(x.call, x.header, x.limits.DeadlineHeader, left)
	if x.call.BeforeWrite != nil && !x.call.BeforeWrite() {
		x.reusable = true
		return Reply{Kind: NotWritten, Err: ErrWithdrawn}, true
	}
	x.wrote = time.Now()
	if len(head)+len(x.call.Body) > inlineWrite {
		return x.writeLong(head)
	}
	n, err := c.tcp.Write(append(head, x.call.Body...))
	x.started = n > 0
	if err != nil && n == 0 {
		return x.fail(err), true
	}
	// After a partial write the answer may still be there to be read.
	return Reply{}, false
}

// writeLong writes the head, so that it is known whether the request started,
// and then the body concurrently with reading.
func (x *exchange) writeLong(head []byte) (r Reply, done bool) {
	tcp := x.conn.tcp
	n, err := tcp.Write(head)
	x.started = n > 0
	if err != nil {
		return x.fail(err), true
	}
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		// The reader sees how the connection ended; a failed write closes
		// nothing by itself, since an early answer may be on its way.
		_, err := tcp.Write(x.call.Body)
		x.sent = err == nil
	}()
	return Reply{}, false
}

// readHead reads up to the header of the final answer.
func (x *exchange) readHead() (*http.Response, error) {
	req := &http.Request{Method: x.call.Method}
	for range maxInterim {
		resp, err := http.ReadResponse(x.conn.buf, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("agateupstream: upstream switched protocols unasked")
		}
		if resp.StatusCode >= 200 {
			return resp, x.own(resp)
		}
	}
	return nil, errors.New("agateupstream: too many interim answers")
}

// own checks that an answer that names a request names this one.
func (x *exchange) own(resp *http.Response) error {
	sent := x.header.Get(x.limits.RequestHeader)
	got := resp.Header.Get(x.limits.RequestHeader)
	if sent != "" && got != "" && sent != got {
		return fmt.Errorf("agateupstream: answer to request %q instead of %q", got, sent)
	}
	return nil
}

// readBody reads the whole body before the answer counts.
func (x *exchange) readBody(resp *http.Response) Reply {
	x.inBody = true
	x.conn.budget = math.MaxInt64
	limit := x.limits.BodyLimit
	unframed := resp.Body != http.NoBody && resp.ContentLength < 0 && !chunked(resp)
	if unframed && !x.limits.Unframed {
		return x.fail(errNoLength)
	}
	if resp.Body != http.NoBody && resp.ContentLength > limit {
		return x.tooLarge()
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if int64(len(body)) > limit {
		return x.tooLarge()
	}
	if err != nil {
		return x.fail(err)
	}
	x.conn.keep = keepAlive(resp.Header)
	x.reusable = !resp.Close && !unframed && x.conn.buf.Buffered() == 0 && x.allSent()
	return x.answer(resp, body)
}

// allSent reports whether the whole request was written.
func (x *exchange) allSent() bool {
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return x.sent
	default:
		return false
	}
}

// join waits for the concurrent write, because the body belongs to the caller
// again once Do returns. It closes the connection if that takes a close.
func (x *exchange) join() {
	if x.written == nil {
		return
	}
	if !x.reusable {
		x.conn.close()
	}
	<-x.written
}

func (x *exchange) answer(resp *http.Response, body []byte) Reply {
	r := Reply{
		Kind:       Answered,
		Status:     resp.StatusCode,
		Header:     endToEnd(resp.Header),
		Body:       body,
		Started:    true,
		RetryAfter: retryAfter(resp.Header, time.Now()),
	}
	if x.limits.NotRun(resp.StatusCode, resp.Header) {
		r.Kind = Shed
		r.Started = false
	}
	return r
}

func (x *exchange) tooLarge() Reply {
	return Reply{Kind: TooLarge, Started: x.started, Err: errBodySize}
}

// fail turns an error into a reply. The connection is not reusable.
func (x *exchange) fail(err error) Reply {
	r := Reply{Started: x.started, Err: fmt.Errorf("agateupstream: %s %s: %w", x.call.Method, x.call.Path, err)}
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		r.Kind = Cancelled
	case x.ctx.Err() != nil:
		r.Kind = TimedOut
	case errors.Is(err, errHeaderSize):
		r.Kind = TooLarge
	case isTimeout(err):
		r.Kind = TimedOut
		x.silent = time.Now().Before(x.conn.until)
	case !x.started:
		r.Kind = NotWritten
	case x.inBody:
		r.Kind = Truncated
	default:
		r.Kind = Broken
	}
	return r
}

// broke reports whether the peer ended the connection in mid-request.
func (x *exchange) broke(r Reply) bool {
	return x.conn.ended && (r.Kind == Broken || r.Kind == Truncated)
}

func chunked(resp *http.Response) bool {
	n := len(resp.TransferEncoding)
	return n > 0 && resp.TransferEncoding[n-1] == "chunked"
}
