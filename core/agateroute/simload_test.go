package agateroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"agategate/core/agateinventory"
)

const (
	simRegions = 3
	simDomains = 2
	simHosts   = 10
	simPer     = 12 // upstreams per service
	simSeed    = 20261203
	simWarmup  = 3 * time.Second
	loadBin    = 100 * time.Millisecond
	loadWindow = 50 // bins over which a region's load is averaged
	usedWindow = 10 // bins over which its utilisation is averaged
)

// deployment is the shape of one organisation.
type deployment struct {
	name     string
	services []string
	actions  []float64 // share of actions, by service
	slots    []int     // by upstream within a region
	mean     time.Duration
	deadline time.Duration
}

var (
	deploymentA = deployment{
		name: "A", services: []string{"quotes", "labels", "zones"}, actions: []float64{0, 0.7, 0},
		slots: []int{3, 3, 3, 3}, mean: 20 * time.Millisecond, deadline: 150 * time.Millisecond,
	}
	deploymentB = deployment{
		name: "B", services: []string{"schedule", "booking", "history"}, actions: []float64{0, 0.7, 0},
		slots: []int{4, 5, 6, 5}, mean: 30 * time.Millisecond, deadline: 250 * time.Millisecond,
	}
)

// slotsOf is the number of slots of one service in one region.
func (d deployment) slotsOf(int) int {
	n := 0
	for _, k := range d.slots {
		n += k
	}
	return n
}

// capacity is slots / service time in requests per second.
func (d deployment) capacity(slots int) float64 {
	return float64(slots) / d.mean.Seconds()
}

func regionName(i int) string     { return []string{"r0", "r1", "r2"}[i] }
func regionIndex(name string) int { return int(name[1] - '0') }
func domainName(p place) string   { return fmt.Sprintf("r%dd%d", p.region, p.domain) }

// policy is a way to choose: the product when rule is nil, and not ideal.
type policy struct {
	name  string
	ideal bool
	rule  func(h *simHost, usable []*upstream) *upstream
}

// workload is what happens during a run.
type workload struct {
	name    string
	load    [simRegions]float64 // demand against capacity, by region
	shift   float64             // cap of a shift as a share of a region's capacity
	length  time.Duration
	prepare func(s *sim) // before the first announcement
	setup   func(s *sim)
}

// outcome is what a run measured.
type outcome struct {
	total, intime float64 // weighted
	latencies     []time.Duration
	refused, shed int
	retries       int
	hedges        int
	crashes       int
	deaths        int
	reasons       map[Reason]int
	events        map[EventKind]int
	drains        []time.Duration
	newAfter      time.Duration // last new work after a drain began
	shifts        map[[3]int][]time.Duration
	shiftCount    int
	topShift      float64 // against the cap
	work          map[[2]int][]float64
	slotTime      map[[2]int][]float64
	busy          map[[2]int][]float64
	topLoad       float64
	topDue        float64 // against what can be executed by the deadline
	topHeld       float64 // requests at upstreams per slot
	topUsed       float64 // utilisation of a region when it takes overflow
}

func (o *outcome) share() float64 { return o.intime / o.total }

func (o *outcome) quantile(q float64) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

func (o *outcome) afterDrain(d time.Duration) { o.newAfter = max(o.newAfter, d) }
func (o *outcome) drainTime(d time.Duration)  { o.drains = append(o.drains, d) }

// admitted counts the work of a request that reached an upstream.
func (o *outcome) admitted(u *simUp, r *simRequest) {
	o.addWork(u, r.work.Seconds())
}

func (o *outcome) addWork(u *simUp, seconds float64) {
	bins := o.work[[2]int{u.service, u.at.region}]
	bins[len(bins)-1] += seconds
}

// shifted counts a request that leaves its region.
func (o *outcome) shifted(s *sim, r *simRequest, u *simUp) {
	o.shiftCount++
	key := [3]int{r.service, r.home, u.at.region}
	sent := o.shifts[key]
	for len(sent) > 0 && sent[0] <= s.now-time.Second {
		sent = sent[1:]
	}
	o.shifts[key] = append(sent, s.now)
	o.topUsed = max(o.topUsed, s.used(u))
	o.topShift = max(o.topShift, float64(len(o.shifts[key]))/float64(max(1, s.shiftCap())))
}

