package agatecontrol

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against decisions that are reported although the answer of the entry host cannot
// be one of its own or has no end, and against a query that waits for more of it.
func TestFetchDecisionsRefusesAnswers(t *testing.T) {
	const body = `{"decisions":[{}]}`
	for raw, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n" + body:                       true,
		"HTTP/1.1 200 OK\r\n\r\n" + body:                                             false,
		"HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n" + body:                       false,
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\nContent-Length: 18\r\n\r\n" + body: false,
		"HTTP/1.1 200 OK\r\nX-\x01: 1\r\nContent-Length: 18\r\n\r\n" + body:          false,
		"HTTP/1.1 000 OK\r\nContent-Length: 18\r\n\r\n" + body:                       false,
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }() // the answer is written
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, raw) // the test checks what is read
			}
		}()
		list, err := fetchDecisions(t.Context(), ln.Addr().(*net.TCPAddr).AddrPort(), "id-1")
		assert.Equal(t, err == nil, ok, "%q: %v", raw, err)
		assert.Equal(t, len(list) == 1, ok)
		assert.NilError(t, ln.Close())
	}
}
