package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	filePath = "/ploi77/file"
	// memoryMB is memory_mb of the fronts' settings, and maxCut the number of requests
	// of kept connections that LOST lets a machine cut.
	memoryMB = 284
	maxCut   = 3
)

// memoryCase is a load of many consumers at one front.
type memoryCase struct {
	rec     *record
	trouble bool
	// consumers is the number of consumers of a large response each, of size bytes. They
	// read rate bytes a second, or as fast as they can without the disruption.
	consumers, size, rate int

	mu   sync.Mutex
	ran  map[string]bool // requests that a backend has run
	cut  []string        // of those, the ones whose kept connection ended without an answer
	done int             // large bodies that arrived whole
	ends int             // of the front's process
	kept int             // requests of kept connections that were answered
}

// runReaders plays consumers that read large responses slowly.
func runReaders(rec *record, trouble bool) (bool, error) {
	m := &memoryCase{rec: rec, trouble: trouble, consumers: 100, size: 6 << 20, rate: 512 << 10}
	return m.run()
}

func (m *memoryCase) run() (bool, error) {
	m.ran = map[string]bool{}
	d, err := newDeployment(m.rec, 3, 2, memoryMB)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return false, err
	}
	services := []service{
		{Name: "huvo11a", HealthPath: "/health", MaxConns: 1830, Protocol: "h1"},
		{Name: "wuno96b", HealthPath: "/health", MaxConns: 1830, Protocol: "h1"},
	}
	routes := []route{
		{Name: "r-files", PathPrefix: "/ploi77/", Kind: "download", TimeoutS: 20, TargetLatencyS: 1, Priority: 2, Service: "huvo11a", MaxAttempts: 2},
		{Name: "r-labels", PathPrefix: "/tadu31/", Kind: "unsafe", TimeoutS: 1.5, TargetLatencyS: 0.25, Priority: 1, Service: "wuno96b", MaxAttempts: 2},
	}
	if status := d.putManifest(5, manifest(5, services, routes), 15*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("%w: the first manifest got %d", errCannotRun, status)
	}
	for i := range 6 {
		for _, s := range services {
			b := &backend{d: d, id: fmt.Sprintf("i-%s-%d", s.Name, i), service: s.Name, zone: zones[i].zone, slots: 20, serve: m.serve}
			if err := b.start(); err != nil {
				return false, fmt.Errorf("%w: %v", errCannotRun, err)
			}
			defer b.stop()
		}
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	for _, p := range d.fronts {
		go p.supervise(memoryMB, func(why string) {
			m.rec.say("platform: the process of %s has ended: %s", p.name, why)
			m.mu.Lock()
			defer m.mu.Unlock()
			m.ends++
		})
	}
	time.Sleep(4 * time.Second)
	addr := d.frontAddr(0)
	var stop atomic.Bool
	var labels, bodies sync.WaitGroup
	for range 12 {
		labels.Go(func() { m.buyLabels(addr, &stop) })
	}
	time.Sleep(2 * time.Second)
	m.rec.say("%d consumers begin, one each 100 ms, with %d bytes each, %d bytes a second; trouble: %t", m.consumers, m.size, m.rate, m.trouble)
	var peak atomic.Int64
	go func() {
		for !stop.Load() {
			if mb := int64(d.fronts[0].memoryMB()); mb > peak.Load() {
				peak.Store(mb)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	for i := range m.consumers {
		bodies.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			m.transfer(addr)
		})
	}
	bodies.Wait()
	time.Sleep(2 * time.Second)
	stop.Store(true)
	labels.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rec.say("the front used up to %d MB of %d MB and ended %d times; %d of %d large bodies arrived whole", peak.Load(), memoryMB, m.ends, m.done, m.consumers)
	m.rec.say("kept connections: %d requests answered, %d cut without an answer though a sound backend ran them; %d are allowed", m.kept, len(m.cut), maxCut)
	return len(m.cut) > maxCut, nil
}

// serve answers the requests of all services.
func (m *memoryCase) serve(b *backend, w net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Request-Id")
	if r.URL.Path == filePath {
		m.rec.add("backend %s runs %s", b.id, id)
		time.Sleep(100 * time.Millisecond)
		return b.answer(w, r, http.StatusOK, bytes.Repeat([]byte("catalog\n"), m.size/8))
	}
	m.mu.Lock()
	m.ran[id] = true
	m.mu.Unlock()
	m.rec.add("backend %s runs %s", b.id, id)
	time.Sleep(250 * time.Millisecond)
	return b.answer(w, r, http.StatusOK, []byte("label "+id))
}

// buyLabels sends requests on kept connections, one after the other.
func (m *memoryCase) buyLabels(addr string, stop *atomic.Bool) {
	var c net.Conn
	var br *bufio.Reader
	for !stop.Load() {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(c)
		}
		id := newID()
		_ = c.SetDeadline(time.Now().Add(1500 * time.Millisecond))
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 5\r\n\r\nlabel", labelPath, host, id)
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		m.mu.Lock()
		var ne net.Error
		switch {
		case err == nil:
			m.kept++
			m.rec.add("client: %s gets %d", id, resp.StatusCode)
		case !asTimeout(err, &ne) && m.ran[id]:
			m.cut = append(m.cut, id)
			m.rec.say("client: the connection of %s ends without an answer, a backend has run it: %v", id, err)
		default:
			m.rec.add("client: %s gets no answer: %v", id, err)
		}
		m.mu.Unlock()
		if err != nil || resp.Close {
			_ = c.Close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if c != nil {
		_ = c.Close()
	}
}

// transfer receives one large body on a connection of its own.
func (m *memoryCase) transfer(addr string) {
	id := newID()
	dialer := net.Dialer{Timeout: time.Second}
	nc, err := dialer.Dial("tcp", addr)
	if err != nil {
		m.rec.add("client: %s: %v", id, err)
		return
	}
	defer nc.Close()
	c := nc.(*net.TCPConn)
	_ = c.SetReadBuffer(64 << 10)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	err = m.receive(c, id)
	m.rec.add("client: the large body of %s: %v", id, err)
	if err == nil {
		m.mu.Lock()
		m.done++
		m.mu.Unlock()
	}
}

// step is the pause between two parts of a slow body.
const step = 50 * time.Millisecond

func (m *memoryCase) receive(c *net.TCPConn, id string) error {
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\n\r\n", filePath, host, id)
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	part := make([]byte, m.rate/int(time.Second/step))
	n := 0
	for n < m.size {
		got, err := io.ReadFull(resp.Body, part[:min(len(part), m.size-n)])
		n += got
		if err != nil {
			return fmt.Errorf("after %d bytes: %w", n, err)
		}
		if m.trouble {
			time.Sleep(step)
		}
	}
	return nil
}
