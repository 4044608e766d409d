// Package agateroute holds the upstream table of one entry host and every
// decision that rests on it: which upstream gets a request, whether a request
// waits or is refused, retries, hedges, outlier ejection, cold-start ramps
// and drains.
//
// A Table starts no goroutine and reads no clock. One goroutine owns it and
// passes the time to every call; times must not go backwards.
//
// # Usage
//
//	t := agateroute.New(agateroute.Config{Host: "e1", Region: "centro", Domain: "centro-1", Overflow: take})
//	t.Configure(now, inv)
//	t.Announce(now, announcement)
//	switch d := t.Choose(now, r); d.Verdict {
//	case agateroute.Send:
//		t.Start(now, d.Upstream) // then send to d.Address
//	case agateroute.Wait:
//		// A later Next returns the decision for this request.
//	case agateroute.Refuse:
//		// Answer "not run" with d.RetryAfter.
//	}
//
// After an answer, and at least every TickInterval, the owner calls:
//
//	t.Finish(now, upstream, observation)
//	for _, e := range t.Tick(now) {
//		logEvent(e)
//	}
//	for r, d, ok := t.Next(now); ok; r, d, ok = t.Next(now) {
//		carryOut(r, d) // Send or Refuse
//	}
//
// Every Send must be followed by Start at once and by exactly one Finish,
// also when the request was never written (Unstarted).
package agateroute
