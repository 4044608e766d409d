package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a server of a service.
type backend struct {
	d       *deployment
	id      string
	service string
	zone    string
	slots   int
	addr    string
	// serve answers a request that names this backend, after it has been read. It returns
	// false if the process of the backend ends.
	serve func(b *backend, w net.Conn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	up       bool
	ln       net.Listener
	conns    map[net.Conn]struct{}
	born     int64
	sequence int
	running  atomic.Int64
	// acked and unacked are the numbers of heartbeats that were acknowledged, or not.
	acked, unacked atomic.Int64
}

// start begins a new lifetime of the backend.
func (b *backend) start() error {
	if b.addr == "" {
		b.addr = b.d.net + ".200:0"
	}
	ln, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.addr = ln.Addr().String()
	b.up, b.ln, b.conns = true, ln, map[net.Conn]struct{}{}
	b.born, b.sequence = time.Now().UnixMilli(), 0
	b.mu.Unlock()
	go b.accept(ln)
	go b.heartbeats(ln)
	return nil
}

// stop ends the backend for good.
func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.up {
		b.up = false
		_ = b.ln.Close()
	}
}

// alive reports whether the lifetime with this listener goes on.
func (b *backend) alive(ln net.Listener) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.up && b.ln == ln
}

// heartbeats sends a heartbeat at once and then each heartbeatInterval.
func (b *backend) heartbeats(ln net.Listener) {
	for b.alive(ln) {
		b.mu.Lock()
		b.sequence++
		body, _ := json.Marshal(map[string]any{
			"address": b.addr,
			"born":    b.born,
			"info":    map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
			"status":  map[string]any{"state": "ready", "sequence": b.sequence, "warmup_left_s": 0},
		})
		b.mu.Unlock()
		if status, _ := b.d.call(http.MethodPut, "/api/instances/"+b.id, nil, body, time.Second); status == http.StatusOK {
			b.acked.Add(1)
		} else {
			b.unacked.Add(1)
		}
		time.Sleep(heartbeatInterval)
	}
}

func (b *backend) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if !b.up || b.ln != ln {
			b.mu.Unlock()
			_ = c.Close()
			return
		}
		b.conns[c] = struct{}{}
		b.mu.Unlock()
		go b.handle(c)
	}
}

// handle reads the requests of one connection.
func (b *backend) handle(c net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Header.Get("X-Expect-Instance") != b.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"), b.id)
			continue
		}
		b.running.Add(1)
		ok := b.serve(b, c, r, body)
		b.running.Add(-1)
		if !ok {
			return
		}
	}
}

// answer writes a whole answer with the backend's proof.
func (b *backend) answer(w net.Conn, r *http.Request, status int, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s.%d\r\nX-Backend-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %s\r\n\r\n",
		status, http.StatusText(status), r.Header.Get("X-Request-Id"), b.id, len(body), b.running.Load(), b.slots, strconv.Itoa(len(body)))
	if _, err := io.WriteString(w, head); err != nil {
		return false
	}
	_, err := w.Write(body)
	return err == nil
}
