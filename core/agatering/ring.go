// Package agatering provides the bounded ring that joins two duties.
//
// Each duty of a process runs in one goroutine and receives its work from a
// ring. A full ring never blocks the sender: the item is counted as dropped
// and the sender decides what a refused item means.
//
// # Usage
//
//	asks := agatering.New[ask](agatering.Config{Size: 1024})
//	if !asks.Offer(a) {
//		// refuse at once
//	}
//	for a := range asks.Items() {
//		// the receiving duty
//	}
package agatering

import "sync/atomic"

// defaultSize is the capacity of a ring whose Config names none.
const defaultSize = 1024

// Config sets up a Ring.
type Config struct {
	// Size is the number of items that the ring holds. The default is 1024.
	Size int
}

// Ring is a bounded queue between duties. Offer and Items are safe for
// concurrent use. Close must be called once, after the last Offer.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns an empty ring.
func New[T any](cfg Config) *Ring[T] {
	if cfg.Size <= 0 {
		cfg.Size = defaultSize
	}
	return &Ring[T]{items: make(chan T, cfg.Size)}
}

// Offer adds an item and reports whether there was room. It never blocks.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Items returns the channel that the receiving duty reads.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items that found the ring full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }

// Close ends the receiving duty's loop once the waiting items are read.
func (r *Ring[T]) Close() { close(r.items) }
