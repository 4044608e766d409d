// Package agatebalance selects an upstream for each request of a routing plan,
// or rejects the request.
//
// The service time is much shorter on an upstream that has the request's object
// cached. Rendezvous hashing gives each object a preference order of upstreams
// that is the same on all entry hosts of a region, so that the requests for an
// object reach the upstream that has it cached. If that upstream is full, requests
// fall back to the next in the order, which then caches the object too.
//
// Upstreams are compared by a cost that combines their load per slot with their
// rank in the preference order. A host learns how long requests take for objects
// that are cached and for others, and how slow each upstream is. An upstream is
// skipped if its expected latency exceeds the deadline or, while it is busy, a
// multiple of the target time. An upstream is cold for a while after its start,
// when it gets requests at a limited rate.
//
// One of many hosts gets few responses of each upstream. It therefore learns of queues
// from the other hosts (LoadReports, ApplyLoads), and concludes from a few unreachable
// upstreams of a failure domain that the others are unreachable too. A request whose
// response takes long may be sent once more to the same upstream (HedgeDelay,
// AllowHedge), which has the object cached by then.
//
// The home region of an object is the region of the first upstream in its
// preference order. While nothing fails, the share of requests that run elsewhere
// changes slowly, so that load does not oscillate between regions.
//
// A Table starts no goroutine and reads no clock. It is not safe for
// concurrent use.
//
// # Usage
//
//	t := agatebalance.New(agatebalance.Config{Host: "e1", Region: "centro", Domain: "centro-1", Regions: regions})
//	t.SetPlan(index)
//	t.SetHosts(now, hosts)
//	t.UpdateUpstreams(now, upstreams, true, nil)
//	d := t.Choose(now, &request)
//	if d.Upstream == "" {
//		// reject with d.Reason and d.RetryAfter
//	}
//	t.Start(now, d.Upstream)
//	... // send to d.Address; the observation gets d.Basis
//	t.Finish(now, d.Upstream, observation)
//
// Each Start must be followed by exactly one Finish, also for a copy that AllowHedge
// permits.
package agatebalance
