package agateupstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an abandoned request that reaches its upstream later, because the system
// goes on delivering its bytes after an ordinary close. testdata/abandoned.txt lists how
// requests end.
func TestAbandonedRequest(t *testing.T) {
	runRows(t, "testdata/abandoned.txt", func(t *testing.T, f []string) { testAbandonedRequest(t, f[1], f[2]) })
}

func testAbandonedRequest(t *testing.T, end, want string) {
	const maxBodyBytes = 1000
	responses := map[string]string{
		"large":     "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
		"no-length": "HTTP/1.1 200 OK\r\n\r\n",
		"answer":    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nran",
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	seen := make(chan error, 1)
	s := startUpstream(t, func(w net.Conn, _ *http.Request) bool {
		if end == "cancel" {
			cancel()
		}
		io.WriteString(w, responses[end])
		_, err := w.Read(make([]byte, 1))
		seen <- err
		return false
	})
	call := get(s.addr, "/")
	if end == "deadline" {
		call.Deadline = time.Now().Add(100 * time.Millisecond)
	}
	newPool(t, Config{MaxBodyBytes: maxBodyBytes}).Do(ctx, call)
	err := <-seen
	got := "reset"
	if errors.Is(err, io.EOF) {
		got = "closed"
	} else {
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
	assert.Equal(t, got, want)
}
