package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// labelPath is that of the requests that must not run twice.
const labelPath = "/tadu31/label"

// newID returns the id of one attempt of a client.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// reply is what a client got for one request: a status, or 0 if the connection ended or
// the time limit passed without an answer.
type reply struct {
	status int
	stamp  string
	body   []byte
	// notRead means that the connection could not be opened.
	notRead bool
	err     error
}

// request sends one request on a new connection.
func request(addr, method, path, id string, body []byte, limit time.Duration) reply {
	end := time.Now().Add(limit)
	c, err := net.DialTimeout("tcp", addr, min(time.Second, limit))
	if err != nil {
		return reply{notRead: true, err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(end)
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, id, limit.Milliseconds(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, stamp: resp.Header.Get("X-Response-Stamp"), body: b}
}

// asTimeout reports whether an error is that of a time limit.
func asTimeout(err error, ne *net.Error) bool { return errors.As(err, ne) && (*ne).Timeout() }
