package agateupstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"agategate/internal/agateanswer"
	"agategate/internal/agatebuffer"
)

// maxInlineWriteBytes is the request size up to which the request is written
// before the response is read. The body of a larger one is written concurrently,
// because an upstream may respond before it has read the whole request.
const maxInlineWriteBytes = 16 << 10

// maxResponses limits the responses read for one request: the interim (1xx) ones
// and the final one.
const maxResponses = 16

var (
	errNoLength = errors.New("agateupstream: response has neither Content-Length nor chunked encoding")
	errBodySize = errors.New("agateupstream: response body too large")
)

// exchange is one request and its response on one connection.
type exchange struct {
	ctx    context.Context
	call   *Call
	conn   *conn
	header http.Header
	cfg    *Config
	bodies *bodies
	// writeStart is when the write of the request started.
	writeStart time.Time
	// mayHaveRun is set once a byte of the request was written.
	mayHaveRun bool
	// inBody is set once the response header was read.
	inBody bool
	// unresponsive is set if ReadIdleTimeout or the TCP user timeout expired.
	unresponsive bool
	// writeDone is closed once a concurrent write of the body has ended. It is nil if
	// there is none.
	writeDone chan struct{}
	// writeErr is why the request was not written completely, or nil. writeDone guards
	// it.
	writeErr error
	// id is the id of the request, or "".
	id string
	// unidentified is set if the response has no id although it could be written once
	// more and then be taken for the response to a later request.
	unidentified bool
	// reusable is set if the connection can carry another request.
	reusable bool
}

// roundTrip sends the request and reads the response.
func (x *exchange) roundTrip() Result {
	c := x.conn
	c.deadline = x.call.Deadline.Add(x.call.Grace)
	c.readIdleTimeout = x.call.ReadIdleTimeout
	if x.call.Action {
		c.readIdleTimeout = 0
	}
	c.bytesLeft = x.cfg.MaxHeaderBytes + readBufferBytes
	c.head = agateanswer.Head{}
	if r, done := x.write(); done {
		return r
	}
	resp, err := x.readHead()
	if err != nil {
		return x.fail(err)
	}
	return x.readBody(resp)
}

// write sends the request. If done is true, r is the final result and no
// response is read.
func (x *exchange) write() (r Result, done bool) {
	c := x.conn
	if err := c.tcp.SetWriteDeadline(c.deadline); err != nil {
		return x.fail(err), true
	}
	left := time.Until(x.call.Deadline)
	if left <= 0 {
		x.reusable = true
		return Result{Kind: TimedOut, Err: context.DeadlineExceeded}, true
	}
	head := encodeHead(x.call, x.header, x.cfg.DeadlineHeader, left)
	if x.call.BeforeWrite != nil && !x.call.BeforeWrite() {
		x.reusable = true
		return Result{Kind: NotWritten, Err: ErrWriteRejected}, true
	}
	if !c.beginRequest() {
		return x.fail(net.ErrClosed), true
	}
	x.writeStart = time.Now()
	if int64(len(head))+x.call.Body.Len() > maxInlineWriteBytes {
		return x.writeLong(head)
	}
	n, err := c.tcp.Write(append(head, x.call.Body.Bytes()...))
	x.mayHaveRun = n > 0
	x.writeErr = err
	if err != nil && n == 0 {
		return x.fail(err), true
	}
	// The upstream may have responded even if the write was incomplete.
	return Result{}, false
}

// writeLong writes the request line and header, to know whether any byte was
// sent, and then the body concurrently with reading the response.
func (x *exchange) writeLong(head []byte) (r Result, done bool) {
	tcp := x.conn.tcp
	n, err := tcp.Write(head)
	x.mayHaveRun = n > 0
	if err != nil {
		return x.fail(err), true
	}
	x.writeDone = make(chan struct{})
	go func() {
		defer close(x.writeDone)
		// A failed write does not close the connection, because an early
		// response may be arriving. The reader detects the end of the connection.
		_, x.writeErr = x.call.Body.WriteTo(tcp)
	}()
	return Result{}, false
}

