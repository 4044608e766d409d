// Package agateshift keeps overflow, the traffic that leaves its region,
// within the caps of the shifts, the capacity of the links and the headroom of
// the destinations. The Granter at the control leader divides what there is
// among the entry hosts; the Holder at each entry host spends its grants.
//
// # Usage
//
// At the control leader, from the moment it is elected:
//
//	g := agateshift.NewGranter(agateshift.Config{Now: now, Term: term})
//	g.Configure(now, inv)
//	g.Report(now, "gt-1", demands)
//	grant := g.Grant(now, ask)
//
// At an entry host:
//
//	h := agateshift.NewHolder(agateshift.HolderConfig{Host: "gt-1", Epoch: epoch})
//	ask := h.Ask(now, "quotes", "centro", "oriente", 120, 1e6, 16<<10)
//	... // send the ask, receive the grant
//	h.Accept(now, grant)
//	if h.Take(now, "quotes", "centro", "oriente", size) {
//		... // send the request at once
//	}
//
// # Accounting
//
// A holder sends at most rate + burst in any second, where the burst is 100 ms
// of the rate, or one request if that is more. The granter counts a grant with
// this sum, so that a cap holds in every second, bursts included. It counts a
// grant for its duration and one second more, because what was sent under an
// ended grant and what is sent under the next one can fall into one second.
package agateshift

import (
	"math"
	"time"
)

// Defaults of a Config.
const (
	DefaultDuration = 2 * time.Second
	DefaultMaxAge   = 1500 * time.Millisecond
)

// Drift is how much the rates of two hosts' clocks may differ.
const Drift = 0.1

// window is the time over which a cap holds.
const window = time.Second

const (
	// burstTime is the time whose tokens a bucket can hold.
	burstTime = 100 * time.Millisecond
	// oneRequest is the least size of a bucket of requests. A bucket that
	// cannot hold one request would never let one through.
	oneRequest = 1.0
)

// Demand is what one entry host knows about one service in one region.
type Demand struct {
	Service string
	Region  string
	// Capacity is what the region's upstreams can answer, in requests/s, for
	// all entry hosts together. 0 means that nothing can be answered, and
	// Unknown that this host cannot tell, for example because it has sent no
	// request there yet; its own demand counts all the same.
	Capacity float64
	// Own is this host's demand on the region's upstreams in requests/s,
	// without overflow sent under grants.
	Own float64
	// Age is how old the figures were when they were sent.
	Age time.Duration
}

// Unknown is the Capacity of a Demand whose host cannot tell.
const Unknown = -1.0

// Ask is a request for a grant. Holder.Ask makes it.
type Ask struct {
	Host string
	// Epoch changes with each start of the host's process.
	Epoch uint64
	// ID rises with each ask of a process.
	ID      uint64
	Service string
	From    string
	To      string
	// Requests and Bytes are the rates asked for, per second.
	Requests float64
	Bytes    float64
	// Size is the largest request that the grant must let through, in bytes.
	Size float64
}

// Grant is the answer to an Ask. It replaces earlier grants to the same
// process for the same service and regions.
type Grant struct {
	// Term is the granter's term.
	Term  uint64
	Host  string
	Epoch uint64
	// Ask is the ID of the ask that is answered.
	Ask     uint64
	Service string
	From    string
	To      string
	// Requests and Bytes are the rates granted, per second. Both are 0, or
	// neither is.
	Requests float64
	Bytes    float64
	// Size is the least burst in bytes.
	Size float64
	// Duration counts from when the ask was made.
	Duration time.Duration
	// Reason names what limited the grant, for the decision log.
	Reason string
}

// flowKey names the traffic that a shift allows.
type flowKey struct {
	service string
	from    string
	to      string
}

// burst returns the size of the bucket for a rate, where one request takes
// least tokens.
func burst(rate, least float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(rate*burstTime.Seconds(), least)
}

// perSecond returns how much a rate allows in one second.
func perSecond(rate, least float64) float64 {
	return rate*window.Seconds() + burst(rate, least)
}

// rateFor is the inverse of perSecond. It returns 0 if the use leaves nothing beside
// the burst.
func rateFor(use, least float64) float64 {
	slow := use - least
	fast := use / (window + burstTime).Seconds()
	return max(min(slow, fast), 0)
}

// rate returns x if it can be a rate, otherwise 0.
func rate(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return 0
	}
	return x
}
