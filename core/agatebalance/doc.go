// Package agatebalance selects an upstream for each request of a routing plan,
// or rejects the request.
//
// Upstreams are compared by the expected latency: the network round trip, the
// time in the queue and the service time, which is much shorter on an upstream
// that has the request's object cached. Rendezvous hashing gives each object a
// preference order of upstreams that is the same on all entry hosts of a region,
// so that the requests for an object reach the upstream that has it cached. If
// that upstream is full, requests fall back to the next in the order, which then
// caches the object too.
//
// A Table starts no goroutine and reads no clock. It is not safe for
// concurrent use.
//
// # Usage
//
//	t := agatebalance.New(agatebalance.Config{Host: "e1", Region: "centro", Domain: "centro-1", Regions: regions})
//	t.SetPlan(index)
//	t.UpdateUpstreams(now, upstreams, true, nil)
//	d := t.Choose(now, &request)
//	if d.Upstream == "" {
//		// reject with d.Reason and d.RetryAfter
//	}
//	t.Start(now, d.Upstream)
//	... // send to d.Address
//	t.Finish(now, d.Upstream, observation)
//
// Each Start must be followed by exactly one Finish.
package agatebalance
