package agateroute

import "time"

const (
	// An incarnation first seen by this entry host with a sequence number above
	// warmSequence, which takes 10 s at the default interval, counts as warm.
	warmSequence = 20

	// rampSlowRatio is the ratio to the mean latency above which a response
	// counts as slow.
	rampSlowRatio = 2.0

	// rampStep is the increase of the limit, in requests, per response that is
	// not slow.
	rampStep = 1.0

	// rampSlowStep is the increase per slow response. It is not zero, because
	// otherwise the ramp of a service that became permanently slower would never
	// complete.
	rampSlowStep = 0.05

	// shiftIdleTimeout is the time without shifted requests after which a region
	// counts as cold again.
	shiftIdleTimeout = 10 * time.Second
)

// ramp limits the requests in flight at a cold upstream, or the requests shifted
// to a cold region.
type ramp struct {
	limit float64 // requests in flight allowed
	warm  bool    // the limit no longer applies
}

// start restarts the ramp for an incarnation first seen at a sequence number.
func (r *ramp) start(sequence uint64) {
	*r = ramp{limit: 1, warm: sequence > warmSequence}
}

// recordResponse raises the limit after a response, by less if the response was
// slow. The ramp is complete at the given number of slots.
func (r *ramp) recordResponse(fast bool, slots float64) {
	if r.warm {
		return
	}
	if fast {
		r.limit += rampStep
	} else {
		r.limit += rampSlowStep
	}
	r.warm = r.limit >= slots
}

// recordFailure halves the limit after a failure.
func (r *ramp) recordFailure() {
	r.limit = max(1, r.limit/2)
}
