// Package agatebalance decides which upstream gets a request of a routing
// plan, and when a request is refused instead.
//
// Upstreams are compared by the expected time to the answer: the way there and
// back, the wait for a slot, and the work, which is much shorter on an upstream
// that knows the request's object. Each object has a preferred upstream by
// rendezvous hashing, the same for all entry hosts of a region, so that its
// requests meet and keep the object known there. A preferred upstream that is
// full gives way to the next in the order of the hash, which then knows the
// object too.
//
// A Table starts no goroutine and reads no clock. It is not safe for
// concurrent use.
//
// # Usage
//
//	t := agatebalance.New(agatebalance.Config{Host: "e1", Region: "centro", Domain: "centro-1", Regions: regions})
//	t.SetPlan(index)
//	t.SetFleet(now, rows, true, nil)
//	d := t.Choose(now, &request)
//	if d.Upstream == "" {
//		// refuse with d.Reason and d.RetryAfter
//	}
//	t.Start(now, d.Upstream, &request)
//	... // send to d.Address
//	t.Finish(now, d.Upstream, observation)
//
// Every Start must be followed by exactly one Finish.
package agatebalance
