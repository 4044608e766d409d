package agatebalance_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"agategate/core/agatebalance"
	"agategate/core/agateboard"
	"agategate/core/agateplan"
)

// workload is one workload of the simulation.
type workload struct {
	name          string
	rate          float64       // requests per second in all regions together
	burst         float64       // factor of the rate in the third quarter
	objects       int           // per region
	cacheSize     int           // objects per upstream
	serviceTime   time.Duration // for an object that is not cached
	cachedFactor  float64       // factor of the service time for a cached object
	slots         int           // per upstream
	upstreams     [3]int        // by region
	hosts         int
	target        time.Duration
	deadline      time.Duration
	duration      time.Duration
	slowCount     int     // upstreams that are slow in the second half
	slowFactor    float64 // factor of their service time
	noLoadReports bool
	// movedShare is the share of the callers of the second region that are in the
	// third region in the first quarter.
	movedShare float64
	// noHedges sends no copies of slow requests. sharedLoads makes a copy wait until
	// the original has loaded the object.
	noHedges, sharedLoads bool
	// noExchange keeps hosts from telling each other about loads.
	noExchange bool
}

// result is the outcome of a simulation.
type result struct {
	requests, inTime, late, rejected, failed, copies int
	// shift is the largest share of a region's requests that moved to other
	// regions from one window to the next.
	shift float64
	// latencyRatios are the ratios of latencies to expected ones, of all responses in
	// the second half.
	latencyRatios []float64
}

func (r result) inTimeShare() float64 { return float64(r.inTime) / float64(r.requests) }

// policy selects upstreams on one entry host of the simulation.
type policy interface {
	choose(now time.Time, key uint64, target, deadline time.Time, tried []string) agatebalance.Decision
	start(now time.Time, id string)
	finish(now time.Time, id string, o agatebalance.Observation)
	// hedgeDelay and allowHedge are as in Table.
	hedgeDelay(now time.Time, r *simRequest, target time.Time) (time.Duration, bool)
	allowHedge(now time.Time, id string) bool
}

// tablePolicy uses the Table under test.
type tablePolicy struct {
	t     *agatebalance.Table
	route *agateplan.Route
	n     int
	// sent and received are the cursors of the loads exchanged with the control group.
	sent, received uint64
}

func (p *tablePolicy) choose(now time.Time, key uint64, target, deadline time.Time, tried []string) agatebalance.Decision {
	p.n++
	p.t.RecordRequest(now, "s")
	return p.t.Choose(now, &agatebalance.Request{
		ID: fmt.Sprint(p.n), Service: "s", Route: p.route, AffinityKey: key, Target: target, Deadline: deadline, Tried: tried,
	})
}

func (p *tablePolicy) start(now time.Time, id string) { p.t.Start(now, id) }

func (p *tablePolicy) finish(now time.Time, id string, o agatebalance.Observation) {
	p.t.Finish(now, id, o)
}

func (p *tablePolicy) hedgeDelay(now time.Time, r *simRequest, target time.Time) (time.Duration, bool) {
	return p.t.HedgeDelay(now, &agatebalance.Request{Service: "s", Route: p.route, Target: target}, &r.decision)
}

func (p *tablePolicy) allowHedge(now time.Time, id string) bool { return p.t.AllowHedge(now, id) }

// baseline is a simple policy for comparison. It selects the lowest sum of the
// host's own requests in flight, a cost for other regions and a weighted hash of
// the object, among upstreams with less than maxLoad requests per slot.
type baseline struct {
	upstreams                []agatebalance.UpstreamInfo
	region                   string
	inFlight                 map[string]int
	remoteCost, affinityCost float64
	maxLoad                  float64
	weights                  map[uint64][]float64 // of the upstreams, by object
}