// used is the utilisation of an upstream's region by executed work over the
// last second.
func (s *sim) used(u *simUp) float64 {
	k := [2]int{u.service, u.at.region}
	if len(s.out.busy[k]) < usedWindow || s.now < simWarmup {
		return 0
	}
	n := len(s.out.busy[k])
	return total(s.out.busy[k][n-usedWindow:]) / total(s.out.slotTime[k][n-usedWindow:])
}

// sample measures the load of every service in every region.
func (s *sim) sample() {
	type sum struct {
		slots, held int
		busy        float64
	}
	sums := map[[2]int]sum{}
	for _, u := range s.ups {
		k := [2]int{u.service, u.at.region}
		v := sums[k]
		v.held += len(u.running) + len(u.waiting)
		u.tally()
		v.busy += u.busyTime
		u.busyTime = 0
		if !u.dead && !u.lost {
			v.slots += u.slots
		}
		sums[k] = v
	}
	o := &s.out
	for k, v := range sums {
		work, slots := o.work[k], append(o.slotTime[k], float64(v.slots)*loadBin.Seconds())
		if n := len(slots); n >= loadWindow && s.now > simWarmup+loadWindow*loadBin && v.slots > 0 {
			o.topDue = max(o.topDue, due(work, slots, s.d.deadline))
			o.topLoad = max(o.topLoad, total(work[n-loadWindow:])/total(slots[n-loadWindow:]))
			o.topHeld = max(o.topHeld, float64(v.held)/float64(v.slots))
		}
		o.work[k] = append(work, 0)
		o.slotTime[k] = slots
		o.busy[k] = append(o.busy[k], v.busy)
	}
}

// dueWindows are the windows, in bins, over which admitted work is compared
// with what the region can execute until its deadline.
var dueWindows = []int{1, 2, 5, 10, loadWindow}

// due is the highest ratio of admitted work to what the slots can execute
// from the beginning of a window to the deadline of the last request in it.
// Above 1, a region took more than it can answer in time.
func due(work, slots []float64, deadline time.Duration) float64 {
	highest := 0.0
	for _, w := range dueWindows {
		n := len(slots)
		more := slots[n-1] / loadBin.Seconds() * deadline.Seconds()
		highest = max(highest, total(work[n-w:])/(total(slots[n-w:])+more))
	}
	return highest
}

func total(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum
}

// settle ends a request for its caller.
func (s *sim) settle(r *simRequest, intime bool) {
	if r.done {
		return
	}
	r.done = true
	if r.crash {
		s.resend(r)
		return
	}
	if r.arrive < simWarmup || r.arrive > s.w.length {
		return
	}
	if intime {
		s.out.intime += r.weight()
		s.out.latencies = append(s.out.latencies, s.now-r.arrive)
	}
}

// resend is the caller of the crashing request, which sends it 50 times.
func (s *sim) resend(r *simRequest) {
	if r.resends >= 50 {
		return
	}
	s.at(100*time.Millisecond, func() {
		q := &simRequest{service: r.service, home: r.home, crash: true, work: r.work, resends: r.resends + 1}
		q.Class = r.Class
		s.issue(q, s.hostFor(r.home, r.resends))
	})
}

