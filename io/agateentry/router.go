package agateentry

import (
	"context"
	"sync"
	"time"

	"agategate/core/agatering"
	"agategate/core/agateroute"
)

// routerQueueCapacity is the limit of tasks that wait for the router's
// goroutine. If the queue is full, new requests are refused at once rather than
// delayed.
const routerQueueCapacity = 8192

// idleTickInterval is the interval of ticks while no request is queued. It is
// short enough for the expiry of announcements and leases.
const idleTickInterval = 50 * time.Millisecond

// router runs the goroutine that owns the upstream table.
type router struct {
	table   *agateroute.Table
	tasks   *agatering.Queue[func(now time.Time)]
	onEvent func(agateroute.Event)
	// waiting holds the requests in the table's queue by id. The router's
	// goroutine owns it.
	waiting map[string]chan agateroute.Decision
	stop    chan struct{}
	worker  sync.WaitGroup
}

func newRouter(table *agateroute.Table, onEvent func(agateroute.Event)) *router {
	r := &router{
		table:   table,
		tasks:   agatering.New[func(now time.Time)](agatering.Config{Capacity: routerQueueCapacity}),
		onEvent: onEvent,
		waiting: make(map[string]chan agateroute.Decision),
		stop:    make(chan struct{}),
	}
	r.worker.Add(1)
	go r.run()
	return r
}

func (r *router) run() {
	defer r.worker.Done()
	tick := time.NewTimer(idleTickInterval)
	defer tick.Stop()
	wasWaiting := false
	for {
		select {
		case <-r.stop:
			return
		case task := <-r.tasks.Items():
			now := time.Now()
			task(now)
			r.serveQueue(now)
		case <-tick.C:
			r.tick(time.Now())
			tick.Reset(r.interval())
		}
		if waiting := len(r.waiting) > 0; waiting != wasWaiting {
			wasWaiting = waiting
			tick.Reset(r.interval())
		}
	}
}

// interval returns the time until the next tick, which is shorter while
// requests are queued.
func (r *router) interval() time.Duration {
	if len(r.waiting) > 0 {
		return agateroute.TickInterval
	}
	return idleTickInterval
}

func (r *router) tick(now time.Time) {
	for _, e := range r.table.Tick(now) {
		r.onEvent(e)
	}
	r.serveQueue(now)
}

// serveQueue delivers the decisions on queued requests that can be made now.
func (r *router) serveQueue(now time.Time) {
	for {
		req, d, ok := r.table.Next(now)
		if !ok {
			return
		}
		r.deliver(now, req.ID, d)
	}
}

func (r *router) deliver(now time.Time, id string, d agateroute.Decision) {
	answer, ok := r.waiting[id]
	if !ok {
		// The request was abandoned while it was queued.
		if d.Verdict == agateroute.Send {
			r.table.Start(now, d.Upstream)
			r.table.Finish(now, d.Upstream, agateroute.Observation{Outcome: agateroute.Canceled})
		}
		return
	}
	delete(r.waiting, id)
	if d.Verdict == agateroute.Send {
		r.table.Start(now, d.Upstream)
	}
	answer <- d
}

// do runs a task on the router's goroutine and waits for it. It returns false
// without running the task if the task queue is full. It also returns false if the
// router stops meanwhile; the task may then have run.
func (r *router) do(task func(now time.Time)) bool {
	finished := make(chan struct{})
	queued := r.tasks.Offer(func(now time.Time) {
		task(now)
		close(finished)
	})
	if !queued {
		return false
	}
	select {
	case <-finished:
		return true
	case <-r.stop:
		return false
	}
}

// post queues a task without waiting for it.
func (r *router) post(task func(now time.Time)) {
	if r.tasks.Offer(task) {
		return
	}
	// If the end of a request were lost, its slot would stay occupied for ever.
	// The task therefore waits for room, in another goroutine so that the
	// caller is not delayed.
	go func() {
		for !r.tasks.Offer(task) {
			select {
			case <-r.stop:
				return
			case <-time.After(agateroute.TickInterval):
			}
		}
	}()
}

// decide runs query on the table and, if the table queues the request, waits for
// the decision. For a Send, the attempt is counted as started, and the caller
// must call finish.
func (r *router) decide(ctx context.Context, id string, query func(now time.Time) agateroute.Decision) agateroute.Decision {
	answer := make(chan agateroute.Decision, 1)
	var decision agateroute.Decision
	ran := r.do(func(now time.Time) {
		decision = query(now)
		switch decision.Verdict {
		case agateroute.Send:
			r.table.Start(now, decision.Upstream)
		case agateroute.Wait:
			r.waiting[id] = answer
		case agateroute.Refuse:
		}
	})
	if !ran {
		return agateroute.Decision{Reason: agateroute.ReasonFull, RetryAfter: time.Second}
	}
	if decision.Verdict != agateroute.Wait {
		return decision
	}
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
		r.abandon(id, answer)
		return agateroute.Decision{Reason: agateroute.ReasonLate, RetryAfter: time.Second}
	}
}

// abandon withdraws a queued request. If an upstream was chosen meanwhile, its
// slot is released.
func (r *router) abandon(id string, answer chan agateroute.Decision) {
	r.post(func(now time.Time) {
		delete(r.waiting, id)
		select {
		case d := <-answer:
			if d.Verdict == agateroute.Send {
				r.table.Finish(now, d.Upstream, agateroute.Observation{Outcome: agateroute.Canceled})
			}
		default:
		}
	})
}

// choose selects an upstream for the first attempt of a request.
func (r *router) choose(ctx context.Context, req agateroute.Request) agateroute.Decision {
	return r.decide(ctx, req.ID, func(now time.Time) agateroute.Decision {
		return r.table.Choose(now, req)
	})
}

// retry selects an upstream for a further attempt after a failed one.
func (r *router) retry(ctx context.Context, req agateroute.Request, o agateroute.Observation) agateroute.Decision {
	return r.decide(ctx, req.ID, func(now time.Time) agateroute.Decision {
		return r.table.Retry(now, req, o)
	})
}

// hedge selects an upstream for a duplicate of a slow read.
func (r *router) hedge(ctx context.Context, req agateroute.Request, waited time.Duration) agateroute.Decision {
	return r.decide(ctx, req.ID, func(now time.Time) agateroute.Decision {
		return r.table.Hedge(now, req, waited)
	})
}

// finish reports the end of an attempt to the table.
func (r *router) finish(id agateroute.UpstreamID, o agateroute.Observation) {
	r.post(func(now time.Time) { r.table.Finish(now, id, o) })
}

// close stops the router's goroutine.
func (r *router) close() {
	close(r.stop)
	r.worker.Wait()
}