func (p *baseline) choose(_ time.Time, key uint64, _, _ time.Time, tried []string) agatebalance.Decision {
	best, minCost := "", 0.0
	weights := p.objectWeights(key)
	for i, u := range p.upstreams {
		if float64(p.inFlight[u.ID]) >= p.maxLoad*float64(u.Slots) || (len(tried) > 0 && tried[0] == u.ID) {
			continue
		}
		cost := float64(p.inFlight[u.ID]) + p.affinityCost*weights[i]
		if regionOf(u.Domain) != p.region {
			cost += p.remoteCost
		}
		if best == "" || cost < minCost {
			best, minCost = u.ID, cost
		}
	}
	return agatebalance.Decision{Upstream: best}
}

// objectWeights returns a hash in [0, 1) of an object and each upstream.
func (p *baseline) objectWeights(key uint64) []float64 {
	weights := p.weights[key]
	if weights != nil {
		return weights
	}
	for _, u := range p.upstreams {
		h := fnv.New64a()
		fmt.Fprint(h, key, u.ID)
		weights = append(weights, float64(h.Sum64()%1000)/1000)
	}
	p.weights[key] = weights
	return weights
}

func (p *baseline) hedgeDelay(time.Time, *simRequest, time.Time) (time.Duration, bool) {
	return 0, false
}
func (p *baseline) allowHedge(time.Time, string) bool { return false }

func (p *baseline) start(_ time.Time, id string) { p.inFlight[id]++ }

func (p *baseline) finish(_ time.Time, id string, _ agatebalance.Observation) { p.inFlight[id]-- }

func regionOf(domain string) string { return domain[:2] }

// simUpstream is an upstream of the simulation.
type simUpstream struct {
	info       agatebalance.UpstreamInfo
	region     string
	running    int
	queue      []*simRequest
	cache      []uint64 // objects, the most recently used last
	slowFactor float64
}

type simRequest struct {
	key       uint64
	host      int
	arrivedAt time.Time
	sentAt    time.Time
	upstream  *simUpstream
	decision  agatebalance.Decision
	attempts  int
	retried   bool // by the caller, after a rejection
	// other is the original of a copy, or the copy of an original.
	other    *simRequest
	isCopy   bool
	started  bool // an upstream runs or has run it
	ended    bool // answered, shed or canceled
	canceled bool
	endsAt   time.Time
}

// event runs a function at a time.
type event struct {
	at  time.Time
	seq int // order of events at the same time
	run func(now time.Time)
}

// events implements heap.Interface, ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is a discrete-event simulation of a workload.
type sim struct {
	workload    workload
	rng         *rand.Rand
	start       time.Time
	events      events
	lastSeq     int
	hosts       []policy
	hostRegions []string // by index of the host
	upstreams   map[string]*simUpstream
	result      result
	// executed counts requests by the region of the host, the window, and the
	// region in which they were executed.
	executed map[string]map[int]map[string]int
}

const (
	// shiftWindow is the length of the windows that sim.shift compares.
	shiftWindow = 2 * time.Second
	// minWindowRequests is the number of requests from which a window is compared.
	minWindowRequests = 50
	simLocalDelay     = 2 * time.Millisecond  // one way
	simRemoteDelay    = 21 * time.Millisecond // one way
	simQueuePerSlot   = 3                     // queued requests per slot
)

var simRegions = []string{"r0", "r1", "r2"}

// simulate runs a workload with one policy per host.
func simulate(w workload, seed uint64, newPolicy func(s *sim, host int) policy) result {
	s := &sim{workload: w, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), upstreams: map[string]*simUpstream{}}
	s.executed = map[string]map[int]map[string]int{}
	for r, n := range w.upstreams {
		for i := range n {
			id := fmt.Sprintf("u%d-%d", r, i)
			info := agatebalance.UpstreamInfo{
				ID: id, Service: "s", Domain: fmt.Sprintf("%s-%d", simRegions[r], i%2), Slots: w.slots,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(r), byte(i)}), 80),
			}
			s.upstreams[id] = &simUpstream{info: info, region: simRegions[r], slowFactor: 1}
		}
	}
	for h := range w.hosts {
		s.hostRegions = append(s.hostRegions, simRegions[h%3])
		s.hosts = append(s.hosts, newPolicy(s, h))
	}
	s.scheduleArrivals()
	if !w.noExchange {
		s.scheduleExchanges()
	}
	if w.slowCount > 0 {
		s.schedule(s.start.Add(w.duration/2), func(time.Time) { s.slowUpstreams() })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		e.run(e.at)
	}
	s.result.shift = s.shift()
	return s.result
}

