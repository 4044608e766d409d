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

// stalled is an output that blocks until it is opened.
type stalled struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// Guards against a stalled output that holds up whoever writes a line, and
// against lines that are lost without a word.
func TestAsyncNeverBlocks(t *testing.T) {
	out := &stalled{open: make(chan struct{})}
	a := agatelog.NewAsync(out)
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
		t.Fatal("a stalled output blocks")
	}
	assert.Assert(t, a.Dropped() > 0)
	close(out.open)
	a.Close(10 * time.Second)
	text := out.buf.String()
	written := strings.Count(text, "a line of the log\n")
	assert.Equal(t, int64(written)+a.Dropped(), int64(lines))
	assert.Assert(t, strings.Contains(text, "log lines dropped: "))
}

// Guards against lines that are changed after they were handed over.
func TestAsyncKeepsLines(t *testing.T) {
	var buf bytes.Buffer
	a := agatelog.NewAsync(&buf)
	line := []byte("first\n")
	_, err := a.Write(line)
	assert.NilError(t, err)
	copy(line, "other\n")
	a.Close(10 * time.Second)
	assert.Equal(t, buf.String(), "first\n")
}

// Guards against a stalled output that makes a process hold many long lines.
func TestAsyncBoundsBytes(t *testing.T) {
	out := &stalled{open: make(chan struct{})}
	a := agatelog.NewAsync(out)
	line := bytes.Repeat([]byte("x"), 64<<10)
	for range 100 {
		_, err := a.Write(line)
		assert.NilError(t, err)
	}
	// 2 MiB hold 32 of them, besides one that is being written.
	assert.Assert(t, a.Dropped() >= 67, "%d of 100 lines were dropped", a.Dropped())
	close(out.open)
	a.Close(10 * time.Second)
}