// headTextCopies is how often the text of a head is in memory: in the line that is being
// read, and in the fields.
const headTextCopies = 2

// readHead reads the status line and header of the final response. It charges for them
// while they arrive, and reads no faster than the account has room.
func (x *exchange) readHead() (*http.Response, error) {
	c := x.conn
	arrival := x.call.Charge.ReceiveResponse(c.close)
	charged := int64(0)
	c.chargeHead = func() error {
		n := headTextCopies*c.head.Size() + agatebuffer.FieldBytes*c.head.Fields() - charged
		charged += n
		return arrival.GrowResponse(x.ctx, c.deadline, n)
	}
	resp, err := x.readResponse()
	c.chargeHead = nil
	if err != nil {
		if arrival.GaveWay() {
			err = agatebuffer.ErrFull
		}
		arrival.Drop()
		return nil, err
	}
	arrival.Keep()
	return resp, nil
}

// readResponse reads the head of the final response and skips interim responses.
func (x *exchange) readResponse() (*http.Response, error) {
	req := &http.Request{Method: x.call.Method}
	for range maxResponses {
		resp, err := http.ReadResponse(x.conn.buf, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("agateupstream: upstream switched protocols without a request to do so")
		}
		if resp.StatusCode >= 200 {
			return resp, x.checkRequestID(resp)
		}
	}
	return nil, errors.New("agateupstream: too many interim responses")
}

// checkRequestID returns an error if the response has the id of another request, or is
// a success without an id on a connection whose responses have had one: it may be a
// second copy of an earlier response.
//
// Upstreams may reject a request without naming its id. Such a response is accepted if
// none like it came on the connection before, and ends the use of the connection. The
// same holds for a statement that the request was not run if the upstream names no ids
// at all: a second copy of it would prove something false about the next request.
func (x *exchange) checkRequestID(resp *http.Response) error {
	got := resp.Header.Get(x.cfg.RequestHeader)
	switch {
	case got != "" && x.id != "" && x.id != got:
		return fmt.Errorf("agateupstream: response to request %q instead of %q", got, x.id)
	case got == "" && x.id != "" && x.conn.echoesID && resp.StatusCode < 300:
		return fmt.Errorf("agateupstream: response to %q without the id of its request", x.id)
	case got == "":
		x.unidentified = x.cfg.NotRun(resp.StatusCode, resp.Header) || (x.id != "" && x.conn.echoesID)
	}
	x.conn.echoesID = x.conn.echoesID || got != ""
	return nil
}

// readBody reads the whole body and returns the result.
func (x *exchange) readBody(resp *http.Response) Result {
	x.inBody = true
	x.conn.bytesLeft = math.MaxInt64
	limit := x.cfg.MaxBodyBytes
	closeDelimited := resp.Body != http.NoBody && resp.ContentLength < 0 && !chunked(resp)
	if closeDelimited && !x.cfg.AllowCloseDelimited {
		return x.fail(errNoLength)
	}
	if resp.Body != http.NoBody && resp.ContentLength > limit {
		return x.tooLarge()
	}
	body, err := x.bodies.read(x.ctx, resp.Body, limit, &bodyReader{
		service:   cmp.Or(x.call.Service, x.call.Upstream),
		unbounded: resp.Body != http.NoBody && resp.ContentLength < 0,
		charge:    x.call.Charge,
		deadline:  x.conn.deadline,
		abort:     x.conn.close,
		stream:    x.stream(resp),
	})
	if err == nil {
		err = agateanswer.CheckTrailer(resp.Trailer)
	}
	if err == nil && closeDelimited {
		err = x.writeFailure()
	}
	if err != nil {
		return x.fail(err)
	}
	x.conn.endRequest()
	x.conn.keepAlive = parseKeepAlive(resp.Header)
	x.reusable = !resp.Close && !closeDelimited && !x.unidentified && x.conn.buf.Buffered() == 0 && x.requestWritten()
	return x.result(resp, body)
}

