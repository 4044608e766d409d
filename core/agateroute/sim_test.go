package agateroute

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"agategate/core/agateinventory"
)

// One-way latencies of the simulated network and the times to open a connection
// and to detect a dead one.
const (
	crossDomainLatency = time.Millisecond
	crossRegionLatency = 20 * time.Millisecond
	sameDomainLatency  = 200 * time.Microsecond
	connectTime        = time.Millisecond
	deadConnTimeout    = 100 * time.Millisecond
)

// event is an action at a point of virtual time.
type event struct {
	time   time.Duration
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].time < e[j].time || (e[i].time == e[j].time && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// location is a failure domain.
type location struct{ region, domain int }

func networkLatency(a, b location) time.Duration {
	switch {
	case a.region != b.region:
		return crossRegionLatency
	case a.domain != b.domain:
		return crossDomainLatency
	}
	return sameDomainLatency
}

// sim simulates entry hosts and upstreams on virtual time.
type sim struct {
	workload    workload
	deployment  deployment
	policy      policy
	now         time.Duration
	seq         int
	events      events
	rng         *rand.Rand // for random policies
	hosts       []*simHost
	upstreams   []*simUpstream
	byID        map[UpstreamID]*simUpstream
	grantTimes  map[[3]int][]time.Duration
	result      runResult
	nextID      int
	controlLost bool // no announcement or exchange arrives
	idealGroups map[[2]int]*idealGroup
}

var epoch = time.Unix(1_700_000_000, 0)

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{time: s.now + d, seq: s.seq, action: run})
}

// every runs a function periodically, first after phase.
func (s *sim) every(phase, interval time.Duration, run func()) {
	s.after(phase, func() {
		run()
		s.every(interval, interval, run)
	})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].time <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.time
		e.action()
	}
}

// grant simulates the overflow grants: a limit per second, counted over all
// entry hosts in a sliding window.
func (s *sim) grant(service, from, to int) bool {
	key := [3]int{service, from, to}
	granted := s.grantTimes[key]
	for len(granted) > 0 && granted[0] <= s.now-time.Second {
		granted = granted[1:]
	}
	ok := len(granted) < s.shiftCap()
	if ok {
		granted = append(granted, s.now)
	}
	s.grantTimes[key] = granted
	return ok
}

// shiftCap is the limit of requests per second of one service from one region to
// another.
func (s *sim) shiftCap() int {
	return int(s.workload.shiftCap * s.deployment.capacity(s.deployment.slotsOf(0)))
}

// simRequest is a request of a caller.
type simRequest struct {
	Request
	service         int
	home            int
	arrivedAt       time.Duration
	deadline        time.Duration
	serviceTime     time.Duration // on a warm upstream
	host            *simHost
	attempts        []*attempt
	done            bool
	crashesUpstream bool // crashes the upstream that executes it
	crashes         int
	resends         int
	ideal           bool
}

func (r *simRequest) weight() float64 {
	if r.Class == agateinventory.Action {
		return 2
	}
	return 1
}

// attempt is a request sent to one upstream.
type attempt struct {
	request     *simRequest
	upstream    *simUpstream
	sentAt      time.Duration
	conn        *simConn
	finished    bool // completed or canceled at the entry host
	arrived     bool
	running     bool
	incarnation int // of the upstream that executes it
	hedge       bool
	startedAt   time.Duration
	endsAt      time.Duration
}

// simUpstream simulates an upstream: slots with a bounded queue, slow first
// responses, load shedding, and load reports that are delayed or misleading.
type simUpstream struct {
	sim         *sim
	id          UpstreamID
	service     int
	location    location
	slots       int
	running     []*attempt
	waiting     []*attempt
	incarnation uint64
	sequence    uint64
	started     int // requests started by this incarnation
	stopped     bool
	unreachable bool // permanently
	state       State
	drainStart  time.Duration
	misreports  bool
	busyTime    float64 // slot seconds in use since the last sample
	busyUpdated time.Duration
}

const (
	coldRequests = 20  // number of slow first requests of a new incarnation
	coldFactor   = 3.0 // slowdown of the first of them
	shedFactor   = 6   // queued requests per slot from which the upstream sheds load
)

func (u *simUpstream) slowness() float64 {
	if u.started >= coldRequests {
		return 1
	}
	return 1 + (coldFactor-1)*float64(coldRequests-u.started)/coldRequests
}

// updateBusyTime adds up the time that slots are in use. It is called before
// each change of the running requests.
func (u *simUpstream) updateBusyTime() {
	u.busyTime += float64(len(u.running)) * (u.sim.now - u.busyUpdated).Seconds()
	u.busyUpdated = u.sim.now
}

