package test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agategate/io/agatedemo"
)

// faultyUpstream answers in ways that no HTTP server produces.
type faultyUpstream struct {
	addr netip.AddrPort

	mu   sync.Mutex
	runs map[string]int // by idempotency key
}

// faultyAnswer handles one connection of an entry host.
type faultyAnswer func(u *faultyUpstream, c net.Conn, br *bufio.Reader)

func startFaultyUpstream(t *testing.T, answer faultyAnswer) *faultyUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() }) // an error does not affect the test
	u := &faultyUpstream{addr: ln.Addr().(*net.TCPAddr).AddrPort(), runs: make(map[string]int)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }() // an error does not affect the test
				answer(u, c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

func (u *faultyUpstream) run(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[r.Header.Get("Idempotency-Key")]++
}

func (u *faultyUpstream) numRuns(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

func wholeAnswer(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAgate-Request: %s\r\nContent-Length: 6\r\n\r\nbought", r.Header.Get("Agate-Request"))
}

// startFaultySystem starts a system with one entry host, whose upstreams are replaced by
// a faulty one when the returned function is called.
func startFaultySystem(t *testing.T, answer faultyAnswer) (*agatedemo.System, *faultyUpstream, func()) {
	t.Helper()
	u := startFaultyUpstream(t, answer)
	var faulty atomic.Bool
	s, err := agatedemo.StartSystem(t.Context(), agatedemo.SystemConfig{
		Controls: 1, Entries: 1, Upstreams: 6,
		UpstreamAddr: func(_ string, upstream netip.AddrPort) netip.AddrPort {
			if faulty.Load() {
				return u.addr
			}
			return upstream
		},
	})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s, u, func() { faulty.Store(true) }
}

// Guards against an action of which the caller is told that it has not run, or that runs
// at a second upstream, because an upstream wrote an earlier refusal once more.
func TestEntryRepeatedRefusal(t *testing.T) {
	const actions = 20
	s, u, replace := startFaultySystem(t, func(u *faultyUpstream, c net.Conn, br *bufio.Reader) {
		const refusal = "HTTP/1.1 503 Service Unavailable\r\nAgate-Shed: before-execution\r\nContent-Length: 0\r\n\r\n"
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, refusal) // the test checks the reply
		next, err := http.ReadRequest(br)
		if err != nil {
			return // the host has closed the connection
		}
		u.run(next)
		_, _ = io.WriteString(c, refusal+wholeAnswer(next)) // the test checks the reply
		_, _ = io.Copy(io.Discard, br)                      // until the host closes the connection
	})
	replace()
	for n := range actions {
		key := fmt.Sprint("key-", n)
		r, err := s.Call(t.Context(), 0, agatedemo.Request{Service: "labels", Method: http.MethodPost, Path: "/labels", Key: key, Body: "parcel"})
		assert.NilError(t, err)
		runs := u.numRuns(key)
		assert.Assert(t, runs <= 1, "%s: %d runs", key, runs)
		assert.Assert(t, runs == 0 || r.Outcome != "not-run", "%s: %d %s after a run", key, r.Status, r.Outcome)
	}
}

// Guards against a success for a response whose head is incomplete: an upstream closes the
// connection after each part of a line of the head.
func TestEntryHaltedHead(t *testing.T) {
	var cut atomic.Int64
	s, _, replace := startFaultySystem(t, func(_ *faultyUpstream, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		head, _, _ := strings.Cut(wholeAnswer(r), "\r\n\r\n")
		lines := strings.SplitAfter(head+"\r\n\r", "\r")
		end := int(cut.Add(1)) % len(lines)
		_, _ = io.WriteString(c, strings.Join(lines[:end+1], "")) // the test checks the reply
	})
	replace()
	for n := range 8 {
		for _, r := range []agatedemo.Request{
			{Service: "quotes", Path: fmt.Sprint("/quotes/", n)},
			{Service: "labels", Method: http.MethodPost, Path: "/labels", Key: fmt.Sprint("key-", n), Body: "parcel"},
		} {
			got, err := s.Call(t.Context(), 0, r)
			assert.NilError(t, err)
			assert.Assert(t, got.Status >= 400, "%s: %d %s", r.Service, got.Status, got.Outcome)
		}
	}
	assert.Assert(t, cut.Load() > 8, "only %d requests reached the upstream", cut.Load())
}

// malformedHeads are the beginnings of responses that no upstream can mean. The first one
// refuses the request, which has run.
var malformedHeads = []string{
	"HTTP/1.1 000 Busy\r\nAgate-Shed: before-execution\r\n",
	"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 999 Trouble\r\n",
	"HTTP/1.1 200 OK\r\nX Note: 1\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
	"HTTP/1.1 200 OK\r\nX-\x01Note: 1\r\n",
}

// Guards against a response with a malformed head that the caller gets, that makes the
// caller wait until the deadline, or that counts as a statement that the request has not
// run. The upstream keeps the connection until the host closes it.
func TestEntryMalformedHead(t *testing.T) {
	for n, head := range malformedHeads {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			var open atomic.Int64
			s, u, replace := startFaultySystem(t, func(u *faultyUpstream, c net.Conn, br *bufio.Reader) {
				open.Add(1)
				defer open.Add(-1)
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				u.run(r)
				_, _ = io.WriteString(c, head+strings.TrimPrefix(wholeAnswer(r), "HTTP/1.1 200 OK\r\n")) // the test checks the reply
				_, _ = io.Copy(io.Discard, br)                                                           // until the host closes the connection
			})
			replace()
			for _, r := range []agatedemo.Request{
				{Service: "quotes", Path: "/quotes/1"},
				{Service: "labels", Method: http.MethodPost, Path: "/labels", Key: "key", Body: "parcel"},
			} {
				got, err := s.Call(t.Context(), 0, r)
				assert.NilError(t, err)
				assert.Assert(t, got.Status >= 400 && got.Outcome != "not-run", "%s: %d %s %q", r.Service, got.Status, got.Outcome, got.Body)
			}
			assert.Equal(t, u.numRuns("key"), 1)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := open.Load(); n > 0 {
					return poll.Continue("%d connections are open", n)
				}
				return poll.Success()
			})
		})
	}
}

