package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["upload"] = upload }

// upload lets many consumers send large bodies at once, within the limits of the manifest,
// while others send purchases. It is broken if more than three purchases that reached a
// sound backend on a kept connection end with a closed connection and no answer.
func upload(d *deployment, trouble bool) int {
	const (
		senders  = 25
		bodySize = 15 << 20
		rounds   = 2
		duration = 6 * time.Second // of sending one body
		deadline = 20 * time.Second
	)
	return whileBuying(d, newManifest(8), 100, func(d *deployment, entry *process, address string) {
		atOnce := senders
		if !trouble {
			atOnce = 1
		}
		var answered, refused, cut atomic.Int64
		for round := range rounds {
			var wg sync.WaitGroup
			for range atOnce {
				wg.Go(func() { sendBody(address, bodySize, duration, deadline, &answered, &refused, &cut) })
			}
			wg.Wait()
			d.record.printf("round %d: %d large requests answered 200, %d refused, %d cut; the entry host's peak is %d MB, %d kills",
				round, answered.Load(), refused.Load(), cut.Load(), entry.peakMB, entry.memoryKills)
		}
	})
}

// sendBody sends a body evenly over a time and reads the response.
func sendBody(address string, size int, over, deadline time.Duration, answered, refused, cut *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		cut.Add(1)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	const parts = 60
	head := fmt.Sprintf("POST /files/2 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		hostName, newID(), deadline.Milliseconds(), size)
	if _, err := io.WriteString(conn, head); err != nil {
		cut.Add(1)
		return
	}
	part := make([]byte, size/parts)
	go func() {
		for range parts {
			if _, err := conn.Write(part); err != nil {
				return
			}
			time.Sleep(over / parts)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case err != nil:
		cut.Add(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(200 * time.Millisecond)
		}
	case resp.StatusCode == 200:
		answered.Add(1)
	default:
		refused.Add(1)
	}
}