// receive handles a request from the network.
func (u *simUpstream) receive(a *attempt) {
	if u.unreachable {
		return
	}
	if u.stopped {
		u.respond(a, NotSent)
		return
	}
	if a.finished && !a.request.ideal {
		return
	}
	if u.state != Up {
		u.sim.result.addWorkAfterDrain(u.sim.now - u.drainStart)
	}
	u.sim.result.addAdmitted(u, a.request)
	a.arrived = true
	a.incarnation = int(u.incarnation)
	if len(u.waiting) >= shedFactor*u.slots {
		u.sim.result.shed++
		u.respond(a, Shed)
		return
	}
	u.waiting = append(u.waiting, a)
	u.startQueued()
}

// startQueued starts queued requests in free slots.
func (u *simUpstream) startQueued() {
	for len(u.running) < u.slots && len(u.waiting) > 0 && !u.stopped {
		a := u.waiting[0]
		u.waiting = u.waiting[1:]
		if u.sim.now >= a.request.deadline {
			u.respond(a, TimedOut)
			continue
		}
		u.updateBusyTime()
		a.running = true
		u.running = append(u.running, a)
		if a.request.crashesUpstream {
			u.sim.after(a.request.serviceTime/4, func() { u.crash(a) })
			continue
		}
		duration := time.Duration(float64(a.request.serviceTime) * u.slowness())
		u.started++
		a.startedAt, a.endsAt = u.sim.now, u.sim.now+duration
		u.sim.after(duration, func() { u.finish(a) })
	}
}

func (u *simUpstream) finish(a *attempt) {
	if !a.running || u.stopped || a.incarnation != int(u.incarnation) {
		return
	}
	u.release(a)
	u.respond(a, Answered)
	u.startQueued()
}

func (u *simUpstream) release(a *attempt) {
	u.updateBusyTime()
	a.running = false
	for i, b := range u.running {
		if a == b {
			u.running = append(u.running[:i], u.running[i+1:]...)
			return
		}
	}
}

// cancel removes a request whose connection was closed.
func (u *simUpstream) cancel(a *attempt) {
	for i, b := range u.waiting {
		if a == b {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			u.sim.result.addWork(u, -a.request.serviceTime.Seconds())
			return
		}
	}
	if a.running && a.incarnation == int(u.incarnation) {
		u.release(a)
		remaining := float64(a.endsAt-u.sim.now) / float64(a.endsAt-a.startedAt)
		u.sim.result.addWork(u, -remaining*a.request.serviceTime.Seconds())
		u.startQueued()
	}
}

// crash ends the process. It restarts as a new incarnation.
func (u *simUpstream) crash(a *attempt) {
	if u.stopped || !a.running || a.incarnation != int(u.incarnation) {
		return
	}
	u.stop(Failed)
	u.sim.result.crashes++
	u.sim.after(time.Second, u.start)
}

// stop ends all requests with the given outcome.
func (u *simUpstream) stop(o Outcome) {
	u.stopped = true
	u.updateBusyTime()
	ended := append(u.running, u.waiting...)
	u.running, u.waiting = nil, nil
	for _, a := range ended {
		a.running = false
		u.respond(a, o)
	}
}

func (u *simUpstream) start() {
	u.stopped = false
	u.state = Up
	u.incarnation++
	u.sequence = 0
	u.started = 0
	u.announce()
}

// respond sends an outcome to the entry host.
func (u *simUpstream) respond(a *attempt, o Outcome) {
	u.sim.after(networkLatency(a.request.host.location, u.location), func() {
		if !u.unreachable {
			a.request.host.attemptEnded(a, o)
		}
	})
}

// announce sends an announcement to all entry hosts.
func (u *simUpstream) announce() {
	if u.stopped || u.unreachable || u.sim.controlLost {
		return
	}
	u.sequence++
	load := float64(len(u.running)+len(u.waiting)) / float64(u.slots)
	if u.misreports {
		load = 0
	}
	a := Announcement{
		ID: u.id, Incarnation: u.incarnation, Sequence: u.sequence,
		Service: u.sim.deployment.services[u.service], Region: regionName(u.location.region), Domain: domainName(u.location),
		Address: simAddress, Slots: u.slots, MaxConnections: 330, Load: load, State: u.state,
	}
	for _, h := range u.sim.hosts {
		u.sim.after(networkLatency(h.location, u.location), func() { h.receiveAnnouncement(u, a) })
	}
}

// drain announces the draining state and restarts the upstream once it is idle.
func (u *simUpstream) drain() {
	u.state = Draining
	u.drainStart = u.sim.now
	u.announce()
	u.sim.after(500*time.Millisecond, u.restartWhenIdle)
}

func (u *simUpstream) restartWhenIdle() {
	if len(u.running)+len(u.waiting) > 0 {
		u.sim.after(20*time.Millisecond, u.restartWhenIdle)
		return
	}
	u.sim.result.addDrainTime(u.sim.now - u.drainStart)
	u.state = Leaving
	u.announce()
	u.sim.after(50*time.Millisecond, func() { u.stop(NotSent) })
	u.sim.after(300*time.Millisecond, u.start)
}
