package agateops_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/io/agateops"
)

// Runs the lines of testdata/answers.txt, which states the failures that they guard
// against. Each attempt must end with the reply, long before the client gives up.
func TestAnswers(t *testing.T) {
	data, err := os.ReadFile("testdata/answers.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Split(line, "|")
		for i := range f {
			f[i] = strings.TrimSpace(f[i])
		}
		raw, err := strconv.Unquote(f[3])
		assert.NilError(t, err, line)
		t.Run(f[0], func(t *testing.T) { t.Parallel(); testAnswer(t, f[1], f[2], raw, f[4]) })
	}
}

func testAnswer(t *testing.T, command, end, raw, want string) {
	const replyTimeout = 3 * time.Second
	c, err := agateops.NewClient(agateops.ClientConfig{
		Hosts: []string{startRawHost(t, end, raw)}, RequestTimeout: replyTimeout,
		RetryDelay: time.Minute, // so that each command is attempted once
	})
	assert.NilError(t, err)
	start := time.Now()
	err = runCommand(withTimeout(t, 2*replyTimeout), c, command)
	assert.Equal(t, string(outcomeOrError(err)), want, "%v", err)
	assert.Assert(t, time.Since(start) < replyTimeout, "the attempt must end with the reply")
}

// outcomeOrError returns the outcome of a call, or the text of an error without one.
func outcomeOrError(err error) agateops.Outcome {
	var call *agateops.CallError
	switch {
	case err == nil:
		return agateops.Done
	case errors.As(err, &call):
		return call.Outcome
	}
	return agateops.Outcome(err.Error())
}

func runCommand(ctx context.Context, c *agateops.Client, command string) (err error) {
	const documentBytes = 8 << 20 // more than the socket buffers hold
	switch command {
	case "apply":
		r := change("c", 2)
		r.Document = []byte(strings.Repeat("#", documentBytes))
		_, err = c.Apply(ctx, r)
	case "member":
		_, err = c.ChangeMember(ctx, agateops.MemberRequest{Action: agateops.Remove, ID: 3})
	case "config":
		_, err = c.Config(ctx)
	case "plan":
		_, _, err = c.Plan(ctx)
	case "status":
		_, err = c.Status(ctx)
	}
	return err
}

// startRawHost starts a control host that answers each request with the same bytes, and
// returns its address.
func startRawHost(t *testing.T, end, raw string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerRaw(c.(*net.TCPConn), end, raw)
		}
	}()
	return ln.Addr().String()
}

func answerRaw(c *net.TCPConn, end, raw string) {
	const writeStallTime = 20 * time.Millisecond // until the request cannot be written any further
	defer c.Close()
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	if end == "reset" {
		io.WriteString(c, raw)
		time.Sleep(writeStallTime)
		c.SetLinger(0)
		return
	}
	io.Copy(io.Discard, r.Body)
	io.WriteString(c, raw)
	if end == "keep" {
		io.Copy(io.Discard, br) // until the client closes the connection
	}
}

// Guards against a document that is larger than a client reads and is cut off without an
// error.
func TestOversizedReply(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", `"3"`)
		part := make([]byte, 1<<20)
		for range 17 {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})}
	go srv.Serve(ln)
	defer srv.Close()
	c, err := agateops.NewClient(agateops.ClientConfig{Hosts: []string{ln.Addr().String()}, RetryDelay: time.Minute})
	assert.NilError(t, err)
	got, err := c.Config(withTimeout(t, 10*time.Second))
	assert.Equal(t, outcomeOrError(err), agateops.NotRun, "%d bytes", len(got.Document))
}
