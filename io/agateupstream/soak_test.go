package agateupstream

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against responses that reach another caller and requests that run twice,
// under a mix of faults. The seed determines each caller's choices, but not the
// interleaving of the goroutines.
func TestSoak(t *testing.T) {
	var runs sync.Map
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		if _, again := runs.LoadOrStore(r.URL.Path, true); again {
			t.Errorf("%s ran twice", r.URL.Path)
		}
		return respondWithFault(w, r)
	})
	p := newPool(t, Config{MaxConns: 8})
	var wg sync.WaitGroup
	for worker := range 16 {
		rng := rand.New(rand.NewPCG(7, uint64(worker)))
		wg.Go(func() {
			for i := range 100 {
				soakCall(t, p, s, rng, fmt.Sprintf("/%d/%d", worker, i))
			}
		})
	}
	wg.Wait()
	open, idle := p.Usage("u")
	if open != idle || open > 8 {
		t.Errorf("%d connections, %d idle", open, idle)
	}
}

// Guards against an incomplete response being returned as complete, at every
// position of the cut.
func TestCutAnywhere(t *testing.T) {
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\nSum: 1\r\n\r\n",
	}
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		var i, n int
		fmt.Sscanf(r.URL.Path, "/%d/%d", &i, &n)
		io.WriteString(w, answers[i][:n])
		return false
	})
	for _, allow := range []bool{false, true} {
		p := newPool(t, Config{AllowCloseDelimited: allow})
		for i, answer := range answers {
			for n := range len(answer) + 1 {
				r := p.Do(t.Context(), get(s.addr, fmt.Sprintf("/%d/%d", i, n)))
				if whole := n == len(answer); (r.Kind == Answered) != whole || !r.MayHaveRun {
					t.Errorf("%q is %v, with responses without a length: %t", answer[:n], r.Kind, allow)
				}
			}
		}
	}
}

// BenchmarkDo measures sequential requests on a reused connection.
func BenchmarkDo(b *testing.B) {
	s := startUpstream(b, echo)
	p := New(Config{})
	defer p.Close()
	for b.Loop() {
		if r := p.Do(b.Context(), get(s.addr, "/")); r.Kind != Answered {
			b.Fatal(r.Err)
		}
	}
}

// respondWithFault responds with the fault that the Fault header names.
func respondWithFault(w net.Conn, r *http.Request) bool {
	body := r.URL.Path
	switch r.Header.Get("Fault") {
	case "late":
		time.Sleep(5 * time.Millisecond)
	case "close":
		return false
	case "cut":
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n%s", body)
		return false
	case "twice":
		// Only the request id distinguishes a second response from the response
		// to the next request.
		for range 2 {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAgate-Request: %s\r\nContent-Length: %d\r\n\r\n%s", body, len(body), body)
		}
		return true
	case "garbage":
		io.WriteString(w, body)
		return false
	}
	return respond(w, body)
}

func soakCall(t *testing.T, p *Pool, s *testUpstream, rng *rand.Rand, path string) {
	faults := []string{"", "", "", "late", "close", "cut", "twice", "garbage"}
	call := get(s.addr, path)
	call.Action = rng.IntN(2) == 0
	call.Header = http.Header{"Fault": {faults[rng.IntN(len(faults))]}, "Agate-Request": {path}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	switch rng.IntN(4) {
	case 0:
		call.Deadline = time.Now().Add(3 * time.Millisecond)
	case 1:
		defer time.AfterFunc(3*time.Millisecond, cancel).Stop()
	case 2:
		call.ReadIdleTimeout = 3 * time.Millisecond
	}
	r := p.Do(ctx, call)
	if r.Kind == Answered && r.Body.String() != path {
		t.Errorf("%s got the response %q", path, r.Body)
	}
	if fault := call.Header.Get("Fault"); r.Kind == Answered && (fault == "close" || fault == "cut" || fault == "garbage") {
		t.Errorf("%s with fault %s was answered", path, fault)
	}
}
