package agateupstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an action that is taken for not run, and so runs twice, because the
// upstream writes an earlier refusal once more on the connection, in front of the
// response. testdata/repeats.txt lists which responses and requests have ids.
func TestRepeatedRefusal(t *testing.T) {
	runRows(t, "testdata/repeats.txt", func(t *testing.T, f []string) { testRepeatedRefusal(t, f[1], f[2], f[3]) })
}

func testRepeatedRefusal(t *testing.T, refusals, responses, requests string) {
	var mu sync.Mutex
	refusalOf := map[net.Conn]string{}
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		switch r.URL.Path {
		case "/refused":
			refusalOf[w] = "HTTP/1.1 503 Service Unavailable\r\nAgate-Shed: before-execution\r\n" + idLine(refusals, r) + "Content-Length: 0\r\n\r\n"
			io.WriteString(w, refusalOf[w])
		default:
			io.WriteString(w, refusalOf[w])
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nran", idLine(responses, r))
		}
		return true
	})
	p := newPool(t, Config{})
	send := func(path, id string) Result {
		call := get(s.addr, path)
		call.Method, call.Action = "POST", true
		call.Header = http.Header{"Agate-Request": {id}}
		return p.Do(t.Context(), call)
	}
	assert.Equal(t, send("/first", "first").Kind, Answered)
	refused := send("/refused", "second")
	assert.Equal(t, refused.Kind, Shed)
	id := "third"
	if requests == "same" {
		id = "second"
	}
	r := send("/run", id)
	assert.Assert(t, r.Kind != Shed && r.MayHaveRun, "%v: the upstream has run it", r.Kind)
	assert.Equal(t, s.runs.Load(), int64(3))
}

// idLine returns the header with the id of a request if kind is "named".
func idLine(kind string, r *http.Request) string {
	if kind != "named" {
		return ""
	}
	return "Agate-Request: " + r.Header.Get("Agate-Request") + "\r\n"
}
