package agatebalance

import (
	"math"
	"time"
)

const (
	// initialHitSeconds and initialMissSeconds are the service times assumed for
	// objects that are cached and that are not, until there are responses.
	initialHitSeconds  = 0.08
	initialMissSeconds = 0.24
	// minServiceSeconds keeps service times above 0: the round-trip time that is
	// subtracted from the latency is an average and may exceed the latency.
	minServiceSeconds = 0.0005
	// serviceTimeWindow is the number of responses over which service times are
	// averaged, and slownessWindow the one over which the slowness of an upstream is.
	serviceTimeWindow = 64
	slownessWindow    = 12
	// slownessDecay is the time constant with which the slowness of an upstream
	// that sends no responses returns to normal, so that it is tried again.
	slownessDecay = 3 * time.Second
	// slownessThreshold is the slowness from which an upstream counts as slow.
	slownessThreshold = 1.5
	// minSlowness and maxSlowness bound the slowness that one response indicates.
	minSlowness = 0.25
	maxSlowness = 8.0
	// maxLateness is the time after the deadline up to which a response is measured.
	// Hosts wait 100 ms for a response that was on its way at the deadline.
	maxLateness = 500 * time.Millisecond
	// remeasureInterval is the time without a response after which a request is sent
	// although it is expected to be late, see search.remeasure. The load on upstreams
	// that are in fact too slow is one request per interval, host and class.
	remeasureInterval = time.Second
	// maxKnownObjects is the number of objects that a host remembers for each
	// upstream.
	maxKnownObjects = 256
)

// workClass tells what a host knows about the object of a request at an upstream.
type workClass uint8

const (
	workPlain     workClass = iota // the request has no object
	workKnown                      // the upstream answered this host for the object before
	workPreferred                  // not known, but the upstream is the first in the preference order
	workOther                      // not known, at a later upstream
	numWorkClasses
)

// Basis describes the process for which a request was chosen, and how its latency was
// estimated. Choose returns it with a Decision, and Finish compares it with the result.
type Basis struct {
	startedAtMs int64 // of the chosen upstream's process
	affinityKey uint64
	class       workClass
	// serviceSeconds and waitSeconds are the expected service time and the time in
	// the upstream's queue, both for an upstream of normal speed.
	serviceSeconds, waitSeconds float64
	deadline                    time.Time // see Request.Deadline
	remeasures                  bool      // see search.remeasure
}

// measures reports whether a response that arrives now tells the time of the upstream. One
// that arrives long after the deadline is read only if this host did not run meanwhile.
func (b *Basis) measures(now time.Time) bool {
	return b.deadline.IsZero() || now.Sub(b.deadline) <= maxLateness
}

// StartedAtMs returns the start of the chosen upstream's process in Unix milliseconds.
func (b *Basis) StartedAtMs() int64 { return b.startedAtMs }

// workTimes estimates the service times of a service by class of request. They
// follow the observed latencies, so they reflect how many objects are cached and
// how much that saves.
type workTimes struct {
	classes [numWorkClasses]ewma // seconds
	mean    ewma                 // seconds, of all requests
	// ratio is the natural logarithm of the ratio of response times to expected
	// ones, averaged over all upstreams.
	ratio ewma
	// measuredAt is when a response of each class was last measured, or a request
	// was last sent to do so.
	measuredAt [numWorkClasses]time.Time
}

// seconds is the expected service time of a class. Classes without responses are
// derived from the others.
func (w *workTimes) seconds(class workClass) float64 {
	if c := &w.classes[class]; c.samples > 0 {
		return c.mean
	}
	const missRatio = initialMissSeconds / initialHitSeconds
	switch class {
	case workKnown:
		return w.seconds(workPreferred) / missRatio
	case workOther:
		return w.seconds(workPreferred)
	}
	return initialMissSeconds
}

// meanSeconds is the expected service time of a queued request.
func (w *workTimes) meanSeconds() float64 {
	if w.mean.samples == 0 {
		return initialMissSeconds
	}
	return w.mean.mean
}

// missCost is the additional service time of an object that is not cached,
// relative to the one of a cached object. It is 0 if caches save nothing.
func (w *workTimes) missCost() float64 {
	hit := w.seconds(workKnown)
	return min(max(0, w.seconds(workOther)/hit-1), maxMissCost)
}

// missShare estimates the share of requests that run on objects that are not cached,
// from their mean service time. It is 0 if caches save nothing.
func (w *workTimes) missShare() float64 {
	hit, miss := w.seconds(workKnown), w.seconds(workOther)
	if miss <= hit {
		return 0
	}
	return min(max(0, (w.meanSeconds()-hit)/(miss-hit)), 1)
}

// outdated reports whether no response of a class has been measured lately.
func (w *workTimes) outdated(now time.Time, class workClass) bool {
	return now.Sub(w.measuredAt[class]) >= remeasureInterval
}

// add adds a response. Its service time is the part of the response time that was
// expected to be service, so that a busy upstream yields a sample too. The response to a
// request that remeasures replaces the estimates that it has shown to be out of date.
func (w *workTimes) add(now time.Time, b *Basis, responseSeconds, slowness float64) {
	part := b.serviceSeconds / (b.serviceSeconds + b.waitSeconds)
	sample := max(minServiceSeconds, responseSeconds/slowness*part)
	if b.remeasures {
		w.classes[b.class], w.mean = ewma{}, ewma{}
	} else {
		w.ratio.add(logRatio(b, responseSeconds), serviceTimeWindow)
	}
	w.classes[b.class].add(sample, serviceTimeWindow)
	w.mean.add(sample, serviceTimeWindow)
	w.measuredAt[b.class] = now
}

// logRatio is the bounded logarithm of the ratio of a response time to the expected
// one at an upstream of normal speed.
func logRatio(b *Basis, responseSeconds float64) float64 {
	ratio := responseSeconds / (b.serviceSeconds + b.waitSeconds)
	return math.Log(min(max(ratio, minSlowness), maxSlowness))
}

// slowness estimates how much slower than the others of its service an upstream
// is, as the ratio of response times to expected ones.
type slowness struct {
	ratio      ewma // natural logarithm
	answeredAt time.Time
}

func (s *slowness) add(now time.Time, b *Basis, responseSeconds float64) {
	s.ratio.add(logRatio(b, responseSeconds), slownessWindow)
	s.answeredAt = now
}

// value is the estimate. It decays to 1 while no responses arrive. Few responses
// count less.
func (s *slowness) value(now time.Time, w *workTimes) float64 {
	if s.ratio.samples == 0 {
		return 1
	}
	confidence := float64(s.ratio.samples) / slownessWindow
	decay := math.Exp(-now.Sub(s.answeredAt).Seconds() / slownessDecay.Seconds())
	ratio := math.Exp((s.ratio.mean - w.ratio.mean) * confidence * decay)
	if ratio < slownessThreshold {
		return 1
	}
	return ratio
}

// knownObjects is a bounded set of objects that an upstream has processed for this
// host. The zero value is ready to use.
type knownObjects struct {
	keys map[uint64]struct{}
}

func (k *knownObjects) has(key uint64) bool {
	_, ok := k.keys[key]
	return ok
}

// add adds an object. A full set forgets an arbitrary other one.
func (k *knownObjects) add(key uint64) {
	if k.keys == nil {
		k.keys = map[uint64]struct{}{}
	}
	if len(k.keys) >= maxKnownObjects && !k.has(key) {
		for other := range k.keys {
			delete(k.keys, other)
			break
		}
	}
	k.keys[key] = struct{}{}
}
