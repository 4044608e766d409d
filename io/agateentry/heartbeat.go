package agateentry

import (
	"context"
	"time"

	"agategate/core/agateroute"
	"agategate/core/agateshift"
	"agategate/internal/agateclock"
	"agategate/io/agatewire"
)

// heartbeatInterval is the interval of heartbeats to the control leader.
const heartbeatInterval = 500 * time.Millisecond

// heartbeater sends heartbeats to the control leader and applies the state of
// the control group from the replies.
type heartbeater struct {
	e    *Entry
	wake chan struct{}
}

func newHeartbeater(e *Entry) *heartbeater {
	return &heartbeater{e: e, wake: make(chan struct{}, 1)}
}

// trigger requests a heartbeat without waiting for the next interval.
func (b *heartbeater) trigger() {
	select {
	case b.wake <- struct{}{}:
	default: // already requested
	}
}

func (b *heartbeater) run(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		b.send(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.wake:
		}
	}
}

func (b *heartbeater) send(ctx context.Context) {
	e := b.e
	reqCtx, cancel := context.WithTimeout(ctx, e.cfg.Settings.Wait.Control)
	defer cancel()
	reply, err := e.control.Heartbeat(reqCtx, b.request(time.Now()))
	if err != nil {
		e.metrics.heartbeat(false)
		return
	}
	e.lastControlReply.Store(int64(agateclock.Now()))
	e.metrics.heartbeat(true)
	now := time.Now()
	e.observeIndex(reply.Applied)
	e.directory.updateFromControl(now, reply)
	e.shift.accept(now, reply)
	e.suspects.mergeControl(reply)
	if reply.Revision > e.config.Load().revision {
		e.fetchConfig(ctx)
	}
}

// controlTimeout is the time without an answer of the leader after which
// actions are refused at once. It is longer than an election takes.
const controlTimeout = 3 * time.Second

// controlUnreachable reports whether no control leader has answered within
// controlTimeout, so that the commands of an action would not be committed in
// time.
func (e *Entry) controlUnreachable() bool {
	return agateclock.Now()-time.Duration(e.lastControlReply.Load()) > controlTimeout
}

// observeIndex records the newest log index that this host has seen. Claims
// carry the index seen when their request arrived.
func (e *Entry) observeIndex(index uint64) {
	e.seenIndex.Observe(agateclock.Now(), index)
}

func (b *heartbeater) request(now time.Time) *agatewire.BeatAsk {
	e := b.e
	req := &agatewire.BeatAsk{
		Sender:   e.identity(),
		Region:   e.cfg.Settings.Region,
		Domain:   e.cfg.Settings.Domain,
		Caller:   e.cfg.Settings.CallerAddr.String(),
		Peer:     e.cfg.Settings.PeerAddr.String(),
		Draining: e.unavailable(),
		Load:     e.load(),
		Suspects: e.suspects.index(),
		Asks:     e.shift.grantRequests(now),
	}
	req.View, req.Version = e.directory.hostListVersion()
	for _, u := range e.usage() {
		req.Usage = append(req.Usage, &agatewire.Usage{
			Service:  u.Service,
			Region:   u.Region,
			Capacity: capacityOf(&u),
			Demand:   u.Demand,
			Inflight: float64(u.OwnInFlight),
		})
	}
	return req
}

// capacityOf returns the capacity to report to the control leader, which issues
// the grants, in requests per second. A service and region with slots but without
// a measured response time counts as unknown capacity rather than none.
func capacityOf(u *agateroute.Usage) float64 {
	if u.Capacity == 0 && u.Slots > 0 {
		return agateshift.UnknownCapacity
	}
	return u.Capacity
}

// usage returns the latest capacity and demand that the router published.
func (e *Entry) usage() []agateroute.Usage {
	if u := e.latestUsage.Load(); u != nil {
		return *u
	}
	return nil
}

// busy reports whether this host has requests in flight or waiting.
func (e *Entry) busy() bool {
	for _, u := range e.usage() {
		if u.OwnInFlight > 0 || u.Queued > 0 {
			return true
		}
	}
	return false
}

// publishUsage publishes the capacity, demand and hedge delays of the table for
// other goroutines. It runs on the router's goroutine.
func (e *Entry) publishUsage(now time.Time) {
	usage := e.router.table.Usage(now)
	e.latestUsage.Store(&usage)
	delays := make(map[string]time.Duration, len(usage))
	for _, u := range usage {
		if u.Region == e.cfg.Settings.Region {
			delays[u.Service] = e.router.table.HedgeDelay(u.Service, u.Region)
		}
	}
	e.hedgeDelays.store(delays)
	e.metrics.usage(usage)
}

// load returns the utilization of this host's region, the maximum over its
// services. 1 means that all slots are in use; queued requests raise it above.
func (e *Entry) load() float64 {
	load := 0.0
	for _, u := range e.usage() {
		if u.Region == e.cfg.Settings.Region && u.Slots > 0 {
			load = max(load, float64(u.InFlight+u.Queued)/float64(u.Slots))
		}
	}
	return load
}
