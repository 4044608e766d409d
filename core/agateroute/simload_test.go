package agateroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"agategate/core/agateinventory"
)

const (
	simRegions             = 3
	simDomains             = 2
	simHosts               = 10
	simUpstreamsPerService = 12
	simSeed                = 20261203
	simWarmup              = 3 * time.Second
	loadBin                = 100 * time.Millisecond
	loadWindow             = 50 // bins over which the load of a region is averaged
	utilizationWindow      = 10 // bins over which the utilization of a region is averaged
)

// deployment is the size of a deployment and the shape of its requests.
type deployment struct {
	name         string
	services     []string
	actionShares []float64 // by service
	slots        []int     // by upstream within a region
	serviceTime  time.Duration
	deadline     time.Duration
}

var (
	deploymentA = deployment{
		name: "A", services: []string{"quotes", "labels", "zones"}, actionShares: []float64{0, 0.7, 0},
		slots: []int{3, 3, 3, 3}, serviceTime: 20 * time.Millisecond, deadline: 150 * time.Millisecond,
	}
	deploymentB = deployment{
		name: "B", services: []string{"schedule", "booking", "history"}, actionShares: []float64{0, 0.7, 0},
		slots: []int{4, 5, 6, 5}, serviceTime: 30 * time.Millisecond, deadline: 250 * time.Millisecond,
	}
)

// slotsOf returns the number of slots of one service in one region, which is the
// same in every region.
func (d deployment) slotsOf(int) int {
	n := 0
	for _, k := range d.slots {
		n += k
	}
	return n
}

// capacity returns slots / service time, in requests per second.
func (d deployment) capacity(slots int) float64 {
	return float64(slots) / d.serviceTime.Seconds()
}

func regionName(i int) string      { return []string{"r0", "r1", "r2"}[i] }
func regionIndex(name string) int  { return int(name[1] - '0') }
func domainName(p location) string { return fmt.Sprintf("r%dd%d", p.region, p.domain) }

// policy is a load balancing policy. The Table decides if choose is nil, unless
// the policy is ideal.
type policy struct {
	name   string
	ideal  bool
	choose func(h *simHost, usable []*upstream) *upstream
}

// workload describes the demand and the faults of a run.
type workload struct {
	name           string
	demand         [simRegions]float64 // relative to capacity, by region
	shiftCap       float64             // limit of shifted requests, as a share of a region's capacity
	duration       time.Duration
	prepare        func(s *sim) // runs before the first announcement
	scheduleFaults func(s *sim) // runs after the periodic events are scheduled
}

// runResult holds the measurements of a run.
type runResult struct {
	total, inTime       float64 // weighted requests
	latencies           []time.Duration
	refused, shed       int
	retries             int
	hedges              int
	crashes             int
	attributedCrashes   int
	reasons             map[Reason]int
	events              map[EventKind]int
	drainTimes          []time.Duration
	workAfterDrain      time.Duration // latest arrival of a request after the start of a drain
	shiftTimes          map[[3]int][]time.Duration
	shiftCount          int
	maxShift            float64              // relative to the shift limit
	work                map[[2]int][]float64 // admitted work in slot seconds, per loadBin by service and region
	slotTime            map[[2]int][]float64 // available slot seconds, likewise
	busy                map[[2]int][]float64 // used slot seconds, likewise
	maxLoad             float64              // admitted work relative to the capacity, over loadWindow
	maxDeadlineLoad     float64              // relative to the work that can be executed by the deadline
	maxRequestsPerSlot  float64              // requests at upstreams
	maxShiftUtilization float64              // utilization of a region when it receives shifted requests
}

func (o *runResult) share() float64 { return o.inTime / o.total }

func (o *runResult) quantile(q float64) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

func (o *runResult) addWorkAfterDrain(d time.Duration) { o.workAfterDrain = max(o.workAfterDrain, d) }
func (o *runResult) addDrainTime(d time.Duration)      { o.drainTimes = append(o.drainTimes, d) }

// addAdmitted adds the work of a request that reached an upstream.
func (o *runResult) addAdmitted(u *simUpstream, r *simRequest) {
	o.addWork(u, r.serviceTime.Seconds())
}

func (o *runResult) addWork(u *simUpstream, seconds float64) {
	bins := o.work[[2]int{u.service, u.location.region}]
	bins[len(bins)-1] += seconds
}

