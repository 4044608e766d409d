package agateupstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/internal/agatebuffer"
)

// endlessCase is a response that begins with prefix and goes on with unit until its
// reader closes the connection.
type endlessCase struct {
	name, prefix, unit string
	kind               string
}

func readEndlessCases(t *testing.T) []endlessCase {
	t.Helper()
	text, err := os.ReadFile("testdata/endless.txt")
	assert.NilError(t, err)
	var out []endlessCase
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Split(strings.TrimSpace(line), "|")
		assert.Equal(t, len(f), 4, line)
		c := endlessCase{name: strings.TrimSpace(f[0]), kind: strings.TrimSpace(f[3])}
		for i, to := range []*string{&c.prefix, &c.unit} {
			*to, err = strconv.Unquote(strings.TrimSpace(f[i+1]))
			assert.NilError(t, err, line)
		}
		out = append(out, c)
	}
	return out
}

// Guards against bytes without end from an upstream, which would fill the memory and the
// link of the host until the deadline. Each call must end long before it, and the
// upstream must see its connection closed.
func TestEndlessBytes(t *testing.T) {
	for _, c := range readEndlessCases(t) {
		t.Run(c.name, func(t *testing.T) {
			written := make(chan int64, 1)
			s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
				if r.URL.Path == "/normal" {
					return echo(w, r)
				}
				written <- writeEndless(w, c)
				return false
			})
			p := newPool(t, Config{AllowCloseDelimited: true})
			for range minCompleteBodies {
				assert.Equal(t, p.Do(t.Context(), get(s.addr, "/normal")).Kind, Answered)
			}
			// One body of the service may exceed the limit, so it is taken first.
			trial := &bodyReader{service: "u"}
			p.bodies.mu.Lock()
			p.bodies.services["u"].exceeding = trial
			p.bodies.mu.Unlock()
			call := get(s.addr, "/endless")
			call.Deadline = time.Now().Add(time.Minute)
			start := time.Now()
			r := p.Do(t.Context(), call)
			assert.Equal(t, r.Kind.String(), c.kind)
			assert.Assert(t, time.Since(start) < 30*time.Second)
			n := <-written
			// What the kernel buffers comes on top of what the pool reads.
			assert.Assert(t, n < DefaultMaxBodyBytes, "%d bytes", n)
			open, _ := p.Usage("u")
			assert.Equal(t, open, 0)
		})
	}
}

// writeEndless writes a response without end and returns the number of bytes that were
// taken.
func writeEndless(w net.Conn, c endlessCase) int64 {
	b := bufio.NewWriterSize(w, 32<<10)
	n := int64(0)
	if _, err := b.WriteString(c.prefix); err != nil {
		return n
	}
	for {
		k, err := b.WriteString(c.unit)
		n += int64(k)
		if err != nil {
			return n
		}
	}
}

// Guards against the loss of large bodies of a service whose others were small: one at a
// time may be larger without a declared length, and all with one.
func TestLargeBodies(t *testing.T) {
	const size = 1 << 20
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		switch r.URL.Path {
		case "/length":
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
		case "/chunked":
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
		default:
			return echo(w, r)
		}
		return true
	})
	p := newPool(t, Config{})
	for range minCompleteBodies {
		assert.Equal(t, p.Do(t.Context(), get(s.addr, "/normal")).Kind, Answered)
	}
	for _, path := range []string{"/chunked", "/length", "/chunked"} {
		r := p.Do(t.Context(), get(s.addr, path))
		assert.Equal(t, r.Kind, Answered, path)
		assert.Equal(t, int(r.Body.Len()), size)
	}
}

// Guards against memory without bound if many upstreams send bodies without end at
// once: their total is bounded, and a small body beside them is read.
func TestTotalBodies(t *testing.T) {
	const endless = 12
	var running atomic.Int32
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		if r.URL.Path == "/normal" {
			return echo(w, r)
		}
		running.Add(1)
		defer running.Add(-1)
		writeEndless(w, endlessCase{prefix: "HTTP/1.1 200 OK\r\n\r\n", unit: strings.Repeat("x", 1<<10)})
		return false
	})
	account := agatebuffer.New(agatebuffer.Config{Bytes: 4 << 20, Holders: endless})
	p := newPool(t, Config{AllowCloseDelimited: true, Account: account, MaxBodyBytes: 1 << 40})
	results := make(chan Result, endless)
	for i := range endless {
		call := get(s.addr, "/endless")
		call.Upstream = fmt.Sprint("endless-", i)
		call.Deadline = time.Now().Add(time.Minute)
		go func() { results <- p.Do(t.Context(), call) }()
	}
	stop := time.After(30 * time.Second)
	peak := int64(0)
	for ended := 0; ended < endless; {
		used, _ := account.Usage()
		peak = max(peak, used)
		select {
		case r := <-results:
			ended++
			assert.Equal(t, r.Kind, TooLarge)
		case <-stop:
			t.Fatal("bodies without end were not given up")
		default:
			assert.Equal(t, p.Do(t.Context(), get(s.addr, "/normal")).Kind, Answered)
		}
	}
	assert.Assert(t, peak <= 4<<20)
	await(t, "end of the responses", func() bool { return running.Load() == 0 })
	used, _ := account.Usage()
	assert.Equal(t, used, int64(0))
}

// Guards against a second copy of a response, late and without an id, that is taken for
// the response to the next request on the connection.
func TestCopyWithoutID(t *testing.T) {
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		if r.URL.Path == "/2" {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return true
		}
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgate-Request: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Agate-Request"))
		return true
	})
	p := newPool(t, Config{})
	for path, kind := range map[string]Kind{"/1": Answered, "/2": Broken} {
		call := get(s.addr, "/1")
		call.Header = http.Header{"Agate-Request": {"r1"}}
		assert.Equal(t, p.Do(t.Context(), call).Kind, Answered)
		call = get(s.addr, path)
		call.Header = http.Header{"Agate-Request": {"r2"}}
		assert.Equal(t, p.Do(t.Context(), call).Kind, kind, path)
	}
}

// Guards against heads of responses that are held without being charged to the account,
// and that stay charged after they were given up.
func TestHeadIsCharged(t *testing.T) {
	const accountBytes = 256 << 10
	fields := strings.Repeat("a:\r\n", 4000)
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		head := "HTTP/1.1 200 OK\r\n"
		if r.URL.Path == "/interim" {
			head = "HTTP/1.1 103 Early Hints\r\n"
		}
		if r.URL.Path != "/small" {
			head += fields
		}
		io.WriteString(w, head+"Content-Length: 0\r\n\r\n")
		return true
	})
	account := agatebuffer.New(agatebuffer.Config{Bytes: accountBytes, Holders: 16})
	p := newPool(t, Config{Account: account})
	for _, path := range []string{"/small", "/large", "/interim", "/small"} {
		want := Answered
		if path != "/small" {
			want = TooLarge
		}
		r := p.Do(t.Context(), get(s.addr, path))
		assert.Equal(t, r.Kind, want, "%s: %v", path, r.Err)
		assert.Equal(t, r.Err == nil || errors.Is(r.Err, agatebuffer.ErrFull), true, "%v", r.Err)
		held, _ := account.Usage()
		assert.Equal(t, held, int64(0), path)
	}
	charge := account.Open().Begin()
	call := get(s.addr, "/small")
	call.Charge = charge
	assert.Equal(t, p.Do(t.Context(), call).Kind, Answered)
	held, _ := account.Usage()
	assert.Assert(t, held > agatebuffer.FieldBytes, "a head is charged until the request ends")
	charge.End()
}
