// Package agateroute maintains the upstream table of one entry host and makes
// the routing decisions based on it: load balancing, admission control and
// queueing, retries, hedged requests, outlier ejection, cold-start ramps and
// drains.
//
// A Table starts no goroutine and reads no clock. It must be used from a single
// goroutine, which passes the current time to every call. Times must not go
// backwards.
//
// A request is shifted if it is sent to another region than its home region.
// Overflow is a shift for lack of capacity in the home region and needs a grant
// from Config.AllowOverflow. A pinned request follows its upstream without one.
//
// # Usage
//
//	t := agateroute.New(agateroute.Config{Host: "e1", Region: "centro", Domain: "centro-1", AllowOverflow: allow})
//	t.Configure(now, inv)
//	t.Announce(now, announcement)
//	switch d := t.Choose(now, r); d.Verdict {
//	case agateroute.Send:
//		t.Start(now, d.Upstream) // then send to d.Address
//	case agateroute.Wait:
//		// A later Next returns the decision for this request.
//	case agateroute.Refuse:
//		// Reject the request with d.RetryAfter. It was not run.
//	}
//
// After each attempt, the caller reports its end:
//
//	t.Finish(now, upstream, observation)
//
// Then, and at least every TickInterval, it runs:
//
//	for _, e := range t.Tick(now) {
//		logEvent(e)
//	}
//	for r, d, ok := t.Next(now); ok; r, d, ok = t.Next(now) {
//		handle(r, d) // Send or Refuse
//	}
//
// Every Send must be followed immediately by Start and later by exactly one
// Finish, even if the request was never written (NotSent).
package agateroute
