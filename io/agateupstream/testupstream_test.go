package agateupstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testUpstream is an upstream whose handler writes raw bytes.
type testUpstream struct {
	ln    net.Listener
	addr  netip.AddrPort
	runs  atomic.Int64
	conns atomic.Int64
	// handle returns false to close the connection.
	handle func(w net.Conn, r *http.Request) bool

	mu   sync.Mutex
	open map[net.Conn]bool
}

func startUpstream(t testing.TB, handle func(w net.Conn, r *http.Request) bool) *testUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testUpstream{ln: ln, handle: handle, open: map[net.Conn]bool{}}
	s.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	go s.accept()
	t.Cleanup(func() { ln.Close(); s.kill() })
	return s
}

func (s *testUpstream) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		s.mu.Lock()
		s.open[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *testUpstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Header.Set("Test-Body", string(body[:min(len(body), 64)]))
		s.runs.Add(1)
		if !s.handle(c, r) {
			return
		}
	}
}

func (s *testUpstream) numOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// kill closes all connections, as the end of the process would.
func (s *testUpstream) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.Close()
	}
}

// reset closes all connections with a TCP reset.
func (s *testUpstream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// relay forwards TCP connections. freeze stops forwarding on the existing ones
// without closing them.
type relay struct {
	ln     net.Listener
	addr   netip.AddrPort
	mu     sync.Mutex
	frozen chan struct{}
}

func startRelay(t *testing.T, to netip.AddrPort) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{ln: ln, addr: ln.Addr().(*net.TCPAddr).AddrPort(), frozen: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			frozen := r.frozen
			r.mu.Unlock()
			up, err := net.Dial("tcp", to.String())
			if err != nil {
				c.Close()
				continue
			}
			go forward(c, up, frozen)
			go forward(up, c, frozen)
		}
	}()
	t.Cleanup(func() { ln.Close(); r.freeze() })
	return r
}

func forward(from, to net.Conn, frozen <-chan struct{}) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		select {
		case <-frozen:
			discard(from)
			return
		default:
		}
		if err != nil {
			to.Close()
			return
		}
		to.Write(b[:n])
	}
}

// discard reads and drops further input, so that TCP acknowledges it.
func discard(from net.Conn) { io.Copy(io.Discard, from) }

func (r *relay) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.frozen)
	r.frozen = make(chan struct{})
}

// echo responds with the request's path.
func echo(w net.Conn, r *http.Request) bool {
	return respond(w, r.URL.Path)
}

func respond(w net.Conn, body string) bool {
	resp := http.Response{
		StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
	return resp.Write(w) == nil
}

func newPool(t *testing.T, cfg Config) *Pool {
	t.Helper()
	p := New(cfg)
	t.Cleanup(p.Close)
	return p
}

func get(s netip.AddrPort, path string) Call {
	return Call{Upstream: "u", Address: s, Method: "GET", Path: path, Deadline: time.Now().Add(10 * time.Second)}
}

// await polls until a condition holds, and fails the test after 10 s.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	limit := time.Now().Add(10 * time.Second)
	for !ok() {
		if time.Now().After(limit) {
			t.Fatalf("%s did not happen", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// runRows runs a parallel subtest for each row of a file. Columns are separated by
// spaces, the first one is the name; rows that begin with "#" are comments.
func runRows(t *testing.T, file string, run func(t *testing.T, row []string)) {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		row := strings.Fields(line)
		if len(row) == 0 || row[0] == "#" {
			continue
		}
		t.Run(row[0], func(t *testing.T) { t.Parallel(); run(t, row) })
	}
}
