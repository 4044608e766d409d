// Package agatering provides a bounded, non-blocking queue between goroutines.
//
// Each component of the process runs in one goroutine and receives its work
// from a Ring. A full Ring never blocks the sender: the item is dropped and
// counted, and the sender decides how to handle the rejection.
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

// Config configures a Ring.
type Config struct {
	// Capacity is the maximum number of queued items. The default is 1024.
	Capacity int
}

// Ring is a bounded FIFO queue. All methods but Close are safe for concurrent
// use. Close must be called once, after the last Offer.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns an empty Ring.
func New[T any](cfg Config) *Ring[T] {
	if cfg.Capacity <= 0 {
		cfg.Capacity = defaultCapacity
	}
	return &Ring[T]{items: make(chan T, cfg.Capacity)}
}

// Offer adds an item and reports whether there was room for it. It never blocks.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the channel from which the consumer receives items.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items rejected because the ring was full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

// Close closes the channel of Items. The consumer still receives the items
// already queued.
func (r *Ring[T]) Close() { close(r.items) }
