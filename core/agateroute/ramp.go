package agateroute

import "time"

const (
	// warmSequence is the announcement from which an upstream that this entry
	// host sees for the first time counts as warm: it has run for 10 s.
	warmSequence = 20

	// rampSlow is the ratio to the usual latency up to which an answer counts
	// as in time for the ramp.
	rampSlow = 2.0

	// rampStep is what an answer in time opens, in slots.
	rampStep = 1.0

	// rampLate is what a slow answer opens. It is not zero, or a service whose
	// answers became slower for good would never open.
	rampLate = 0.05

	// shiftIdle is how long a region takes to cool after the last overflow.
	shiftIdle = 10 * time.Second
)

// ramp bounds the work of a cold upstream or region.
type ramp struct {
	open float64 // requests in flight allowed
	warm bool    // no bound
}

// start begins a ramp for an incarnation with this first known sequence.
func (r *ramp) start(sequence uint64) {
	*r = ramp{open: 1, warm: sequence > warmSequence}
}

// answered opens the ramp after an answer.
func (r *ramp) answered(intime bool, full float64) {
	if r.warm {
		return
	}
	if intime {
		r.open += rampStep
	} else {
		r.open += rampLate
	}
	r.warm = r.open >= full
}

// failed closes the ramp after a failure.
func (r *ramp) failed() {
	r.open = max(1, r.open/2)
}
