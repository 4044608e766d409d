// Package agatequorum is the replicated log of the control group: elections,
// replication, membership, leases and snapshots.
//
// A Core decides and nothing else. It has no goroutines, clocks, random
// sources or I/O: the caller passes the time of a local monotonic clock and a
// random source, delivers messages, writes what Ready asks to be written, and
// says through Advance when the write is durable. Equal inputs give equal
// outputs.
//
// # Rules
//
//   - A reply that depends on the term, the vote or an entry leaves the core
//     only after Advance said that these are durable. The leader's own copy
//     counts under the same rule.
//   - A leader commits an entry of its own term once a majority of the voters
//     hold durable copies of it; older entries commit with it.
//   - A voter that heard from a leader refuses its vote for ElectionMin, also
//     after a restart. The leader's lease is 10% shorter than that, counted
//     from the time at which it sent the messages that a majority answered.
//   - A leader that hears from no majority for ElectionMax steps down.
//   - Membership changes one replica at a time. Learners hold a copy and have
//     no vote.
//
// # Usage
//
//	c := agatequorum.New(agatequorum.Config{ID: 1, Rand: rand.Uint64}, saved)
//	c.Tick(now)          // every few milliseconds
//	c.Step(now, message) // for each message received
//	rd := c.Ready()
//	// send rd.Messages, write rd.Write, restore rd.Restore, apply rd.Committed,
//	// answer rd.Reads
//	c.Advance(agatequorum.Done{Written: true}) // once rd.Write is durable
//
// A Core is not safe for concurrent use.
package agatequorum
