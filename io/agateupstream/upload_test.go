package agateupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/internal/agatebuffer"
)

// uploadsPerRow is the number of requests for each row of testdata/uploads.txt: whether the
// write or the read gets a reset that both wait for depends on the scheduler.
const uploadsPerRow = 20

// writeStallTime is how long an upstream does not read until the request is taken for
// blocked.
const writeStallTime = 20 * time.Millisecond

// earlyBody is the body, or the part of it, that arrives before the connection ends.
const earlyBody = "a part of the body"

// stallUserTimeout is the TCP user timeout of requests to an upstream that stalls.
const stallUserTimeout = 100 * time.Millisecond

// Guards against a response without a length that is taken for complete, although its
// connection broke while the request was still being written. testdata/uploads.txt lists
// the requests and how their connections end.
func TestBrokenUpload(t *testing.T) {
	runRows(t, "testdata/uploads.txt", func(t *testing.T, f []string) {
		size, err := strconv.Atoi(f[1])
		assert.NilError(t, err)
		testUploads(t, size, f[2], f[3])
	})
}

func testUploads(t *testing.T, size int, end, want string) {
	addr := startEarlyUpstream(t, end)
	cfg := Config{AllowCloseDelimited: true}
	if end == "stalls" {
		cfg.TCPUserTimeout = stallUserTimeout
	}
	p := newPool(t, cfg)
	for i := range uploadsPerRow {
		call := get(addr, "/")
		call.Method, call.Action, call.Body = http.MethodPost, true, agatebuffer.Of(make([]byte, size))
		r := p.Do(t.Context(), call)
		assert.Equal(t, r.Kind.String(), want, "request %d: %d %q, %v", i, r.Status, r.Body.String(), r.Err)
		assert.Assert(t, r.MayHaveRun)
		assert.Assert(t, r.Kind != Answered || r.Body.String() == earlyBody)
		assert.Assert(t, r.Elapsed < 5*time.Second, "the attempt must end with the connection")
	}
}

// startEarlyUpstream starts an upstream that answers each request before it has read the
// body, and ends the connection as testdata/uploads.txt describes.
func startEarlyUpstream(t *testing.T, end string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerEarly(c.(*net.TCPConn), end)
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func answerEarly(c *net.TCPConn, end string) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+earlyBody)
	switch end {
	case "blocked":
		time.Sleep(writeStallTime)
		c.SetLinger(0)
	case "at-once":
		c.SetLinger(0)
	case "ends":
		c.CloseWrite()
		io.Copy(io.Discard, c)
	case "ends-resets":
		c.CloseWrite()
		time.Sleep(writeStallTime)
		c.SetLinger(0)
	case "stalls":
		time.Sleep(10 * stallUserTimeout)
	}
}
