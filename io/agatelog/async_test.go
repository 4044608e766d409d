package agatelog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/io/agatelog"
)

// blockedWriter is a writer that blocks until the channel unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// Guards against a stalled output that blocks goroutines that log, and against
// dropped lines that are not counted and reported.
func TestAsyncNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	a := agatelog.NewAsyncWriter(out)
	const lines = 20000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, err := a.Write([]byte("a line of the log\n"))
			assert.Check(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the output is stalled")
	}
	assert.Assert(t, a.Dropped() > 0)
	close(out.unblock)
	a.Close(10 * time.Second)
	text := out.buf.String()
	written := strings.Count(text, "a line of the log\n")
	assert.Equal(t, int64(written)+a.Dropped(), int64(lines))
	assert.Assert(t, strings.Contains(text, "log lines dropped: "))
}

// Guards against queued lines that change when the caller reuses its buffer.
func TestAsyncKeepsLines(t *testing.T) {
	var buf bytes.Buffer
	a := agatelog.NewAsyncWriter(&buf)
	line := []byte("first\n")
	_, err := a.Write(line)
	assert.NilError(t, err)
	copy(line, "other\n")
	a.Close(10 * time.Second)
	assert.Equal(t, buf.String(), "first\n")
}

// Guards against unbounded memory for long lines while the output is stalled.
func TestAsyncBoundsBytes(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	a := agatelog.NewAsyncWriter(out)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range 100 {
		_, err := a.Write(line)
		assert.NilError(t, err)
	}
	// The queue of 2 MiB holds 32 lines. One more is being written.
	assert.Assert(t, a.Dropped() >= 67, "%d of 100 lines were dropped", a.Dropped())
	close(out.unblock)
	a.Close(10 * time.Second)
}