// stream returns the function that gets the parts of the body as they arrive, or nil.
func (x *exchange) stream(resp *http.Response) func(part []byte) {
	if x.call.Stream == nil || resp.Body == http.NoBody || resp.ContentLength < MinStreamBytes || x.cfg.NotRun(resp.StatusCode, resp.Header) {
		return nil
	}
	return x.call.Stream(resp.StatusCode, endToEnd(resp.Header), resp.ContentLength)
}

// requestWritten reports whether the whole request was written.
func (x *exchange) requestWritten() bool {
	if x.writeDone != nil {
		select {
		case <-x.writeDone:
		default:
			return false
		}
	}
	return x.writeErr == nil
}

// writeFailure returns the error with which the connection broke while the request was
// being written, or nil. It ends a write that is in progress. The system reports such an
// error, a reset or a timeout, only once, and later reads return EOF, so that the end of a
// response without a length cannot be told from an error that the write has met.
func (x *exchange) writeFailure() error {
	if x.writeDone != nil {
		_ = x.conn.tcp.SetWriteDeadline(time.Now()) // fails only if the connection is closed; the write then ends too
		<-x.writeDone
	}
	switch {
	case errors.Is(x.writeErr, os.ErrDeadlineExceeded):
		return nil // the write was ended here
	case errors.Is(x.writeErr, syscall.EPIPE):
		return nil // the upstream had ended its response before it reset the connection
	}
	return x.writeErr
}

// waitWritten waits for the concurrent write, because the caller may reuse the
// body once Do returns. If the connection is not reusable, it closes it to
// interrupt the write.
func (x *exchange) waitWritten() {
	if x.writeDone == nil {
		return
	}
	if !x.reusable {
		x.conn.close()
	}
	<-x.writeDone
}

func (x *exchange) result(resp *http.Response, body *agatebuffer.Buffer) Result {
	r := Result{
		Kind:       Answered,
		Status:     resp.StatusCode,
		Header:     endToEnd(resp.Header),
		Body:       body,
		MayHaveRun: true,
		RetryAfter: parseRetryAfter(resp.Header, time.Now()),
	}
	if x.cfg.NotRun(resp.StatusCode, resp.Header) {
		r.Kind = Shed
		r.MayHaveRun = false
		x.conn.refused.add(x.id)
	}
	return r
}

func (x *exchange) tooLarge() Result {
	return Result{Kind: TooLarge, MayHaveRun: x.mayHaveRun, Err: errBodySize}
}

// fail returns the result for an error. The connection is not reusable.
func (x *exchange) fail(err error) Result {
	r := Result{MayHaveRun: x.mayHaveRun, Err: fmt.Errorf("agateupstream: %s %s: %w", x.call.Method, x.call.Path, err)}
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		r.Kind = Canceled
	case x.ctx.Err() != nil:
		r.Kind = TimedOut
	case errors.Is(err, errHeaderSize), errors.Is(err, errBodySize), errors.Is(err, agatebuffer.ErrFull), errors.Is(err, errEndlessBody):
		r.Kind = TooLarge
	case isTimeout(err):
		r.Kind = TimedOut
		x.unresponsive = time.Now().Before(x.conn.deadline)
	case !x.mayHaveRun:
		r.Kind = NotWritten
	case x.inBody:
		r.Kind = Truncated
	default:
		r.Kind = Broken
	}
	return r
}

// brokeMidRequest reports whether the peer ended the connection before the
// response was complete.
func (x *exchange) brokeMidRequest(r Result) bool {
	return x.conn.peerClosed && (r.Kind == Broken || r.Kind == Truncated)
}

func chunked(resp *http.Response) bool {
	n := len(resp.TransferEncoding)
	return n > 0 && resp.TransferEncoding[n-1] == "chunked"
}
