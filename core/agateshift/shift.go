// Package agateshift limits overflow, the traffic that is served outside its
// home region. Overflow must stay within the caps of the shift rules, the
// capacity of the links and the headroom of the destinations. The Granter at
// the control leader allocates these limits to the entry hosts as rate grants
// of short duration; the Holder at each entry host enforces them.
//
// # Usage
//
// At the control leader, from the moment it is elected:
//
//	g := agateshift.NewGranter(agateshift.Config{ElectedAt: now, Term: term})
//	g.Configure(now, inv)
//	g.Report(now, "gt-1", reports)
//	grant := g.Grant(now, request)
//
// At an entry host:
//
//	h := agateshift.NewHolder(agateshift.HolderConfig{Host: "gt-1", Epoch: epoch})
//	request := h.NewGrantRequest(now, "quotes", "centro", "oriente", 120, 1e6, 16<<10)
//	... // send the grant request, receive the grant
//	h.Accept(now, grant)
//	if h.Take(now, "quotes", "centro", "oriente", size) {
//		... // forward the caller's request immediately
//	}
//
// # Accounting
//
// A holder sends at most rate + burst in any second, where the burst is 100 ms
// of the rate, or one request if that is more. The granter accounts for a grant
// with this sum, its usage, so that a cap holds in every second, bursts
// included. A grant is counted for its duration and one more second, because
// traffic sent under an expired grant and traffic sent under the next one can
// fall into the same second.
package agateshift

import (
	"math"
	"time"
)

// Defaults of a Config.
const (
	DefaultGrantDuration = 2 * time.Second
	DefaultMaxReportAge  = 1500 * time.Millisecond
)

// MaxClockDrift is the largest tolerated difference between the rates of two
// hosts' clocks, as a fraction.
const MaxClockDrift = 0.1

// capWindow is the length of the sliding window in which a cap holds.
const capWindow = time.Second

const (
	// burstDuration is the time in which an empty token bucket fills at its rate.
	burstDuration = 100 * time.Millisecond
	// minRequestBurst is the minimum size of a token bucket for requests. A
	// bucket that cannot hold one token would never admit a request.
	minRequestBurst = 1.0
)

// LoadReport is one entry host's report about one service in one region.
type LoadReport struct {
	Service string
	Region  string
	// Capacity is the capacity of the region's upstreams in requests/s, for
	// all entry hosts together. 0 means that they cannot serve any request.
	// UnknownCapacity means that this host has no estimate, for example because
	// it has sent no request there yet; its Demand counts nevertheless.
	Capacity float64
	// Demand is this host's load on the region's upstreams in requests/s,
	// without overflow sent under grants.
	Demand float64
	// Age is the age of the measurement when it was reported.
	Age time.Duration
}

// UnknownCapacity is the Capacity of a LoadReport whose host has no estimate.
const UnknownCapacity = -1.0

// GrantRequest asks the granter for a rate of overflow. Holder.NewGrantRequest
// creates it.
type GrantRequest struct {
	Host string
	// Epoch changes with each start of the host's process.
	Epoch uint64
	// ID increases with each grant request of a process.
	ID      uint64
	Service string
	From    string
	To      string
	// RequestRate and ByteRate are the requested rates per second.
	RequestRate float64
	ByteRate    float64
	// MaxRequestBytes is the size of the largest request that the grant must
	// admit.
	MaxRequestBytes float64
}

// Grant is the reply to a GrantRequest. It replaces earlier grants to the same
// process for the same service and regions.
type Grant struct {
	// Term is the granter's term.
	Term  uint64
	Host  string
	Epoch uint64
	// RequestID is the ID of the GrantRequest.
	RequestID uint64
	Service   string
	From      string
	To        string
	// RequestRate and ByteRate are the granted rates per second. Either both
	// are 0 or neither is.
	RequestRate float64
	ByteRate    float64
	// MaxRequestBytes is that of the GrantRequest. The bucket for bytes holds at
	// least as much.
	MaxRequestBytes float64
	// Duration starts when the GrantRequest was created.
	Duration time.Duration
	// Reason is for the decision log:
	//   - "granted"
	//   - "no-rule": no shift rule allows the flow
	//   - "new-granter": the StartupDelay has not passed
	//   - "headroom": the destination has no free capacity
	//   - "ramp": the load of the destination must not grow faster
	//   - "cap": the request cap of the shift rule is used up
	//   - "bytes": the byte cap of the shift rule or the link is used up
	Reason string
}

// flowKey identifies a flow: the overflow of a service from one region to
// another.
type flowKey struct {
	service string
	from    string
	to      string
}

// burst returns the size of the token bucket for a rate. It is 0 for a rate of
// 0, and otherwise at least minBurst, the tokens that one request can take.
func burst(rate, minBurst float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(rate*burstDuration.Seconds(), minBurst)
}

// maxPerSecond returns the usage of a rate: the most that a token bucket admits
// within one second.
func maxPerSecond(rate, minBurst float64) float64 {
	return rate*capWindow.Seconds() + burst(rate, minBurst)
}

// rateForUsage is the inverse of maxPerSecond. It returns 0 if the usage is not
// above minBurst.
func rateForUsage(usage, minBurst float64) float64 {
	withMinBurst := usage - minBurst
	withProportionalBurst := usage / (capWindow + burstDuration).Seconds()
	return max(min(withMinBurst, withProportionalBurst), 0)
}

// sanitize returns x if it is finite and not negative, otherwise 0.
func sanitize(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return 0
	}
	return x
}
