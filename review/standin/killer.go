package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["killer"] = killer }

// killer sends a purchase that crashes the backend that runs it, again and again, at one
// entry host of the caller's region after the other. The backend starts again under its id each time. It is
// broken if more than three retries reach a backend later than contact_s after the third
// crash. Without the trouble, each start of a backend has a new id.
func killer(d *deployment, trouble bool) int {
	const (
		entries   = 8
		local     = 4 // of them in the caller's region
		tries     = 17
		interval  = 5600 * time.Millisecond
		contact   = 3 * time.Second // contact_s
		mostLate  = 3
		consumers = 8
	)
	d.addControl(5)
	d.addEntries(entries)
	if err := d.start(); err != nil {
		return failed
	}
	m := newManifest(8)
	m.Hosts[0].Paths[1].Sticky = true
	if !firstManifest(newOperator(d), m.encode(1)) {
		return failed
	}
	backends, err := d.addBackends(12, func(string) (time.Duration, int) { return 30 * time.Millisecond, 400 })
	if err != nil {
		return failed
	}
	for _, b := range backends {
		b.crashes = func(path string) bool { return path == "/buy/killer" }
		b.newID = !trouble
	}
	var stop atomic.Bool
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop.Store(true)
	hosts := d.role("entry")
	for _, p := range hosts {
		if !waitReady(p, 20*time.Second) {
			d.record.printf("%s is not ready", p.name)
			return failed
		}
	}
	var lost atomic.Int64
	for i := range consumers {
		wg.Go(func() { purchase(fmt.Sprintf("%s:%d", hosts[i%len(hosts)].ip, frontPort), i, &stop, &lost) })
	}
	time.Sleep(4 * time.Second)
	var third time.Time
	var lostBefore int64
	late := 0
	for i := range tries {
		named := resolve(d, entryZones[0])
		if len(named) != local {
			d.record.printf("the directory names %v", named)
			return failed
		}
		slices.Sort(named)
		host := named[i%local]
		before := crashes(backends)
		sent := time.Now()
		status := sendKiller(host)
		time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
		after := crashes(backends)
		reached := after > before
		if reached && !third.IsZero() && sent.After(third.Add(contact)) {
			late++
		}
		if third.IsZero() && after >= 3 {
			third = time.Now()
			lostBefore = lost.Load()
		}
		d.record.printf("try %d at %s: answer %d, reached a backend: %t, %d crashes, %d late retries", i+1, host, status, reached, after, late)
		time.Sleep(time.Until(sent.Add(interval)))
	}
	if !third.IsZero() {
		d.record.printf("%d ordinary purchases were lost in the crashes after the third", lost.Load()-lostBefore)
	}
	if late > mostLate {
		d.record.printf("BROKEN: %d retries reached a backend later than %v after the third crash", late, contact)
		return broken
	}
	return held
}

func crashes(all []*backend) (n int) {
	for _, b := range all {
		b.mu.Lock()
		n += len(b.crashed)
		b.mu.Unlock()
	}
	return n
}

// sendKiller sends the request on a new connection and returns the status of the answer,
// or 0.
func sendKiller(address string) int {
	const deadline = 2 * time.Second
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(conn, requestFor("17", "POST", "/buy/killer", newID(), deadline, "label")); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// purchase sends ordinary purchases of other objects until stop is set, and counts those
// whose answer was lost.
func purchase(address string, object int, stop *atomic.Bool, lost *atomic.Int64) {
	for !stop.Load() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		br := bufio.NewReader(conn)
		for n := 0; !stop.Load(); n++ {
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			key := fmt.Sprint(100 + object*10 + n%10)
			if _, err := io.WriteString(conn, requestFor(key, "POST", "/buy/"+newID(), newID(), 2*time.Second, "label")); err != nil {
				break
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusBadGateway {
				lost.Add(1)
			}
			time.Sleep(30 * time.Millisecond)
		}
		conn.Close()
	}
}