// addShift counts a request sent to another region.
func (o *runResult) addShift(s *sim, r *simRequest, u *simUpstream) {
	o.shiftCount++
	key := [3]int{r.service, r.home, u.location.region}
	sent := o.shiftTimes[key]
	for len(sent) > 0 && sent[0] <= s.now-time.Second {
		sent = sent[1:]
	}
	o.shiftTimes[key] = append(sent, s.now)
	o.maxShiftUtilization = max(o.maxShiftUtilization, s.utilization(u))
	o.maxShift = max(o.maxShift, float64(len(o.shiftTimes[key]))/float64(max(1, s.shiftCap())))
}

// utilization returns the utilization of an upstream's region by executed work
// over the last second.
func (s *sim) utilization(u *simUpstream) float64 {
	k := [2]int{u.service, u.location.region}
	if len(s.result.busy[k]) < utilizationWindow || s.now < simWarmup {
		return 0
	}
	n := len(s.result.busy[k])
	return total(s.result.busy[k][n-utilizationWindow:]) / total(s.result.slotTime[k][n-utilizationWindow:])
}

// sampleLoad measures the load of every service in every region.
func (s *sim) sampleLoad() {
	type sum struct {
		slots, inFlight int
		busy            float64
	}
	sums := map[[2]int]sum{}
	for _, u := range s.upstreams {
		k := [2]int{u.service, u.location.region}
		v := sums[k]
		v.inFlight += len(u.running) + len(u.waiting)
		u.updateBusyTime()
		v.busy += u.busyTime
		u.busyTime = 0
		if !u.stopped && !u.unreachable {
			v.slots += u.slots
		}
		sums[k] = v
	}
	o := &s.result
	for k, v := range sums {
		work, slots := o.work[k], append(o.slotTime[k], float64(v.slots)*loadBin.Seconds())
		if n := len(slots); n >= loadWindow && s.now > simWarmup+loadWindow*loadBin && v.slots > 0 {
			o.maxDeadlineLoad = max(o.maxDeadlineLoad, deadlineLoad(work, slots, s.deployment.deadline))
			o.maxLoad = max(o.maxLoad, total(work[n-loadWindow:])/total(slots[n-loadWindow:]))
			o.maxRequestsPerSlot = max(o.maxRequestsPerSlot, float64(v.inFlight)/float64(v.slots))
		}
		o.work[k] = append(work, 0)
		o.slotTime[k] = slots
		o.busy[k] = append(o.busy[k], v.busy)
	}
}

// deadlineLoadWindows are the windows, in bins, over which admitted work is
// compared with the work that a region can execute until its deadline.
var deadlineLoadWindows = []int{1, 2, 5, 10, loadWindow}