// shift compares each window with the previous one.
func (s *sim) shift() float64 {
	maxMoved := 0.0
	for _, windows := range s.executed {
		for n, counts := range windows {
			before := windows[n-1]
			if total(counts) < minWindowRequests || total(before) < minWindowRequests {
				continue
			}
			moved := 0.0
			for _, r := range simRegions {
				change := float64(counts[r])/float64(total(counts)) - float64(before[r])/float64(total(before))
				moved += math.Abs(change) / 2
			}
			maxMoved = max(maxMoved, moved)
		}
	}
	return maxMoved
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func (s *sim) infos() []agatebalance.UpstreamInfo {
	var infos []agatebalance.UpstreamInfo
	for r, n := range s.workload.upstreams {
		for i := range n {
			infos = append(infos, s.upstreams[fmt.Sprintf("u%d-%d", r, i)].info)
		}
	}
	return infos
}

func (s *sim) slowUpstreams() {
	for _, u := range s.infos()[:s.workload.slowCount] {
		s.upstreams[u.ID].slowFactor = s.workload.slowFactor
	}
}

func (s *sim) schedule(at time.Time, run func(time.Time)) {
	s.lastSeq++
	heap.Push(&s.events, event{at, s.lastSeq, run})
}

// exchangeInterval is the interval of the messages between a host and the control group.
const exchangeInterval = 500 * time.Millisecond

// scheduleExchanges lets each host tell the others through a board about loads.
func (s *sim) scheduleExchanges() {
	board := &agateboard.Board[int]{MinInterval: 2 * exchangeInterval}
	for i, h := range s.hosts {
		p, ok := h.(*tablePolicy)
		if !ok {
			continue
		}
		offset := exchangeInterval * time.Duration(i) / time.Duration(len(s.hosts))
		for at := s.start.Add(offset); at.Before(s.start.Add(s.workload.duration)); at = at.Add(exchangeInterval) {
			s.schedule(at, func(now time.Time) { p.exchange(now, board) })
		}
	}
}

func (p *tablePolicy) exchange(now time.Time, board *agateboard.Board[int]) {
	var reports []agatebalance.LoadReport
	reports, p.sent = p.t.LoadReports(now, p.sent)
	board.Merge(now, reports)
	reports, p.received = board.Since(now, p.received)
	p.t.ApplyLoads(now, reports)
}

// scheduleArrivals generates all requests in advance, so that every policy gets the
// same ones.
func (s *sim) scheduleArrivals() {
	end := s.start.Add(s.workload.duration)
	for at := s.start; at.Before(end); {
		rate := s.workload.rate
		if q := at.Sub(s.start) * 4 / s.workload.duration; q == 2 && s.workload.burst > 0 {
			rate *= s.workload.burst
		}
		at = at.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		region := s.rng.IntN(3)
		if region == 1 && at.Sub(s.start)*4 < s.workload.duration && s.rng.Float64() < s.workload.movedShare {
			region = 2
		}
		host := s.rng.IntN(s.workload.hosts/3)*3 + region
		key := uint64(region*s.workload.objects+s.rng.IntN(s.workload.objects)+1) * 0x9e3779b97f4a7c15
		r := &simRequest{key: key, host: host, arrivedAt: at}
		s.result.requests++
		s.schedule(at, func(now time.Time) { s.decide(now, r, nil) })
	}
}

// decide applies the policy of the host.
func (s *sim) decide(now time.Time, r *simRequest, tried []string) {
	deadline := r.arrivedAt.Add(s.workload.deadline)
	d := s.hosts[r.host].choose(now, r.key, now.Add(s.workload.target), deadline, tried)
	if d.Upstream == "" {
		s.reject(now, r)
		return
	}
	r.upstream = s.upstreams[d.Upstream]
	r.sentAt = now
	r.decision = d
	r.attempts++
	r.other, r.started, r.ended, r.canceled = nil, false, false, false
	attempt := r.attempts
	s.hosts[r.host].start(now, d.Upstream)
	s.schedule(now.Add(s.delay(r)), func(now time.Time) { s.arrive(now, r) })
	if delay, ok := s.hosts[r.host].hedgeDelay(now, r, now.Add(s.workload.target)); ok && !s.workload.noHedges {
		s.schedule(now.Add(delay), func(now time.Time) {
			if r.attempts == attempt {
				s.hedge(now, r)
			}
		})
	}
}

// hedge sends a copy of a request to the same upstream if the policy allows.
func (s *sim) hedge(now time.Time, r *simRequest) {
	if r.ended || !s.hosts[r.host].allowHedge(now, r.upstream.info.ID) {
		return
	}
	s.result.copies++
	s.hosts[r.host].start(now, r.upstream.info.ID)
	c := &simRequest{key: r.key, host: r.host, arrivedAt: r.arrivedAt, sentAt: r.sentAt, upstream: r.upstream, decision: r.decision, attempts: r.attempts, retried: r.retried, other: r, isCopy: true}
	r.other = c
	s.schedule(now.Add(s.delay(c)), func(now time.Time) { s.arrive(now, c) })
}

// cancel ends the other one of an original and its copy.
func (s *sim) cancel(now time.Time, r *simRequest) {
	s.hosts[r.host].finish(now, r.upstream.info.ID, agatebalance.Observation{Outcome: agatebalance.Canceled})
	r.ended = true
	s.schedule(now.Add(s.delay(r)), func(now time.Time) {
		r.canceled = true
		if r.started && now.Before(r.endsAt) {
			s.freeSlot(now, r.upstream)
		}
	})
}

// reject lets the caller retry once before the deadline.
func (s *sim) reject(now time.Time, r *simRequest) {
	retryAt := now.Add(200*time.Millisecond + time.Duration(s.rng.Int64N(int64(200*time.Millisecond))))
	if r.retried || retryAt.After(r.arrivedAt.Add(s.workload.deadline)) {
		s.result.rejected++
		return
	}
	r.retried = true
	s.schedule(retryAt, func(now time.Time) { s.decide(now, r, nil) })
}

func (s *sim) delay(r *simRequest) time.Duration {
	if s.hostRegions[r.host] == r.upstream.region {
		return simLocalDelay
	}
	return simRemoteDelay
}

func (s *sim) arrive(now time.Time, r *simRequest) {
	u := r.upstream
	switch {
	case r.canceled:
	case u.running < u.info.Slots:
		s.run(now, r)
	case len(u.queue) < simQueuePerSlot*u.info.Slots:
		u.queue = append(u.queue, r)
	default:
		s.respond(now, r, agatebalance.Shed)
	}
}

// run starts processing a request, which takes less time for a cached object.
func (s *sim) run(now time.Time, r *simRequest) {
	u := r.upstream
	u.running++
	r.started = true
	if !r.isCopy {
		s.recordExecution(now, r)
	}
	serviceTime := s.workload.serviceTime.Seconds() * (0.85 + 0.3*s.rng.Float64()) * u.slowFactor
	if u.access(r.key, s.workload.cacheSize) {
		serviceTime *= s.workload.cachedFactor
	}
	r.endsAt = now.Add(time.Duration(serviceTime * float64(time.Second)))
	if s.workload.sharedLoads && r.isCopy && r.other.started {
		r.endsAt = r.other.endsAt.Add(time.Millisecond)
	}
	s.schedule(r.endsAt, func(now time.Time) { s.finishRun(now, r) })
}

func (s *sim) recordExecution(now time.Time, r *simRequest) {
	from := s.hostRegions[r.host]
	if s.executed[from] == nil {
		s.executed[from] = map[int]map[string]int{}
	}
	window := int(now.Sub(s.start) / shiftWindow)
	if s.executed[from][window] == nil {
		s.executed[from][window] = map[string]int{}
	}
	s.executed[from][window][r.upstream.region]++
}

// access moves an object to the end of the LRU cache and reports whether it was
// cached.
func (u *simUpstream) access(key uint64, size int) bool {
	hit := false
	for i, k := range u.cache {
		if k == key {
			u.cache = append(u.cache[:i], u.cache[i+1:]...)
			hit = true
			break
		}
	}
	u.cache = append(u.cache, key)
	if len(u.cache) > size {
		u.cache = u.cache[1:]
	}
	return hit
}

func (s *sim) finishRun(now time.Time, r *simRequest) {
	if r.canceled {
		return
	}
	s.freeSlot(now, r.upstream)
	s.respond(now, r, agatebalance.Answered)
}

// freeSlot ends a run and starts the next one of the queue.
func (s *sim) freeSlot(now time.Time, u *simUpstream) {
	u.running--
	for len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if !next.canceled {
			s.run(now, next)
			return
		}
	}
}