// hostFor returns a live entry host of a region, or one of another region.
func (s *sim) hostFor(region, pick int) *simHost {
	var near, far []*simHost
	for _, h := range s.hosts {
		if !h.lost && h.at.region == region {
			near = append(near, h)
		} else if !h.lost {
			far = append(far, h)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return near[pick%len(near)]
}

// issue completes a request and gives it to an entry host.
func (s *sim) issue(r *simRequest, h *simHost) {
	s.nextID++
	r.ID = fmt.Sprint("q", s.nextID)
	r.Service, r.Region = s.d.services[r.service], regionName(r.home)
	r.arrive, r.deadline = s.now, s.now+s.d.deadline
	r.Deadline = epoch.Add(r.deadline)
	if r.arrive >= simWarmup && r.arrive <= s.w.length && !r.crash {
		s.out.total += r.weight()
	}
	if s.p.ideal {
		s.idealTake(r)
		return
	}
	if r.crash && s.p.rule == nil {
		// What core/agatesuspect does on all hosts.
		r.Alone = s.out.deaths > 0
		if s.out.deaths >= 2 {
			s.settle(r, false)
			return
		}
	}
	h.take(r)
}

// arrivals is the stream of one service's callers in one region. The draws
// are the same for every policy.
func (s *sim) arrivals(service, region int) {
	rng := rand.New(rand.NewPCG(simSeed, uint64(service*10+region)))
	mean := 1 / (s.w.load[region] * s.d.capacity(s.d.slotsOf(region)))
	if s.w.load[region] == 0 {
		return
	}
	var next func()
	next = func() {
		r := &simRequest{service: service, home: region}
		r.Class = agateinventory.Read
		if rng.Float64() < s.d.actions[service] {
			r.Class = agateinventory.Action
		}
		// Erlang-2 service times vary by 0.7 of their mean.
		r.work = time.Duration((rng.ExpFloat64() + rng.ExpFloat64()) / 2 * float64(s.d.mean))
		s.issue(r, s.hostFor(region, int(rng.Uint32()>>1)))
		s.at(time.Duration(rng.ExpFloat64()*mean*float64(time.Second)), next)
	}
	s.at(time.Duration(rng.ExpFloat64()*mean*float64(time.Second)), next)
}

// simInventory describes the deployment to the tables.
func simInventory(d deployment, shift float64) *agateinventory.Inventory {
	inv := &agateinventory.Inventory{TargetUtilization: agateinventory.DefaultTargetUtilization, MaxEjectedShare: agateinventory.DefaultMaxEjectedShare}
	var regions []string
	for i := range simRegions {
		regions = append(regions, regionName(i))
	}
	for _, name := range d.services {
		inv.Services = append(inv.Services, agateinventory.Service{Name: name, Regions: regions, Deadline: d.deadline})
	}
	for i := range simHosts {
		inv.Hosts = append(inv.Hosts, agateinventory.Host{Name: fmt.Sprint("e", i)})
	}
	return inv
}

// newSim builds a run. All upstreams are warm at its start.
func newSim(d deployment, w workload, p policy) *sim {
	s := &sim{
		d: d, w: w, p: p, own: rand.New(rand.NewPCG(simSeed, 99)),
		byID: map[UpstreamID]*simUp{}, granted: map[[3]int][]time.Duration{},
	}
	s.out = outcome{
		reasons: map[Reason]int{}, events: map[EventKind]int{}, shifts: map[[3]int][]time.Duration{},
		work: map[[2]int][]float64{}, slotTime: map[[2]int][]float64{},
		busy: map[[2]int][]float64{},
	}
	inv := simInventory(d, w.shift)
	for i := range simHosts {
		at := place{i % simRegions, (i / simRegions) % simDomains}
		s.hosts = append(s.hosts, newSimHost(s, fmt.Sprint("e", i), at, inv))
	}
	for service := range d.services {
		for i := range simPer {
			s.addUp(service, i)
		}
		for region := range simRegions {
			s.out.work[[2]int{service, region}] = []float64{0}
			s.arrivals(service, region)
		}
	}
	if w.prepare != nil {
		w.prepare(s)
	}
	s.start()
	return s
}

func (s *sim) addUp(service, i int) {
	k := i / simRegions
	u := &simUp{
		s: s, id: UpstreamID(fmt.Sprintf("%s%d", s.d.services[service], i)), service: service,
		at: place{i % simRegions, k % simDomains}, slots: s.d.slots[k],
		incarnation: 1, sequence: warmSequence, answers: coldAnswers,
	}
	s.ups = append(s.ups, u)
	s.byID[u.id] = u
}

// start schedules what runs all the time.
func (s *sim) start() {
	for i, u := range s.ups {
		u.announce()
		s.every(time.Duration(i)*DefaultInterval/time.Duration(len(s.ups)), DefaultInterval, u.announce)
	}
	for i, h := range s.hosts {
		s.every(time.Duration(i+1)*10*time.Millisecond, 100*time.Millisecond, h.exchange)
		s.every(time.Duration(i)*500*time.Microsecond, TickInterval, h.tick)
	}
	s.every(loadBin, loadBin, s.sample)
	if s.w.setup != nil {
		s.w.setup(s)
	}
}

// run measures one policy under one workload.
func run(d deployment, w workload, p policy) *outcome {
	s := newSim(d, w, p)
	s.runUntil(w.length + time.Second)
	return &s.out
}