// deadlineLoad returns the highest ratio of admitted work to the work that the
// slots can execute from the start of a window to the deadline of the last
// request in it. Above 1, a region admitted more than it can answer in time.
func deadlineLoad(work, slots []float64, deadline time.Duration) float64 {
	highest := 0.0
	for _, w := range deadlineLoadWindows {
		n := len(slots)
		untilDeadline := slots[n-1] / loadBin.Seconds() * deadline.Seconds()
		highest = max(highest, total(work[n-w:])/(total(slots[n-w:])+untilDeadline))
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

// complete ends a request for its caller.
func (s *sim) complete(r *simRequest, inTime bool) {
	if r.done {
		return
	}
	r.done = true
	if r.crashesUpstream {
		s.resend(r)
		return
	}
	if r.arrivedAt < simWarmup || r.arrivedAt > s.workload.duration {
		return
	}
	if inTime {
		s.result.inTime += r.weight()
		s.result.latencies = append(s.result.latencies, s.now-r.arrivedAt)
	}
}

// resend simulates the caller of the crashing request, which sends it 50 times.
func (s *sim) resend(r *simRequest) {
	if r.resends >= 50 {
		return
	}
	s.after(100*time.Millisecond, func() {
		q := &simRequest{service: r.service, home: r.home, crashesUpstream: true, serviceTime: r.serviceTime, resends: r.resends + 1}
		q.Class = r.Class
		s.submit(q, s.hostFor(r.home, r.resends))
	})
}

// hostFor returns a reachable entry host of a region, or else of another region.
func (s *sim) hostFor(region, pick int) *simHost {
	var near, far []*simHost
	for _, h := range s.hosts {
		if !h.unreachable && h.location.region == region {
			near = append(near, h)
		} else if !h.unreachable {
			far = append(far, h)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return near[pick%len(near)]
}

// submit completes the fields of a request and passes it to an entry host.
func (s *sim) submit(r *simRequest, h *simHost) {
	s.nextID++
	r.ID = fmt.Sprint("q", s.nextID)
	r.Service, r.HomeRegion = s.deployment.services[r.service], regionName(r.home)
	r.arrivedAt, r.deadline = s.now, s.now+s.deployment.deadline
	r.Deadline = epoch.Add(r.deadline)
	if r.arrivedAt >= simWarmup && r.arrivedAt <= s.workload.duration && !r.crashesUpstream {
		s.result.total += r.weight()
	}
	if s.policy.ideal {
		s.idealReceive(r)
		return
	}
	if r.crashesUpstream && s.policy.choose == nil {
		// Stands in for core/agatesuspect, which shares suspects among all hosts.
		r.Suspect = s.result.attributedCrashes > 0
		if s.result.attributedCrashes >= 2 {
			s.complete(r, false)
			return
		}
	}
	h.receive(r)
}

// scheduleArrivals generates the requests of one service in one region. The
// random draws are the same for every policy.
func (s *sim) scheduleArrivals(service, region int) {
	rng := rand.New(rand.NewPCG(simSeed, uint64(service*10+region)))
	mean := 1 / (s.workload.demand[region] * s.deployment.capacity(s.deployment.slotsOf(region)))
	if s.workload.demand[region] == 0 {
		return
	}
	var next func()
	next = func() {
		r := &simRequest{service: service, home: region}
		r.Class = agateinventory.Read
		if rng.Float64() < s.deployment.actionShares[service] {
			r.Class = agateinventory.Action
		}
		// Erlang-2 service times have a standard deviation of 0.7 of their mean.
		r.serviceTime = time.Duration((rng.ExpFloat64() + rng.ExpFloat64()) / 2 * float64(s.deployment.serviceTime))
		s.submit(r, s.hostFor(region, int(rng.Uint32()>>1)))
		s.after(time.Duration(rng.ExpFloat64()*mean*float64(time.Second)), next)
	}
	s.after(time.Duration(rng.ExpFloat64()*mean*float64(time.Second)), next)
}

// simInventory returns the inventory of a deployment. It does not contain the
// shift limit, which sim.grant applies.
func simInventory(d deployment, _ float64) *agateinventory.Inventory {
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

// newSim returns a simulation in which all upstreams are warm.
func newSim(d deployment, w workload, p policy) *sim {
	s := &sim{
		deployment: d, workload: w, policy: p, rng: rand.New(rand.NewPCG(simSeed, 99)),
		byID: map[UpstreamID]*simUpstream{}, grantTimes: map[[3]int][]time.Duration{},
	}
	s.result = runResult{
		reasons: map[Reason]int{}, events: map[EventKind]int{}, shiftTimes: map[[3]int][]time.Duration{},
		work: map[[2]int][]float64{}, slotTime: map[[2]int][]float64{},
		busy: map[[2]int][]float64{},
	}
	inv := simInventory(d, w.shiftCap)
	for i := range simHosts {
		at := location{i % simRegions, (i / simRegions) % simDomains}
		s.hosts = append(s.hosts, newSimHost(s, fmt.Sprint("e", i), at, inv))
	}
	for service := range d.services {
		for i := range simUpstreamsPerService {
			s.addUpstream(service, i)
		}
		for region := range simRegions {
			s.result.work[[2]int{service, region}] = []float64{0}
			s.scheduleArrivals(service, region)
		}
	}
	if w.prepare != nil {
		w.prepare(s)
	}
	s.start()
	return s
}

func (s *sim) addUpstream(service, i int) {
	k := i / simRegions
	u := &simUpstream{
		sim: s, id: UpstreamID(fmt.Sprintf("%s%d", s.deployment.services[service], i)), service: service,
		location: location{i % simRegions, k % simDomains}, slots: s.deployment.slots[k],
		incarnation: 1, sequence: warmSequence, started: coldRequests,
	}
	s.upstreams = append(s.upstreams, u)
	s.byID[u.id] = u
}

// start schedules the periodic events.
func (s *sim) start() {
	for i, u := range s.upstreams {
		u.announce()
		s.every(time.Duration(i)*DefaultAnnounceInterval/time.Duration(len(s.upstreams)), DefaultAnnounceInterval, u.announce)
	}
	for i, h := range s.hosts {
		s.every(time.Duration(i+1)*10*time.Millisecond, 100*time.Millisecond, h.exchange)
		s.every(time.Duration(i)*500*time.Microsecond, TickInterval, h.tick)
	}
	s.every(loadBin, loadBin, s.sampleLoad)
	if s.workload.scheduleFaults != nil {
		s.workload.scheduleFaults(s)
	}
}

// run simulates one policy under one workload.
func run(d deployment, w workload, p policy) *runResult {
	s := newSim(d, w, p)
	s.runUntil(w.duration + time.Second)
	return &s.result
}
