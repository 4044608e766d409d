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

// Guards against answers that reach another caller and requests that run
// twice, under a mix of every fault at once. The seed fixes each caller's
// choices; the interleaving is the scheduler's.
func TestSoak(t *testing.T) {
	var runs sync.Map
	s := startUpstream(t, func(w net.Conn, r *http.Request) bool {
		if _, again := runs.LoadOrStore(r.URL.Path, true); again {
			t.Errorf("%s ran twice", r.URL.Path)
		}
		return misbehave(w, r)
	})
	p := newPool(t, Config{Share: 8})
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

// misbehave acts as the request's Fault header says.
func misbehave(w net.Conn, r *http.Request) bool {
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
		// A second answer is told from the next one only by the request it
		// names.
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

func soakCall(t *testing.T, p *Pool, s *standIn, rng *rand.Rand, path string) {
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
		call.Probe = 3 * time.Millisecond
	}
	r := p.Do(ctx, call)
	if r.Kind == Answered && string(r.Body) != path {
		t.Errorf("%s got the answer %q", path, r.Body)
	}
	if fault := call.Header.Get("Fault"); r.Kind == Answered && (fault == "close" || fault == "cut" || fault == "garbage") {
		t.Errorf("%s with fault %s was answered", path, fault)
	}
}
