// Package agatelimit holds the limits that upstreams name for all entry hosts
// together. Each host learns of a limit from the responses that it gets itself, and
// through the control group from those of other hosts.
//
// # Usage
//
//	var b agatelimit.Board
//	b.Merge(now, reports)                   // from a host or a replica
//	reports, cursor := b.Since(now, cursor) // for another one
package agatelimit

import "agategate/core/agateboard"

// Limit is the request rate that an upstream takes from all hosts together, as it
// names it in its responses. The zero value is no limit.
type Limit struct {
	Named bool
	Rate  float64 // requests per second, at least 0
}

// Report is a statement of an upstream on its limit.
type Report = agateboard.Report[Limit]

// Board keeps the newest statement of each upstream on its limit. Hosts keep a limit
// that was named to themselves beyond its retention.
type Board = agateboard.Board[Limit]
