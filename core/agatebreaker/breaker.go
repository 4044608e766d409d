// Package agatebreaker is a circuit breaker for the links between a host and the
// upstreams of one service. It opens when requests could be sent to none of several
// upstreams in a row, which tells the links from a single upstream that has failed, and
// closes with the first upstream that is reached.
//
// # Usage
//
//	b := agatebreaker.New(agatebreaker.Config{})
//	if !b.Allow(now) {
//		return forward(request) // over the links of another host
//	}
//	if sent(request) {
//		b.Reached(now)
//	} else {
//		b.Failed(now, startedAt, upstream)
//	}
package agatebreaker

import "time"

// Defaults of Config.
const (
	DefaultUpstreams     = 2
	DefaultTrialInterval = 250 * time.Millisecond
)

// Config holds the settings of a Breaker.
type Config struct {
	// Upstreams is the number of upstreams that must fail; default 2.
	Upstreams int
	// TrialInterval is the interval of requests that are allowed while the breaker is
	// open, to find out whether it may close; default 250 ms.
	TrialInterval time.Duration
}

// Breaker is a circuit breaker. It is not safe for concurrent use.
type Breaker struct {
	cfg    Config
	failed map[string]bool // upstreams that failed since one was last reached
	// trialAt is when the next trial is due while the breaker is open.
	trialAt time.Time
	// reachedAt is when an upstream was last reached.
	reachedAt time.Time
}

// New returns a closed Breaker.
func New(cfg Config) *Breaker {
	if cfg.Upstreams <= 0 {
		cfg.Upstreams = DefaultUpstreams
	}
	if cfg.TrialInterval <= 0 {
		cfg.TrialInterval = DefaultTrialInterval
	}
	return &Breaker{cfg: cfg, failed: map[string]bool{}}
}

// Open reports whether the links are taken for lost.
func (b *Breaker) Open() bool { return len(b.failed) >= b.cfg.Upstreams }

// Allow reports whether a request may use the links: the breaker is closed, or a trial
// is due, which this request then is.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Open() {
		return true
	}
	if now.Before(b.trialAt) {
		return false
	}
	b.trialAt = now.Add(b.cfg.TrialInterval)
	return true
}

// Failed records that an upstream could not be reached in an attempt that began at
// startedAt. It does not count if another one has been reached since.
func (b *Breaker) Failed(now, startedAt time.Time, upstream string) {
	if b.failed[upstream] || startedAt.Before(b.reachedAt) {
		return
	}
	wasOpen := b.Open()
	b.failed[upstream] = true
	if b.Open() && !wasOpen {
		b.trialAt = now.Add(b.cfg.TrialInterval)
	}
}

// Reached records that an upstream accepted a connection or responded.
func (b *Breaker) Reached(now time.Time) {
	clear(b.failed)
	b.reachedAt = now
}
