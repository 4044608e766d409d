package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lookupPath = "/lepu270/2f"
	// calmTime is the time before the other writer's pings, and forgedTime the time after.
	calmTime   = 5 * time.Second
	forgedTime = 60 * time.Second
)

// kindCount counts the requests of one kind.
type kindCount struct{ sent, served, refused, failed int }

// forgedCase is what consumers of two kinds of request get.
type forgedCase struct {
	rec *record

	mu    sync.Mutex
	kinds map[string]*kindCount
}

// runForged plays pings of another writer that name the addresses of backends. It reports
// whether a kind of request is starved.
func runForged(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 5, 2, 284)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return false, err
	}
	services := []service{
		{Name: "huvo11a", HealthPath: "/health", MaxConns: 330, Protocol: "h1"},
		{Name: "wuno96b", HealthPath: "/health", MaxConns: 330, Protocol: "h1"},
	}
	routes := []route{
		{Name: "r-2b9wu3f", PathPrefix: "/lepu270/", Kind: "safe", TimeoutS: 1, TargetLatencyS: 0.2, Priority: 2, Service: "huvo11a", MaxAttempts: 2},
		{Name: "r-exd9dnn", PathPrefix: "/tadu31/", Kind: "unsafe", TimeoutS: 1.5, TargetLatencyS: 0.25, Priority: 1, Service: "wuno96b", MaxAttempts: 2},
	}
	if status := d.putManifest(5, manifest(5, services, routes), 15*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("%w: the first manifest got %d", errCannotRun, status)
	}
	f := &forgedCase{rec: rec, kinds: map[string]*kindCount{lookupPath: {}, labelPath: {}}}
	var labels []*backend
	for i := range zones {
		for _, s := range services {
			b := &backend{d: d, id: fmt.Sprintf("i-%s-%d", s.Name, i), service: s.Name, zone: zones[i].zone, slots: 4, serve: f.serve}
			if err := b.start(); err != nil {
				return false, fmt.Errorf("%w: %v", errCannotRun, err)
			}
			defer b.stop()
			if s.Name == "wuno96b" {
				labels = append(labels, b)
			}
		}
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { f.send(d.frontAddr(i%2), http.MethodGet, lookupPath, &stop) })
		wg.Go(func() { f.send(d.frontAddr(i%2), http.MethodPost, labelPath, &stop) })
	}
	time.Sleep(calmTime)
	f.say("before the pings of the other writer")
	for i, b := range labels {
		address := b.addr
		if !trouble {
			address = fmt.Sprintf("%s.201:%d", d.net, 9000+i) // nobody's
		}
		d.forge(i, address, b.zone)
	}
	time.Sleep(forgedTime)
	stop.Store(true)
	wg.Wait()
	for _, b := range labels {
		rec.say("backend %s: %d heartbeats acknowledged, %d not", b.id, b.acked.Load(), b.unacked.Load())
	}
	f.say("at the end")
	return f.starved(), nil
}

// forge sends one ping of another writer, for a service that is not named in the manifest.
func (d *deployment) forge(i int, address, zone string) {
	body, err := json.Marshal(map[string]any{
		"address": address,
		"born":    time.Now().UnixMilli(),
		"info":    map[string]any{"service": "zz-unknown", "version": "v1", "zone": zone, "slots": 4},
		"status":  map[string]any{"state": "ready", "sequence": 1, "warmup_left_s": 0},
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	status, _ := d.call(http.MethodPut, fmt.Sprintf("/api/instances/x-%d", i), nil, body, 2*time.Second)
	d.rec.say("other writer: PUT /api/instances/x-%d %s: %d", i, body, status)
}

func (f *forgedCase) serve(b *backend, w net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Request-Id")
	f.rec.add("backend %s runs %s", b.id, id)
	time.Sleep(30 * time.Millisecond)
	return b.answer(w, r, http.StatusOK, []byte("done "+id))
}

// send sends requests of one kind, one after the other.
func (f *forgedCase) send(addr, method, path string, stop *atomic.Bool) {
	for !stop.Load() {
		id := newID()
		r := request(addr, method, path, id, nil, 1500*time.Millisecond)
		f.rec.add("client: %s %s gets %d", path, id, r.status)
		f.mu.Lock()
		k := f.kinds[path]
		k.sent++
		switch r.status {
		case http.StatusOK:
			k.served++
		case http.StatusServiceUnavailable:
			k.refused++
		default:
			k.failed++
		}
		f.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}

func (f *forgedCase) say(when string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for path, k := range f.kinds {
		f.rec.say("%s: %s: %d sent, %d served, %d refused, %d failed", when, path, k.sent, k.served, k.refused, k.failed)
	}
}

// starved reports whether a kind of request is served less than a quarter as often as all.
func (f *forgedCase) starved() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, served := 0, 0
	for _, k := range f.kinds {
		sent += k.sent
		served += k.served
	}
	all := float64(served) / float64(max(1, sent))
	starved := false
	for _, k := range f.kinds {
		starved = starved || float64(k.served)/float64(max(1, k.sent)) < all/4
	}
	return starved
}
