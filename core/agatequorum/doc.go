// Package agatequorum implements the Raft consensus algorithm for the control
// group: leader election with pre-vote, log replication, membership changes,
// leader leases and snapshots.
//
// A Core is a deterministic state machine without goroutines, clocks, random
// sources or I/O. The caller passes the time of a local monotonic clock and a
// random source, delivers messages, performs the writes that Ready returns, and
// reports their results to Advance. Equal inputs give equal outputs.
//
// # Rules
//
//   - A reply that depends on the term, the vote or a log entry is sent only
//     after Advance has reported these as durable. The leader counts its own
//     copy of an entry under the same rule.
//   - A leader commits an entry of its own term once a majority of the voters
//     hold durable copies of it; older entries are committed with it.
//   - A voter grants no vote for ElectionMin after it received a message from
//     the leader, and for ElectionMin after a restart. The exception is an
//     election started by a leadership transfer, for which the leader gives up
//     its lease. The lease is 10% shorter than ElectionMin, counted from the time
//     at which the leader sent the messages that a majority has answered.
//   - A leader that receives no replies from a majority for ElectionMax steps
//     down.
//   - The membership changes by one replica at a time. Learners receive the log
//     and have no vote.
//
// # Usage
//
//	c := agatequorum.New(agatequorum.Config{ID: 1, Rand: rand.Uint64}, saved)
//	c.Tick(now)          // at least twice per Config.Heartbeat
//	c.Step(now, message) // for each message received
//	rd := c.Ready()
//	// send rd.Messages, write rd.Write, restore rd.Restore, apply rd.Committed,
//	// answer rd.Reads
//	c.Advance(agatequorum.WriteResult{Written: true}) // once rd.Write is durable
//
// A Core is not safe for concurrent use.
package agatequorum
