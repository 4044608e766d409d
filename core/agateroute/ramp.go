package agateroute

import "time"

const (
	// An incarnation first seen by this entry host with a sequence number above
	// warmSequence has run for 10 s and counts as warm.
	warmSequence = 20

	// rampSlowRatio is the ratio to the mean latency up to which a response
	// raises the limit by rampStep.
	rampSlowRatio = 2.0

	// rampStep is the increase of the limit, in requests, per response in time.
	rampStep = 1.0

	// rampSlowStep is the increase per slow response. It is not zero, because
	// otherwise the ramp of a service that became permanently slower would never
	// complete.
	rampSlowStep = 0.05

	// shiftIdleTimeout is the time without shifted requests after which a region
	// counts as cold again.
	shiftIdleTimeout = 10 * time.Second
)

// ramp limits the requests in flight at a cold upstream or region.
type ramp struct {
	limit float64 // requests in flight allowed
	warm  bool    // the limit no longer applies
}

// start restarts the ramp for an incarnation first seen at a sequence number.
func (r *ramp) start(sequence uint64) {
	*r = ramp{limit: 1, warm: sequence > warmSequence}
}

// recordResponse raises the limit after a response. The ramp is complete at the
// given number of slots.
func (r *ramp) recordResponse(inTime bool, slots float64) {
	if r.warm {
		return
	}
	if inTime {
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
