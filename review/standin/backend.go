package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	backendSlots   = 6
	backendQueue   = 18
	heartbeatEvery = 1500 * time.Millisecond
)

// backend is a sound backend: it runs as many requests as it has slots, queues a few
// more, rejects the others, and drops a request when its connection closes.
type backend struct {
	d       *deployment
	id      string
	zone    string
	address string
	born    int64
	work    func(path string) (time.Duration, int) // work time and size of the response
	slots   chan struct{}
	waiting chan struct{}
	server  *http.Server

	mu       sync.Mutex
	sequence int
	// arrived holds the ids of the requests that arrived, with the times.
	arrived map[string]time.Time
	ran     map[string]int
}

// addBackends starts n backends of the service of newManifest in the zones in turn.
func (d *deployment) addBackends(n int, work func(path string) (time.Duration, int)) ([]*backend, error) {
	var out []*backend
	for i := range n {
		b := &backend{
			d: d, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: zones[i%len(zones)], address: fmt.Sprintf("%s:8080", d.ip(1, 1+i)),
			born: time.Now().Add(-time.Minute).UnixMilli(), work: work,
			slots: make(chan struct{}, backendSlots), waiting: make(chan struct{}, backendSlots+backendQueue),
			arrived: map[string]time.Time{}, ran: map[string]int{},
		}
		ln, err := net.Listen("tcp", b.address)
		if err != nil {
			return nil, err
		}
		b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
		go b.server.Serve(ln)
		go b.beat()
		out = append(out, b)
	}
	return out, nil
}

// beat sends a heartbeat to one control process after the other until one answers.
func (b *backend) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		hosts := b.d.role("control")
		rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		for _, host := range hosts {
			if b.announce(client, host.ip) {
				break
			}
		}
		time.Sleep(heartbeatEvery)
	}
}

func (b *backend) announce(client *http.Client, host string) bool {
	b.mu.Lock()
	b.sequence++
	sequence := b.sequence
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": "huvo11a", "version": "v1", "zone": b.zone, "slots": backendSlots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "warmup_left_s": 0},
	})
	req, _ := http.NewRequestWithContext(context.Background(), "PUT", fmt.Sprintf("http://%s:%d/api/instances/%s", host, controlPort, b.id), bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	h.Set("X-Backend-Load", fmt.Sprintf("%d,%d,%d", len(b.slots), max(0, len(b.waiting)-len(b.slots)), backendSlots))
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", b.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	b.arrived[id] = time.Now()
	b.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	deadline, _ := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	late := time.NewTimer(time.Duration(deadline * float64(time.Millisecond)))
	defer late.Stop()
	select {
	case b.waiting <- struct{}{}:
		defer func() { <-b.waiting }()
	default:
		reject(w)
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-late.C:
		reject(w)
		return
	case <-r.Context().Done():
		return
	}
	b.mu.Lock()
	b.ran[id]++
	b.mu.Unlock()
	work, size := b.work(r.URL.Path)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Stamp", "3e1b."+id)
	h.Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write([]byte(strings.Repeat("x", size)))
}

func reject(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// arrivedAt returns when a request arrived at one of the backends, or false.
func arrivedAt(all []*backend, id string) (time.Time, bool) {
	for _, b := range all {
		b.mu.Lock()
		at, ok := b.arrived[id]
		b.mu.Unlock()
		if ok {
			return at, true
		}
	}
	return time.Time{}, false
}
