package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["slow"] = slow }

// slow lets some consumers fetch large responses and read them slowly, several requests
// one after the other on each connection, while others send purchases. It is broken if
// more than three purchases that reached a sound backend on a kept connection end with a
// closed connection and no answer.
func slow(d *deployment, trouble bool) int {
	const (
		readers      = 60
		pipelined    = 12
		responseSize = 540000
		rounds       = 3
		deadline     = 8 * time.Second
	)
	m := newManifest(8)
	m.Hosts[0].Paths[0].Kind, m.Hosts[0].Paths[0].TargetLatencyS = "download", 1
	return whileBuying(d, m, responseSize, func(d *deployment, entry *process, address string) {
		var whole, cut, refused atomic.Int64
		for round := range rounds {
			var group sync.WaitGroup
			for range readers {
				group.Go(func() {
					fetch(address, pipelined, responseSize, deadline, trouble, &whole, &cut, &refused)
				})
			}
			group.Wait()
			d.record.printf("round %d: %d large responses whole, %d not read in time or cut, %d refused; the entry host's peak is %d MB, %d kills",
				round, whole.Load(), cut.Load(), refused.Load(), entry.peakMB, entry.memoryKills)
		}
	})
}

// whileBuying starts a deployment with one entry host and consumers that send purchases,
// plays the trouble, and judges what became of the purchases.
func whileBuying(d *deployment, m *manifest, responseSize int, play func(d *deployment, entry *process, address string)) int {
	const (
		buyers   = 30
		buyWork  = 600 * time.Millisecond
		mostLost = 3
	)
	d.addControl(5)
	d.addEntries(1)
	if err := d.start(); err != nil {
		return failed
	}
	if !firstManifest(newOperator(d), m.encode(1)) {
		return failed
	}
	backends, err := d.addBackends(12, func(path string) (time.Duration, int) {
		if strings.HasPrefix(path, "/buy/") {
			return buyWork, 400
		}
		if path == "/files/1" {
			return 10 * time.Millisecond, 100
		}
		return 50 * time.Millisecond, responseSize
	})
	if err != nil {
		return failed
	}
	entry := d.role("entry")[0]
	if !waitReady(entry, 20*time.Second) {
		d.record.printf("the entry host is not ready")
		return failed
	}
	named := resolve(d, entry.zone)
	if len(named) != 1 {
		d.record.printf("the directory names %v", named)
		return failed
	}
	address := named[0]
	var stop atomic.Bool
	var wg sync.WaitGroup
	var lost, bought, otherwise atomic.Int64
	for range buyers {
		wg.Go(func() {
			for !stop.Load() {
				buy(d, backends, address, &stop, &lost, &bought, &otherwise)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	d.record.printf("before the trouble: %d purchases answered, %d lost, the entry host has %d MB", bought.Load(), lost.Load(), entry.memory())
	play(d, entry, address)
	stop.Store(true)
	wg.Wait()
	d.record.printf("%d purchases answered, %d otherwise, %d lost: at a backend, connection closed without an answer", bought.Load(), otherwise.Load(), lost.Load())
	if lost.Load() > mostLost {
		d.record.printf("BROKEN: more than %d", mostLost)
		return broken
	}
	return held
}

// buy sends purchases on one connection until it ends.
func buy(d *deployment, backends []*backend, address string, stop *atomic.Bool, lost, bought, otherwise *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	for n := 0; !stop.Load(); n++ {
		id := newID()
		sent := time.Now()
		status, read := exchange(conn, br, "POST", "/buy/1", id, 5*time.Second, "label")
		switch {
		case status == 200:
			bought.Add(1)
			continue
		case status != 0 || read || time.Since(sent) >= 5*time.Second:
			otherwise.Add(1)
		default:
			if at, ok := arrivedAt(backends, id); ok && n > 0 {
				lost.Add(1)
				d.record.printf("purchase %s: sent, at a backend after %v, connection closed without an answer after %v",
					id, at.Sub(sent).Round(time.Millisecond), time.Since(sent).Round(time.Millisecond))
			}
		}
		return
	}
}

// fetch sends several requests for large responses on one connection and reads what comes,
// slowly if so asked, until the deadline of the requests.
func fetch(address string, n, size int, deadline time.Duration, slowly bool, whole, cut, refused *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		cut.Add(int64(n))
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	go func() {
		for i := range n {
			if _, err := io.WriteString(conn, request("GET", fmt.Sprintf("/files/%d", 2+i), newID(), deadline, "")); err != nil {
				return
			}
			time.Sleep(300 * time.Millisecond)
		}
	}()
	var r io.Reader = conn
	if slowly {
		_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10) // links have small windows
		r = &slowReader{r: conn, bytes: 10 << 10, pause: 100 * time.Millisecond}
	}
	br := bufio.NewReader(r)
	for i := range n {
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			var got int64
			got, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != 200 {
				refused.Add(1)
			} else if err == nil && got == int64(size) {
				whole.Add(1)
			}
		}
		if err != nil {
			cut.Add(int64(n - i))
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				time.Sleep(500 * time.Millisecond)
			}
			return
		}
		if resp.Close {
			cut.Add(int64(n - i - 1))
			return
		}
	}
}
