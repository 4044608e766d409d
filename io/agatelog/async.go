package agatelog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"agategate/core/agatering"
)

const (
	// asyncLines is the number of lines that wait for a slow output, and
	// asyncBytes their size.
	asyncLines = 4096
	asyncBytes = 2 << 20
	// asyncNotice is how often dropped lines are told of.
	asyncNotice = time.Second
)

// Async is an output that never blocks: lines wait in a bounded ring for a
// goroutine that writes them. Lines that find no room are dropped and counted;
// a line tells how many. It is safe for concurrent use.
type Async struct {
	out     io.Writer
	ring    *agatering.Queue[[]byte]
	size    atomic.Int64
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsync returns an output in front of out, which may block.
func NewAsync(out io.Writer) *Async {
	a := &Async{
		out:  out,
		ring: agatering.New[[]byte](agatering.Config{Capacity: asyncLines}),
		done: make(chan struct{}),
	}
	go a.run()
	return a
}

// Write queues one line. It always reports success.
func (a *Async) Write(line []byte) (int, error) {
	n := int64(len(line))
	if a.size.Add(n) > asyncBytes {
		a.size.Add(-n)
		a.dropped.Add(1)
		return len(line), nil
	}
	if !a.ring.Offer(append([]byte(nil), line...)) {
		a.size.Add(-n)
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that found no room.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

func (a *Async) run() {
	defer close(a.done)
	told := int64(0)
	at := time.Time{}
	for line := range a.ring.Items() {
		a.size.Add(-int64(len(line)))
		if _, err := a.out.Write(line); err != nil {
			a.dropped.Add(1)
		}
		now := time.Now()
		if n := a.dropped.Load(); n > told && now.Sub(at) >= asyncNotice {
			told, at = n, now
			_, _ = fmt.Fprintf(a.out, "log lines dropped: %d since the start\n", n) // lost like the lines
		}
	}
}

// Close writes the lines that wait, for at most d. No Write may follow.
func (a *Async) Close(d time.Duration) {
	a.ring.Close()
	select {
	case <-a.done:
	case <-time.After(d):
	}
}
