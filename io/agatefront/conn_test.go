package agatefront_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/io/agatefront"
)

// startAlone starts a host without a connection to any control replica.
func startAlone(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := netip.MustParseAddrPort(ln.Addr().String())
	assert.NilError(t, ln.Close())
	f, err := agatefront.Start(agatefront.Config{
		Name: "entry-1", Region: "centro", Domain: "centro-1",
		Listen: addr,
		Seeds:  func() []netip.AddrPort { return nil },
	})
	assert.NilError(t, err)
	t.Cleanup(func() { f.Stop(t.Context()) })
	return addr
}

const request = "GET /l/1 HTTP/1.1\r\nHost: shop.example\r\nAgate-Request: r1\r\n\r\n"

// Guards against callers that keep their connection to a host that cannot serve
// them while others can. One such host kept a third of the callers for 30 s
// (docs/incidents/2026-12-04-hunt-7f96-3.md).
func TestUnavailableHostClosesConnections(t *testing.T) {
	addr := startAlone(t)
	for _, test := range []struct {
		name     string
		requests int
	}{{"one request", 1}, {"several requests", 3}} {
		t.Run(test.name, func(t *testing.T) {
			c, err := net.Dial("tcp", addr.String())
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(c, strings.Repeat(request, test.requests))
			assert.NilError(t, err)
			br := bufio.NewReader(c)
			answers := 0
			closed := false
			for {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					assert.Assert(t, err == io.EOF || err == io.ErrUnexpectedEOF, "%v", err)
					break
				}
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
				assert.Assert(t, !closed, "a response after the last one")
				closed = resp.Close
				answers++
			}
			// Requests after the last response are not answered.
			assert.Assert(t, closed && answers >= 1 && answers <= test.requests, "%d answers", answers)
		})
	}
}