func (s *sim) respond(now time.Time, r *simRequest, outcome agatebalance.Outcome) {
	u := r.upstream
	o := agatebalance.Observation{Outcome: outcome, Reported: !s.workload.noLoadReports, Running: u.running, Waiting: len(u.queue)}
	s.schedule(now.Add(s.delay(r)), func(now time.Time) {
		if r.ended {
			return // its other copy was answered first
		}
		r.ended = true
		if outcome == agatebalance.Shed && r.other != nil && !r.other.ended {
			s.hosts[r.host].finish(now, u.info.ID, o)
			return
		}
		if r.other != nil && !r.other.ended {
			s.cancel(now, r.other)
		}
		o.Hedged, o.CopyAnswered = r.other != nil, r.isCopy
		o.Latency = now.Sub(r.sentAt)
		o.RTT = 2 * s.delay(r)
		o.Basis = r.decision.Basis
		s.hosts[r.host].finish(now, u.info.ID, o)
		if outcome == agatebalance.Answered && r.sentAt.Sub(s.start) > s.workload.duration/2 {
			ratio := o.Latency.Seconds() / r.decision.ExpectedLatency.Seconds()
			s.result.latencyRatios = append(s.result.latencyRatios, ratio)
		}
		latency := now.Sub(r.arrivedAt)
		switch {
		case outcome == agatebalance.Shed && r.attempts < 2:
			s.decide(now, r, []string{u.info.ID})
		case outcome == agatebalance.Shed:
			s.reject(now, r)
		case latency > s.workload.deadline:
			s.result.failed++
		case latency > s.workload.target:
			s.result.late++
		default:
			s.result.inTime++
		}
	})
}

// newTablePolicy returns a policy with a new Table for one host.
func newTablePolicy(s *sim, host int) policy {
	regions := map[string]string{}
	for _, r := range simRegions {
		regions[r+"-0"], regions[r+"-1"] = r, r
	}
	t := agatebalance.New(agatebalance.Config{
		Host: fmt.Sprint("h", host), Region: s.hostRegions[host], Domain: s.hostRegions[host] + "-0", Regions: regions,
	})
	var hosts []string
	for h := range s.workload.hosts {
		hosts = append(hosts, fmt.Sprint("h", h))
	}
	t.SetHosts(time.Time{}, hosts)
	t.UpdateUpstreams(s.start, s.infos(), true, nil)
	return &tablePolicy{t: t, route: &agateplan.Route{Kind: agateplan.Safe, MaxAttempts: 2}}
}

// newBaseline returns a constructor of baseline policies.
func newBaseline(remoteCost, affinityCost, maxLoad float64) func(s *sim, host int) policy {
	return func(s *sim, host int) policy {
		return &baseline{upstreams: s.infos(), region: s.hostRegions[host], inFlight: map[string]int{}, remoteCost: remoteCost, affinityCost: affinityCost, maxLoad: maxLoad, weights: map[uint64][]float64{}}
	}
}
