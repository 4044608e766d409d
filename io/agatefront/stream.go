package agatefront

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"agategate/core/agateplan"
	"agategate/internal/agatebuffer"
	"agategate/io/agateupstream"
)

// bodyStream passes the parts of a response body on to the caller's connection while the
// upstream still sends others. What the caller has not read yet stays charged to the
// request, and no more is read from the upstream than the account has room for. It is
// safe for concurrent use.
type bodyStream struct {
	mu      sync.Mutex
	parts   [][]byte
	ended   bool
	whole   bool          // the whole body has been pushed
	changed chan struct{} // has an item after a push or the end
}

func newBodyStream() *bodyStream { return &bodyStream{changed: make(chan struct{}, 1)} }

// push adds a part, which must not be modified afterwards.
func (s *bodyStream) push(part []byte) {
	s.mu.Lock()
	s.parts = append(s.parts, part)
	s.mu.Unlock()
	s.notify()
}

// end states that no part follows, and whether the body is whole.
func (s *bodyStream) end(whole bool) {
	s.mu.Lock()
	s.ended, s.whole = true, whole
	s.mu.Unlock()
	s.notify()
}

func (s *bodyStream) notify() {
	select {
	case s.changed <- struct{}{}:
	default: // the writer has not seen the last change yet
	}
}

// take returns the parts that were pushed since the last call, and whether they were the
// last ones.
func (s *bodyStream) take() (parts [][]byte, ended, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts, s.parts = s.parts, nil
	return parts, s.ended, s.whole
}

// streams reports whether the response to the request may be passed on while it arrives.
// Once it has begun, the request cannot be attempted again, so only large responses are.
func (p *proxyRequest) streams() bool {
	return p.route.Kind == agateplan.Download && !p.c.peer
}

// stream makes the response of this attempt the reply to the caller, unless another
// attempt has answered, and returns the function that passes its body on.
func (a *attempt) stream(status int, h http.Header, size int64) func(part []byte) {
	p := a.p
	stamp := p.f.headers.Stamp
	if status >= http.StatusMultipleChoices || stamp != "" && h.Get(stamp) == "" || !p.answered.CompareAndSwap(false, true) {
		return nil
	}
	if h := a.hedge; h != nil {
		h.cancelOther(a)
	}
	s := newBodyStream()
	p.streamedBy.Store(a)
	p.x.reply = reply{status: status, header: h, stream: s, size: size}
	close(p.x.done)
	return s.push
}

// endStream ends the stream of the request's response, if there is one, with the result
// of the attempt that sends it. It returns the reply to log.
func (p *proxyRequest) endStream(res *agateupstream.Result) (r reply, streamed bool) {
	if p.streamedBy.Load() == nil {
		return reply{}, false
	}
	p.attempts++
	p.mayHaveRun = true
	p.lastResult = res.Kind.String()
	whole := res.Kind == agateupstream.Answered
	p.x.reply.stream.end(whole)
	if !whole {
		return reply{status: http.StatusBadGateway, reason: "answer cut off"}, true
	}
	return p.x.reply, true
}

var errStreamCut = errors.New("agatefront: the upstream's response ended before its end")

// writeStream writes the parts of a body as they arrive, and releases them from charge.
// After an error the connection must be closed, so that the response does not look
// complete.
func (c *conn) writeStream(s *bodyStream, charge *agatebuffer.Charge) error {
	for {
		parts, ended, whole := s.take()
		for _, part := range parts {
			_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed; the write then fails too
			if _, err := c.nc.Write(part); err != nil {
				return err
			}
			charge.Shrink(int64(len(part)))
		}
		switch {
		case ended && whole:
			return nil
		case ended:
			return errStreamCut
		}
		select {
		case <-s.changed:
		case <-c.ctx.Done():
			return c.ctx.Err()
		}
	}
}
