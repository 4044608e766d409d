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
	// newID is set if each start of the backend has a new id.
	newID bool
	// crashes reports whether a request crashes the backend that begins to run it.
	crashes func(path string) bool

	mu       sync.Mutex
	server   *http.Server
	down     bool
	warmup   time.Time // until when it is cold
	crashed  []time.Time
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
		if err := b.listen(); err != nil {
			return nil, err
		}
		go b.beat()
		out = append(out, b)
	}
	return out, nil
}

func (b *backend) listen() error {
	ln, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	b.mu.Lock()
	b.server, b.down = server, false
	b.mu.Unlock()
	go server.Serve(ln)
	return nil
}

const (
	downTime = 2 * time.Second
	coldTime = 3 * time.Second
)

// crash ends the backend as a crash of its process does. It starts again under its id
// after downTime, and is cold then.
func (b *backend) crash() {
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return
	}
	b.down = true
	b.crashed = append(b.crashed, time.Now())
	server := b.server
	b.mu.Unlock()
	_ = server.Close()
	time.Sleep(downTime)
	b.mu.Lock()
	b.born, b.sequence, b.warmup = time.Now().UnixMilli(), 0, time.Now().Add(coldTime)
	if b.newID {
		b.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	b.mu.Unlock()
	if err := b.listen(); err != nil {
		b.d.record.printf("%s cannot start again: %v", b.id, err)
		return
	}
	b.heartbeat()
}

// beat sends a heartbeat to one control process after the other until one answers.
func (b *backend) beat() {
	for {
		b.heartbeat()
		time.Sleep(heartbeatEvery)
	}
}

func (b *backend) heartbeat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	hosts := b.d.role("control")
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, host := range hosts {
		if b.announce(client, host.ip) {
			return
		}
	}
}

func (b *backend) announce(client *http.Client, host string) bool {
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return true // a backend that has crashed sends nothing
	}
	b.sequence++
	id := b.id
	body, _ := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": "huvo11a", "version": "v1", "zone": b.zone, "slots": backendSlots},
		"status": map[string]any{"state": "ready", "sequence": b.sequence, "warmup_left_s": max(0, time.Until(b.warmup).Seconds())},
	})
	b.mu.Unlock()
	req, _ := http.NewRequestWithContext(context.Background(), "PUT", fmt.Sprintf("http://%s:%d/api/instances/%s", host, controlPort, id), bytes.NewReader(body))
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
	h.Set("Keep-Alive", "timeout=10")
	b.mu.Lock()
	own, cold := b.id, max(0, time.Until(b.warmup))
	b.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", own)
		h.Set("X-Warmup-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != own {
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
	if b.crashes != nil && b.crashes(r.URL.Path) {
		go b.crash()
		<-r.Context().Done()
		return
	}
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
