package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestFor returns the text of a request for an object.
func requestFor(object, method, path, id string, deadline time.Duration, body string) string {
	text := request(method, path, id, deadline, body)
	line, rest, _ := strings.Cut(text, "\r\n")
	return line + "\r\nX-Affinity-Key: " + object + "\r\n" + rest
}

// request returns the text of a request.
func request(method, path, id string, deadline time.Duration, body string) string {
	length := ""
	if method != "GET" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s",
		method, path, hostName, id, deadline.Milliseconds(), length, body)
}

// waitReady waits until an entry host is ready and serves a request.
func waitReady(p *process, limit time.Duration) bool {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for time.Now().Before(end) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", p.ip, readyPort))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				conn, err := net.Dial("tcp", net.JoinHostPort(p.ip, strconv.Itoa(frontPort)))
				if err == nil {
					status, _ := exchange(conn, bufio.NewReader(conn), "GET", "/files/1", newID(), 2*time.Second, "")
					conn.Close()
					if status == 200 {
						return true
					}
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// exchange sends a request on a kept connection and reads the response. The status is 0
// if there was no whole response, and read tells whether any byte of one arrived.
func exchange(conn net.Conn, br *bufio.Reader, method, path, id string, deadline time.Duration, body string) (status int, read bool) {
	_ = conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(conn, request(method, path, id, deadline, body)); err != nil {
		return 0, false
	}
	if _, err := br.Peek(1); err != nil {
		return 0, false
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return 0, true
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		return 0, true
	}
	return resp.StatusCode, true
}

// slowReader reads a little at a time.
type slowReader struct {
	r     io.Reader
	bytes int
	pause time.Duration
}

func (s *slowReader) Read(b []byte) (int, error) {
	time.Sleep(s.pause)
	return s.r.Read(b[:min(len(b), s.bytes)])
}

// resolve asks the directory for the entry hosts of a consumer in a zone until it names
// some, for up to ten seconds.
func resolve(d *deployment, zone string) []string {
	end := time.Now().Add(10 * time.Second)
	for time.Now().Before(end) {
		for _, p := range d.role("control") {
			if named := resolveAt(p, zone); len(named) > 0 {
				return named
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

func resolveAt(p *process, zone string) []string {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=%s&zone=%s", p.ip, directoryPort, hostName, regionOf[zone], zone))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		FrontAddresses []string `json:"front_addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.FrontAddresses
}
