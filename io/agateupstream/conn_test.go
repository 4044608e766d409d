package agateupstream

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against requests that wait on idle connections that are dead without
// being closed, while new connections work.
func TestUnresponsiveClosesIdle(t *testing.T) {
	s := startUpstream(t, echo)
	l := startRelay(t, s.addr)
	p := newPool(t, Config{})
	fillIdle(t, p, l.addr, 4)
	l.freeze()
	call := get(l.addr, "/a")
	call.ReadIdleTimeout = 30 * time.Millisecond
	r := p.Do(t.Context(), call)
	assert.Equal(t, r.Kind, TimedOut)
	assert.Assert(t, r.MayHaveRun && !r.UpstreamDied)
	open, _ := p.Usage("u")
	assert.Equal(t, open, 0)
	assert.Equal(t, p.Do(t.Context(), get(l.addr, "/b")).Body.String(), "/b")
}

// fillIdle opens n connections and leaves them idle.
func fillIdle(t *testing.T, p *Pool, addr netip.AddrPort, n int) {
	t.Helper()
	var wg, opened sync.WaitGroup
	opened.Add(n)
	for range n {
		wg.Go(func() {
			call := get(addr, "/fill")
			call.BeforeWrite = func() bool { opened.Done(); opened.Wait(); return true }
			r := p.Do(t.Context(), call)
			if r.Kind != Answered {
				t.Error(r.Kind, r.Err)
			}
		})
	}
	wg.Wait()
	open, idle := p.Usage("u")
	assert.Equal(t, [2]int{open, idle}, [2]int{n, n})
}

// Guards against closing connections that were active after the request that
// timed out was written, and against keeping those that were not.
func TestUnresponsiveKeepsActive(t *testing.T) {
	hanging := make(chan struct{})
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		if r.URL.Path == "/hang" {
			close(hanging)
			w.Read(make([]byte, 1))
			return false
		}
		return echo(w, r)
	})
	p := newPool(t, Config{})
	fillIdle(t, p, s.addr, 3)
	done := make(chan Result)
	go func() {
		call := get(s.addr, "/hang")
		call.ReadIdleTimeout = time.Second
		done <- p.Do(t.Context(), call)
	}()
	<-hanging
	assert.Equal(t, p.Do(t.Context(), get(s.addr, "/")).Kind, Answered)
	assert.Equal(t, (<-done).Kind, TimedOut)
	open, idle := p.Usage("u")
	assert.Equal(t, [2]int{open, idle}, [2]int{1, 1})
}

// Guards against connections without TCP keep-alive and TCP_USER_TIMEOUT.
func TestSocketOptions(t *testing.T) {
	s := startUpstream(t, echo)
	p := newPool(t, Config{TCPUserTimeout: 1234 * time.Millisecond})
	p.Do(t.Context(), get(s.addr, "/"))
	rc, err := p.upstream("u").idle[0].tcp.SyscallConn()
	assert.NilError(t, err)
	for option, want := range map[int]int{
		unix.TCP_USER_TIMEOUT: 1234, unix.TCP_KEEPIDLE: 1, unix.TCP_KEEPINTVL: 1, unix.TCP_KEEPCNT: 3,
	} {
		rc.Control(func(fd uintptr) {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		})
	}
}
