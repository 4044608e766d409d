package agateentry

import (
	"context"
	"time"

	"agategate/core/agateroute"
	"agategate/core/agateshift"
	"agategate/internal/agateclock"
	"agategate/io/agatewire"
)

// beatEvery is the interval between two heartbeats to the control leader.
const beatEvery = 500 * time.Millisecond

// beats is the duty that sends heartbeats to the control leader and takes
// from the replies what the group knows.
type beats struct {
	e    *Entry
	wake chan struct{}
}

func newBeats(e *Entry) *beats {
	return &beats{e: e, wake: make(chan struct{}, 1)}
}

// kick makes a heartbeat due now.
func (b *beats) kick() {
	select {
	case b.wake <- struct{}{}:
	default: // one is due already
	}
}

func (b *beats) run(ctx context.Context) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		b.once(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.wake:
		}
	}
}

func (b *beats) once(ctx context.Context) {
	e := b.e
	one, cancel := context.WithTimeout(ctx, e.cfg.Settings.Wait.Control)
	defer cancel()
	reply, err := e.control.Heartbeat(one, b.ask(time.Now()))
	if err != nil {
		e.metrics.beat(false)
		return
	}
	e.heard.Store(int64(agateclock.Now()))
	e.metrics.beat(true)
	now := time.Now()
	e.learnIndex(reply.Applied)
	e.directory.heardControl(now, reply)
	e.shift.accept(now, reply)
	e.suspects.control(reply)
	if reply.Revision > e.config.Load().revision {
		e.fetch(ctx)
	}
}

// controlLost is the time without an answer of the leader after which actions
// are refused at once. An election takes less.
const controlLost = 3 * time.Second

// controlGone reports whether no leader of the control group has answered for
// so long that none of an action's commands would be committed in time.
func (e *Entry) controlGone() bool {
	return agateclock.Now()-time.Duration(e.heard.Load()) > controlLost
}

// learnIndex keeps the newest log index that this host knows. Claims carry
// the index known when their request arrived.
func (e *Entry) learnIndex(index uint64) {
	e.seen.Observe(agateclock.Now(), index)
}

func (b *beats) ask(now time.Time) *agatewire.BeatAsk {
	e := b.e
	ask := &agatewire.BeatAsk{
		Sender:   e.identity(),
		Region:   e.cfg.Settings.Region,
		Domain:   e.cfg.Settings.Domain,
		Caller:   e.cfg.Settings.Caller.String(),
		Peer:     e.cfg.Settings.Peer.String(),
		Draining: e.absent(),
		Load:     e.load(),
		Suspects: e.suspects.index(),
		Asks:     e.shift.asks(now),
	}
	ask.View, ask.Version = e.directory.held()
	for _, u := range e.usage() {
		ask.Usage = append(ask.Usage, &agatewire.Usage{
			Service:  u.Service,
			Region:   u.Region,
			Capacity: capacityOf(&u),
			Demand:   u.Demand,
			Inflight: float64(u.OwnInFlight),
		})
	}
	return ask
}

// capacityOf is the capacity as the granter takes it: a place with slots whose
// answer time is not known yet may answer something.
func capacityOf(u *agateroute.Usage) float64 {
	if u.Capacity == 0 && u.Slots > 0 {
		return agateshift.UnknownCapacity
	}
	return u.Capacity
}

// usage is the newest view of capacity and demand. The routing duty renews it.
func (e *Entry) usage() []agateroute.Usage {
	if u := e.used.Load(); u != nil {
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

// observeTable is called by the routing duty and publishes what other duties
// need to know of the table.
func (e *Entry) observeTable(now time.Time) {
	used := e.router.table.Usage(now)
	e.used.Store(&used)
	hedges := make(map[string]time.Duration, len(used))
	for _, u := range used {
		if u.Region == e.cfg.Settings.Region {
			hedges[u.Service] = e.router.table.HedgeDelay(u.Service, u.Region)
		}
	}
	e.hedges.store(hedges)
	e.metrics.usage(used)
}

// load is the use of this host's own region, from 0 to 1 and above, as the
// largest over its services.
func (e *Entry) load() float64 {
	load := 0.0
	for _, u := range e.usage() {
		if u.Region == e.cfg.Settings.Region && u.Slots > 0 {
			load = max(load, float64(u.InFlight+u.Queued)/float64(u.Slots))
		}
	}
	return load
}
