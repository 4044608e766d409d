package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keptConnections is the number of consumers that keep a connection to one front, which
	// has 4,100 descriptors, and fewConnections the number without the disruption.
	keptConnections = 1800
	fewConnections  = 900
	// pauseBetween is the time between two requests on a kept connection. Consumers use
	// connections again that were idle for up to 12 s.
	pauseBetween = 8 * time.Second
	// newConsumers try to connect during tryTime, each again after tryPause.
	newConsumers = 10
	tryTime      = 20 * time.Second
	tryPause     = 500 * time.Millisecond
	// grownContact is contact_s on the page that has the rule, and minTrying the number of
	// consumers from which it counts.
	grownContact = 4 * time.Second
	minTrying    = 7
)

// fullCase is what consumers with new connections get.
type fullCase struct {
	rec *record

	mu      sync.Mutex
	kept    int // connections that are open
	tried   map[int]bool
	since   time.Time // of the last new connection that was taken, or of the first try
	longest time.Duration
	trying  int // consumers that tried in the longest time
	taken   int
	refused int
	unready int
}

// runFull plays many consumers that keep their connections. It reports whether a front that
// says it is ready takes no new connection for too long.
func runFull(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 3, 2, memoryMB)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return false, err
	}
	services := []service{{Name: "huvo11a", HealthPath: "/health", MaxConns: 330, Protocol: "h1"}}
	routes := []route{{Name: "r-2b9wu3f", PathPrefix: "/lepu270/", Kind: "safe", TimeoutS: 1, TargetLatencyS: 0.2, Priority: 2, Service: "huvo11a", MaxAttempts: 2}}
	if status := d.putManifest(5, manifest(5, services, routes), 15*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("%w: the first manifest got %d", errCannotRun, status)
	}
	for i := range zones {
		b := &backend{d: d, id: fmt.Sprintf("i-7f3a91c%d", i), service: "huvo11a", zone: zones[i].zone, slots: 50, serve: func(b *backend, w net.Conn, r *http.Request, _ []byte) bool {
			return b.answer(w, r, http.StatusOK, []byte("done "+r.Header.Get("X-Request-Id")))
		}}
		if err := b.start(); err != nil {
			return false, fmt.Errorf("%w: %v", errCannotRun, err)
		}
		defer b.stop()
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(grownContact)
	f := &fullCase{rec: rec, tried: map[int]bool{}}
	n := keptConnections
	if !trouble {
		n = fewConnections
	}
	rec.say("%d consumers open a connection each within 9 s and keep it, with a request each %s; trouble: %t", n, pauseBetween, trouble)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(9 * time.Second * time.Duration(i) / time.Duration(n))
			f.keep(d.frontAddr(0), &stop)
		})
	}
	time.Sleep(11 * time.Second)
	rec.say("%d of them have their connection", f.numKept())
	f.since = time.Now()
	var others sync.WaitGroup
	for i := range newConsumers {
		others.Go(func() { f.try(d.frontAddr(0), i) })
	}
	others.Go(func() { f.watchReady(d) })
	others.Wait()
	stop.Store(true)
	f.mu.Lock()
	f.spanLocked(time.Now())
	f.mu.Unlock()
	wg.Wait()
	rec.say("new connections: %d taken, %d not; the longest time with none taken is %.1f s, %d consumers tried in it; checks that were not 200: %d",
		f.taken, f.refused, f.longest.Seconds(), f.trying, f.unready)
	return f.longest > grownContact && f.trying >= minTrying && f.unready == 0, nil
}

func (f *fullCase) numKept() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.kept
}

// exchange sends one request on a connection and reads the answer.
func exchange(c net.Conn, br *bufio.Reader) (int, error) {
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET /lepu270/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", host, newID())
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// keep holds one connection open and uses it now and then.
func (f *fullCase) keep(addr string, stop *atomic.Bool) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		f.rec.add("client: %v", err)
		return
	}
	defer c.Close()
	br := bufio.NewReader(c)
	open := false
	for !stop.Load() {
		status, err := exchange(c, br)
		if err != nil {
			f.rec.add("client: a connection to be kept ends: %v", err)
			break
		}
		if !open {
			open = true
			f.mu.Lock()
			f.kept++
			f.mu.Unlock()
		}
		f.rec.add("client: %d on a kept connection", status)
		for end := time.Now().Add(pauseBetween); time.Now().Before(end) && !stop.Load(); {
			time.Sleep(100 * time.Millisecond)
		}
	}
	if open {
		f.mu.Lock()
		f.kept--
		f.mu.Unlock()
	}
}

// try opens new connections, one after the other.
func (f *fullCase) try(addr string, consumer int) {
	for end := time.Now().Add(tryTime); time.Now().Before(end); time.Sleep(tryPause) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		status := 0
		if err == nil {
			status, err = exchange(c, bufio.NewReader(c))
			_ = c.Close()
		}
		f.rec.add("client: new connection of consumer %d: %d %v", consumer, status, err)
		f.mu.Lock()
		f.tried[consumer] = true
		if err == nil {
			f.taken++
			f.spanLocked(time.Now())
		} else {
			f.refused++
		}
		f.mu.Unlock()
	}
}

// spanLocked ends the time in which no new connection was taken. f.mu must be held.
func (f *fullCase) spanLocked(now time.Time) {
	if span := now.Sub(f.since); span > f.longest {
		f.longest, f.trying = span, len(f.tried)
	}
	f.since = now
	clear(f.tried)
}

// watchReady asks once a second whether the front is ready, as the platform does.
func (f *fullCase) watchReady(d *deployment) {
	for end := time.Now().Add(tryTime); time.Now().Before(end); time.Sleep(time.Second) {
		status, _ := d.callOne(http.MethodGet, fmt.Sprintf("http://%s:%d/api/ready", d.fronts[0].ip, readyPort), nil, nil)
		f.rec.add("platform: ready check of front-1: %d", status)
		f.mu.Lock()
		if status != http.StatusOK {
			f.unready++
		}
		f.mu.Unlock()
	}
}