// Guards against a response without a length that the caller gets as a complete one,
// although the upstream reset the connection while the request was being written to it.
func TestEntryResetDuringUpload(t *testing.T) {
	const (
		stall           = 20 * time.Millisecond
		readBufferBytes = 4 << 10
	)
	s, _, replace := startFaultySystem(t, func(_ *faultyUpstream, c net.Conn, br *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(readBufferBytes) // without it, fewer sizes block
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAgate-Request: %s\r\n\r\na part", r.Header.Get("Agate-Request"))
		time.Sleep(stall)                 // until the request cannot be written any further
		_ = c.(*net.TCPConn).SetLinger(0) // the close then resets
	})
	replace()
	for n, size := range []int{100, 64 << 10, 256 << 10, 1 << 20} {
		for _, r := range []agatedemo.Request{
			{Service: "quotes", Path: fmt.Sprint("/quotes/", n)},
			{Service: "labels", Method: http.MethodPost, Path: "/labels", Key: fmt.Sprint("key-", n)},
		} {
			r.Body = strings.Repeat("x", size)
			got, err := s.Call(t.Context(), 0, r)
			assert.NilError(t, err)
			assert.Assert(t, got.Status >= 400 && got.Outcome != "not-run", "%s: %d %s %q", r.Service, got.Status, got.Outcome, got.Body)
		}
	}
}

// Guards against requests that come late in a planned stop, are passed on, and are cut off
// without an answer at its end, because the upstream takes longer than the host has.
func TestEntryStopAnswersLateRequests(t *testing.T) {
	const (
		grace    = 3 * time.Second
		interval = 100 * time.Millisecond
	)
	s, _, replace := startFaultySystem(t, func(_ *faultyUpstream, _ net.Conn, br *bufio.Reader) {
		_, _ = io.Copy(io.Discard, br) // until the host closes the connection
	})
	replace()
	hosts, _, err := s.Lookup(t.Context(), "quotes", "127.0.0.1")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), grace)
	defer cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.StopEntry(ctx, 0) // the test checks the replies
	}()
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		for _, r := range []request{
			{service: "quotes", method: http.MethodGet, path: fmt.Sprint("/quotes/", n)},
			{service: "labels", method: http.MethodPost, path: "/labels", key: fmt.Sprint("key-", n), body: "parcel"},
		} {
			r.host = hosts[0].CallerAddr
			wg.Go(func() {
				got := r.do()
				if errors.Is(got.err, syscall.ECONNREFUSED) {
					return // the host takes no more requests
				}
				assert.Check(t, got.err, "%s %d", r.service, n)
				assert.Check(t, got.status != http.StatusOK)
			})
		}
		time.Sleep(interval)
	}
	wg.Wait()
	<-stopped
}
