package agateentry

import (
	"context"
	"sync"
	"time"

	"agategate/core/agatering"
	"agategate/core/agateroute"
)

// routerTasks bounds the tasks that wait for the routing duty. A full ring
// refuses requests at once instead of delaying all of them.
const routerTasks = 8192

// idleTick is the interval of ticks while no request waits: leases and the
// like need no more.
const idleTick = 50 * time.Millisecond

// router is the routing duty: one goroutine that owns the upstream table.
type router struct {
	table  *agateroute.Table
	tasks  *agatering.Queue[func(now time.Time)]
	events func(agateroute.Event)
	// waiting holds the requests in the table's queue by their id. The
	// goroutine of the duty owns it.
	waiting map[string]chan agateroute.Decision
	stop    chan struct{}
	done    sync.WaitGroup
}

func newRouter(table *agateroute.Table, events func(agateroute.Event)) *router {
	r := &router{
		table:   table,
		tasks:   agatering.New[func(now time.Time)](agatering.Config{Capacity: routerTasks}),
		events:  events,
		waiting: make(map[string]chan agateroute.Decision),
		stop:    make(chan struct{}),
	}
	r.done.Add(1)
	go r.run()
	return r
}

func (r *router) run() {
	defer r.done.Done()
	tick := time.NewTimer(idleTick)
	defer tick.Stop()
	queued := false
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
		if waits := len(r.waiting) > 0; waits != queued {
			queued = waits
			tick.Reset(r.interval())
		}
	}
}

// interval is the time until the next tick: short while requests wait.
func (r *router) interval() time.Duration {
	if len(r.waiting) > 0 {
		return agateroute.TickInterval
	}
	return idleTick
}

func (r *router) tick(now time.Time) {
	for _, e := range r.table.Tick(now) {
		r.events(e)
	}
	r.serveQueue(now)
}

// serveQueue hands out the decisions on waiting requests that can be made now.
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
		// The caller went away while its request waited.
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

// do runs a task on the duty's goroutine and waits for it. It reports false
// when the ring is full or the duty has stopped; the task then does not run.
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
	// Losing the end of a request would leave its slot counted for good, so
	// this task waits for room off the caller's path.
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

// decide asks the table and waits while the request is in its queue. A Send
// is counted as started; the caller must finish it.
func (r *router) decide(ctx context.Context, id string, ask func(now time.Time) agateroute.Decision) agateroute.Decision {
	answer := make(chan agateroute.Decision, 1)
	var first agateroute.Decision
	ran := r.do(func(now time.Time) {
		first = ask(now)
		switch first.Verdict {
		case agateroute.Send:
			r.table.Start(now, first.Upstream)
		case agateroute.Wait:
			r.waiting[id] = answer
		case agateroute.Refuse:
		}
	})
	if !ran {
		return agateroute.Decision{Reason: agateroute.ReasonFull, RetryAfter: time.Second}
	}
	if first.Verdict != agateroute.Wait {
		return first
	}
	select {
	case d := <-answer:
		return d
	case <-ctx.Done():
		r.abandon(id, answer)
		return agateroute.Decision{Reason: agateroute.ReasonLate, RetryAfter: time.Second}
	}
}

// abandon gives up a waiting request. If its upstream was chosen meanwhile,
// the slot is given back.
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

// choose decides about the first attempt of a request.
func (r *router) choose(ctx context.Context, req agateroute.Request) agateroute.Decision {
	return r.decide(ctx, req.ID, func(now time.Time) agateroute.Decision {
		return r.table.Choose(now, req)
	})
}

// retry decides about a second attempt.
func (r *router) retry(ctx context.Context, req agateroute.Request, o agateroute.Observation) agateroute.Decision {
	return r.decide(ctx, req.ID, func(now time.Time) agateroute.Decision {
		return r.table.Retry(now, req, o)
	})
}

// hedge decides about a duplicate of a slow read.
func (r *router) hedge(ctx context.Context, req agateroute.Request, waited time.Duration) agateroute.Decision {
	return r.decide(ctx, req.ID, func(now time.Time) agateroute.Decision {
		return r.table.Hedge(now, req, waited)
	})
}

// finish ends an attempt.
func (r *router) finish(id agateroute.UpstreamID, o agateroute.Observation) {
	r.post(func(now time.Time) { r.table.Finish(now, id, o) })
}

// close ends the duty.
func (r *router) close() {
	close(r.stop)
	r.done.Wait()
}
