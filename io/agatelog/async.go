package agatelog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"agategate/core/agatering"
)

const (
	// maxQueuedLines and maxQueuedBytes limit the lines that wait for a slow
	// output.
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
	// dropNoticeInterval is the minimum time between two lines that report the
	// number of dropped lines.
	dropNoticeInterval = time.Second
)

// AsyncWriter is a non-blocking writer: a goroutine writes the lines from a
// bounded queue. Lines that do not fit into the queue are dropped, and a line
// reports their total. It is safe for concurrent use.
type AsyncWriter struct {
	out         io.Writer
	queue       *agatering.Queue[[]byte]
	queuedBytes atomic.Int64
	dropped     atomic.Int64
	done        chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to out, which may block.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		out:   out,
		queue: agatering.New[[]byte](agatering.Config{Capacity: maxQueuedLines}),
		done:  make(chan struct{}),
	}
	go a.run()
	return a
}

// Write queues a copy of one line. It never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	n := int64(len(line))
	if a.queuedBytes.Add(n) > maxQueuedBytes {
		a.queuedBytes.Add(-n)
		a.dropped.Add(1)
		return len(line), nil
	}
	if !a.queue.Offer(append([]byte(nil), line...)) {
		a.queuedBytes.Add(-n)
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or that out failed to
// write.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

func (a *AsyncWriter) run() {
	defer close(a.done)
	reported := int64(0)
	reportedAt := time.Time{}
	for line := range a.queue.Items() {
		a.queuedBytes.Add(-int64(len(line)))
		if _, err := a.out.Write(line); err != nil {
			a.dropped.Add(1)
		}
		now := time.Now()
		if n := a.dropped.Load(); n > reported && now.Sub(reportedAt) >= dropNoticeInterval {
			reported, reportedAt = n, now
			_, _ = fmt.Fprintf(a.out, "log lines dropped: %d since the start\n", n) // a failed notice is dropped like any line
		}
	}
}

// Close writes the queued lines and waits for at most the timeout. Write must
// not be called afterwards.
func (a *AsyncWriter) Close(timeout time.Duration) {
	a.queue.Close()
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}
