package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	poisonPath = "/lepu270/2f-poison"
	labelPath  = "/tadu31/label"
	// contact is contact_s of the settings.
	contact = 3 * time.Second
	// maxRetries is the number of retries that BUDGET allows.
	maxRetries = 3
)

// runPoison plays a request that crashes each backend that runs it, and that comes again at
// all fronts. It reports whether BUDGET was broken.
func runPoison(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(rec, 5, 8, 284)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return false, err
	}
	services := []service{
		{Name: "huvo11a", HealthPath: "/health", MaxConns: 330, Protocol: "h1"},
	}
	routes := []route{
		{Name: "r-2b9wu3f", PathPrefix: "/lepu270/", Kind: "safe", TimeoutS: 1, TargetLatencyS: 0.2, Priority: 2, Service: "huvo11a", MaxAttempts: 2, Sticky: true},
		{Name: "r-exd9dnn", PathPrefix: "/tadu31/", Kind: "unsafe", TimeoutS: 1.5, TargetLatencyS: 0.25, Priority: 1, Service: "huvo11a", MaxAttempts: 2},
	}
	if status := d.putManifest(5, manifest(5, services, routes), 15*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("%w: the first manifest got %d", errCannotRun, status)
	}
	log := &crashLog{rec: rec}
	for i := range 6 {
		b := &backend{d: d, id: fmt.Sprintf("i-7f3a91c%d", i), service: "huvo11a", zone: zones[i].zone, slots: 4, serve: log.serve}
		if err := b.start(); err != nil {
			return false, fmt.Errorf("%w: %v", errCannotRun, err)
		}
		defer b.stop()
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range d.fronts {
		wg.Go(func() { log.buyLabels(d.frontAddr(i), &stop) })
	}
	time.Sleep(2 * time.Second)
	rec.say("the request begins to come, at each front once in two seconds; trouble: %t", trouble)
	path := poisonPath
	if !trouble {
		path = "/lepu270/2f" // an ordinary request, as often
	}
	// Each front gets it at another moment. The last one comes 70 s after the first.
	for i := range d.fronts {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond)
			for range 35 {
				id := newID()
				r := request(d.frontAddr(i), http.MethodGet, path, id, nil, 1200*time.Millisecond)
				rec.add("client: front-%d answers %s %s with %d", i+1, path, id, r.status)
				time.Sleep(2 * time.Second)
			}
		})
	}
	time.Sleep(76 * time.Second)
	stop.Store(true)
	wg.Wait()
	for _, p := range d.fronts {
		if p.starts != 1 || !p.running() {
			return false, fmt.Errorf("%w: %s has ended by itself", errCannotRun, p.name)
		}
	}
	return log.judge(), nil
}

// crashLog counts what the backends run.
type crashLog struct {
	rec *record

	mu      sync.Mutex
	third   time.Time // when the request has crashed the third backend
	crashes int
	retries int // that reached backends later than contact after that
	bought  int // labels that were bought and told so
	lost    int // requests for labels that got no clear answer
}

// serve answers a request, or crashes.
func (l *crashLog) serve(b *backend, w net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == poisonPath {
		l.crash(b, id)
		time.Sleep(20 * time.Millisecond)
		b.crash(2 * time.Second)
		return false
	}
	if r.URL.Path == labelPath {
		l.rec.add("backend %s runs %s", b.id, id)
		time.Sleep(250 * time.Millisecond)
	} else {
		time.Sleep(30 * time.Millisecond)
	}
	return b.answer(w, r, http.StatusOK, []byte("done "+id))
}

// crash records that the request has reached a backend, which it crashes.
func (l *crashLog) crash(b *backend, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.crashes++
	counted := !l.third.IsZero() && now.Sub(l.third) > contact
	if counted {
		l.retries++
	}
	if l.crashes == 3 {
		l.third = now
	}
	l.rec.say("backend %s runs the request that crashes it, as %s: crash %d, counted as a retry: %t", b.id, id, l.crashes, counted)
}

// buyLabels sends requests that must not run twice, one after the other.
func (l *crashLog) buyLabels(addr string, stop *atomic.Bool) {
	for !stop.Load() {
		id := newID()
		r := request(addr, http.MethodPost, labelPath, id, []byte("label "+id), 1500*time.Millisecond)
		l.rec.add("client: label %s gets %d", id, r.status)
		l.mu.Lock()
		switch {
		case r.status == http.StatusOK:
			l.bought++
		case r.status != http.StatusServiceUnavailable && r.status != http.StatusTooManyRequests && !r.notRead:
			l.lost++
		}
		l.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *crashLog) judge() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.say("%d crashes; %d retries reached backends later than %s after the third crash, %d are allowed", l.crashes, l.retries, contact, maxRetries)
	l.rec.say("labels: %d bought, %d without a clear answer", l.bought, l.lost)
	return l.retries > maxRetries
}
