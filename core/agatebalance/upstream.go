package agatebalance

import (
	"math"
	"time"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which an
	// upstream is ejected, that is, gets no requests for a while.
	ejectAfterFailures = 3
	// minEjection and maxEjection bound the duration of an ejection, which
	// doubles with each consecutive one.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// failureWindow is the number of attempts over which failures are averaged.
	failureWindow = 12
	// failureDecay is the time constant with which the failure rate decays.
	failureDecay = 2 * time.Second
	// latencyWindow is the number of responses over which latency is averaged.
	latencyWindow = 16
	// loadWindow is the number of load reports over which the load caused by
	// other hosts is averaged; a single report fluctuates too much.
	loadWindow = 3
	// loadReportFreshness is the age up to which a reported load counts in full, and
	// loadReportDecay the time constant with which it decays afterwards.
	loadReportFreshness = time.Second
	loadReportDecay     = time.Second
	// loadMemory is the time constant with which a reported load decays that only makes
	// this host prefer another upstream. Load that comes from many requests for the same
	// objects lasts, and one of many hosts gets few reports of each upstream.
	loadMemory = 30 * time.Second
	// expiredGrace is the time after its last response for which an expired
	// upstream is used like the others.
	expiredGrace = 3 * time.Second
	// maxColdHosts is the number of hosts that may send to a cold upstream. With
	// more, the share of each host in a WarmupRate of a few requests per second
	// would be below one.
	maxColdHosts = 4
)

// ewma is an exponentially weighted moving average.
type ewma struct {
	mean    float64
	samples int
}

// add adds x with weight 1/window, or 1/samples while there are fewer samples.
func (e *ewma) add(x float64, window int) {
	e.samples = min(e.samples+1, window)
	e.mean += (x - e.mean) / float64(e.samples)
}

// upstream is the state of an upstream as seen by this host.
type upstream struct {
	info   UpstreamInfo
	region string
	local  bool // in the region of this host
	// orderName identifies the upstream in preference orders, and weightInverse is the
	// mean weight of its service's upstreams divided by its own.
	orderName     string
	weightInverse float64

	inFlight int // requests in flight from this host
	// unansweredSince is when the upstream last responded, or when the first request
	// in flight was sent if that is later.
	unansweredSince time.Time
	unconnectedAt   time.Time // when a connection to the upstream last failed to open
	// otherLoad is the number of requests of other hosts running or queued at the
	// upstream, as reported.
	otherLoad      ewma
	loadReportedAt time.Time
	ownLoadAt      time.Time // when the upstream last reported its load to this host
	loadKey        string    // see loadKey
	// queueKnown is whether the last load that hosts told each other exceeds the slots,
	// and loadSharedAt when this host last told one.
	queueKnown   bool
	loadSharedAt time.Time

	slowness       slowness
	known          knownObjects
	lastAnsweredAt time.Time
	latency        ewma // seconds
	rtt            ewma // seconds

	failureRate          ewma // 0 to 1
	lastFailureAt        time.Time
	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time

	hostRank int // see Table.hostRank
	limit    limitState

	coldUntil  time.Time
	coldBucket bucket

	pausedUntil time.Time // see Observation.Pause
	leaving     bool      // see Observation.Leaving
}

func newUpstream(id string) *upstream {
	return &upstream{info: UpstreamInfo{ID: id}, orderName: id, weightInverse: 1}
}

// slots is the number of requests that the upstream processes concurrently.
func (u *upstream) slots() float64 { return float64(max(1, u.info.Slots)) }

// load estimates the number of requests running or queued at the upstream.
func (u *upstream) load(now time.Time) float64 { return u.decayedLoad(now, loadReportDecay) }

// decayedLoad is the load if reports decay with a time constant.
func (u *upstream) decayedLoad(now time.Time, decay time.Duration) float64 {
	stale := now.Sub(u.loadReportedAt) - loadReportFreshness
	if stale <= 0 {
		return float64(u.inFlight) + u.otherLoad.mean
	}
	return float64(u.inFlight) + u.otherLoad.mean*math.Exp(-stale.Seconds()/decay.Seconds())
}

// recordLoad records the number of requests running and queued that the upstream
// reported at a time.
func (u *upstream) recordLoad(at time.Time, load int) {
	u.otherLoad.add(max(0, float64(load-u.inFlight)), loadWindow)
	u.loadReportedAt = at
}

// unresponsive reports whether the upstream has recently sent neither a heartbeat
// to the control group nor a response to this host.
func (u *upstream) unresponsive(now time.Time) bool {
	return u.info.Expired && now.Sub(u.lastAnsweredAt) > expiredGrace
}

// down reports whether the upstream is ejected or unresponsive. One that only sheds
// requests is not down.
func (u *upstream) down(now time.Time) bool {
	return now.Before(u.ejectedUntil) || u.unresponsive(now)
}

// decayedFailureRate is the failure rate, which decays while there are no
// failures, so that an upstream that failed is tried again.
func (u *upstream) decayedFailureRate(now time.Time) float64 {
	return u.failureRate.mean * math.Exp(-now.Sub(u.lastFailureAt).Seconds()/failureDecay.Seconds())
}

// recordFailure records a failed attempt. It ejects the upstream if eject is set
// or after ejectAfterFailures consecutive failures. A weight below 1 counts only
// towards the failure rate.
func (u *upstream) recordFailure(now time.Time, weight float64, eject bool) {
	u.failureRate.mean = u.decayedFailureRate(now)
	u.failureRate.add(weight, failureWindow)
	u.lastFailureAt = now
	if weight < 1 {
		return
	}
	u.consecutiveFailures++
	if u.consecutiveFailures >= ejectAfterFailures || eject {
		ejection := min(maxEjection, minEjection<<min(u.consecutiveEjections, 4))
		u.consecutiveEjections++
		u.ejectedUntil = now.Add(ejection)
	}
}

func (u *upstream) recordSuccess() {
	u.failureRate.add(0, failureWindow)
	u.consecutiveFailures = 0
	u.consecutiveEjections = 0
	u.ejectedUntil = time.Time{}
}

// bucket is a token bucket.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens for the time since the last call, at rate tokens per
// second up to size. A new bucket is full.
func (b *bucket) refill(now time.Time, rate, size float64) {
	if b.updatedAt.IsZero() {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

// service is the state of a service.
type service struct {
	name      string
	upstreams []*upstream // sorted by ID
	// localBonus caches Table.localBonus while localBonusValid is set.
	localBonus      float64
	localBonusValid bool
	work            workTimes
	retryBudget     bucket
	copies          copyBudget
	hedging         hedging
	scarceAt        time.Time // when a request or a retry was last rejected
	links           serviceLinks
	overflow        overflow
	homes           homeShares
	urgencies       urgencies
	// disruptedAt is when an upstream was last removed, began to drain, expired,
	// was unresponsive or was found to have lost its address to another upstream,
	// or an evacuation began or ended.
	disruptedAt time.Time
}

// scarcePeriod is how long a service counts as overloaded after a request was rejected
// for lack of room, or a retry for lack of budget.
const scarcePeriod = 2 * time.Second

// scarce reports whether the service has been overloaded lately.
func (s *service) scarce(now time.Time) bool { return now.Sub(s.scarceAt) < scarcePeriod }
