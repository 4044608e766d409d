// Package agatering provides a bounded queue whose senders never block.
//
// A Queue is meant for components that run in one goroutine and receive their
// work from others. A full Queue rejects the item, and the sender decides how to
// handle that.
//
// # Usage
//
//	requests := agatering.New[request](agatering.Config{Capacity: 1024})
//	if !requests.Offer(r) {
//		// reject the request immediately
//	}
//	for r := range requests.Items() {
//		// consumer
//	}
package agatering

import "sync/atomic"

const defaultCapacity = 1024

// Config configures a Queue.
type Config struct {
	// Capacity is the maximum number of queued items. The default is 1024.
	Capacity int
}

// Queue is a bounded FIFO queue. All methods but Close are safe for concurrent
// use. Close must be called once, after the last Offer.
type Queue[T any] struct {
	items    chan T
	rejected atomic.Uint64
}

// New returns an empty Queue.
func New[T any](cfg Config) *Queue[T] {
	if cfg.Capacity <= 0 {
		cfg.Capacity = defaultCapacity
	}
	return &Queue[T]{items: make(chan T, cfg.Capacity)}
}

// Offer adds an item and reports whether there was room for it. It never blocks.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		q.rejected.Add(1)
		return false
	}
}

// Items returns the channel from which the consumer receives items.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Rejected returns the number of items rejected because the queue was full.
func (q *Queue[T]) Rejected() uint64 { return q.rejected.Load() }

// Close closes the channel of Items. The consumer still receives the items
// already queued.
func (q *Queue[T]) Close() { close(q.items) }
