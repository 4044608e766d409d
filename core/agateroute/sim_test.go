package agateroute

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"agategate/core/agateinventory"
)

// One-way latencies of the stand-in network and the time to open a connection.
const (
	hopDomain  = time.Millisecond
	hopRegion  = 20 * time.Millisecond
	hopSame    = 200 * time.Microsecond
	openTime   = time.Millisecond
	silentTime = 100 * time.Millisecond // until a connection counts as dead
)

// event is something that happens at a virtual time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// place is a failure domain.
type place struct{ region, domain int }

func hop(a, b place) time.Duration {
	switch {
	case a.region != b.region:
		return hopRegion
	case a.domain != b.domain:
		return hopDomain
	}
	return hopSame
}

// sim runs entry hosts against the queue stand-in on virtual time.
type sim struct {
	w       workload
	d       deployment
	p       policy
	now     time.Duration
	seq     int
	queue   events
	own     *rand.Rand // draws of random policies
	hosts   []*simHost
	ups     []*simUp
	byID    map[UpstreamID]*simUp
	granted map[[3]int][]time.Duration
	out     outcome
	nextID  int
	muted   bool // no announcement and no exchange arrives
	ideals  map[[2]int]*idealGroup
}

var epoch = time.Unix(1_700_000_000, 0)

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, run: run})
}

// every runs a function repeatedly, first after a phase.
func (s *sim) every(phase, interval time.Duration, run func()) {
	s.at(phase, func() {
		run()
		s.every(interval, interval, run)
	})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// grant is the stand-in for the overflow grants: a cap per second, counted
// over all entry hosts in a sliding window.
func (s *sim) grant(service, from, to int) bool {
	key := [3]int{service, from, to}
	taken := s.granted[key]
	for len(taken) > 0 && taken[0] <= s.now-time.Second {
		taken = taken[1:]
	}
	ok := len(taken) < s.shiftCap()
	if ok {
		taken = append(taken, s.now)
	}
	s.granted[key] = taken
	return ok
}

// shiftCap is the cap on the requests per second of one service from one
// region to another.
func (s *sim) shiftCap() int {
	return int(s.w.shift * s.d.capacity(s.d.slotsOf(0)))
}

// simRequest is one request of a caller.
type simRequest struct {
	Request
	service  int
	home     int
	arrive   time.Duration
	deadline time.Duration
	work     time.Duration // service time on a warm upstream
	host     *simHost
	attempts []*attempt
	done     bool
	crash    bool // crashes the upstream that executes it
	deaths   int
	resends  int
	ideal    bool
}

func (r *simRequest) weight() float64 {
	if r.Class == agateinventory.Action {
		return 2
	}
	return 1
}

// attempt is one request at one upstream.
type attempt struct {
	r       *simRequest
	up      *simUp
	sent    time.Duration
	conn    *simConn
	over    bool // finished or given up at the entry host
	arrived bool
	running bool
	run     int // incarnation that executes it
	hedge   bool
	began   time.Duration
	ends    time.Duration
}

// simUp is the stand-in for an upstream: slots, a bounded queue in front of
// them, slow first answers, shedding, and reports that lag or mislead.
type simUp struct {
	s           *sim
	id          UpstreamID
	service     int
	at          place
	slots       int
	running     []*attempt
	waiting     []*attempt
	incarnation uint64
	sequence    uint64
	answers     int // of this incarnation
	dead        bool
	lost        bool // unreachable for good
	state       State
	drained     time.Duration
	lies        bool
	busyTime    float64 // slot seconds in use since the last sample
	tallied     time.Duration
}

const (
	coldAnswers = 20  // slow answers of a new incarnation
	coldFactor  = 3.0 // slowness of the first
	shedFactor  = 6   // waiting requests per slot from which it sheds
)

func (u *simUp) slowness() float64 {
	if u.answers >= coldAnswers {
		return 1
	}
	return 1 + (coldFactor-1)*float64(coldAnswers-u.answers)/coldAnswers
}

// tally adds up the time that slots are in use. It is called before each
// change of the running requests.
func (u *simUp) tally() {
	u.busyTime += float64(len(u.running)) * (u.s.now - u.tallied).Seconds()
	u.tallied = u.s.now
}

// arrive takes a request from the network.
func (u *simUp) arrive(a *attempt) {
	if u.lost {
		return
	}
	if u.dead {
		u.reply(a, NotSent)
		return
	}
	if a.over && !a.r.ideal {
		return
	}
	if u.state != Up {
		u.s.out.afterDrain(u.s.now - u.drained)
	}
	u.s.out.admitted(u, a.r)
	a.arrived = true
	a.run = int(u.incarnation)
	if len(u.waiting) >= shedFactor*u.slots {
		u.s.out.shed++
		u.reply(a, Shed)
		return
	}
	u.waiting = append(u.waiting, a)
	u.work()
}

// work starts what fits into the slots.
func (u *simUp) work() {
	for len(u.running) < u.slots && len(u.waiting) > 0 && !u.dead {
		a := u.waiting[0]
		u.waiting = u.waiting[1:]
		if u.s.now >= a.r.deadline {
			u.reply(a, TimedOut)
			continue
		}
		u.tally()
		a.running = true
		u.running = append(u.running, a)
		if a.r.crash {
			u.s.at(a.r.work/4, func() { u.crash(a) })
			continue
		}
		took := time.Duration(float64(a.r.work) * u.slowness())
		u.answers++
		a.began, a.ends = u.s.now, u.s.now+took
		u.s.at(took, func() { u.finish(a) })
	}
}

func (u *simUp) finish(a *attempt) {
	if !a.running || u.dead || a.run != int(u.incarnation) {
		return
	}
	u.free(a)
	u.reply(a, Answered)
	u.work()
}

func (u *simUp) free(a *attempt) {
	u.tally()
	a.running = false
	for i, b := range u.running {
		if a == b {
			u.running = append(u.running[:i], u.running[i+1:]...)
			return
		}
	}
}

// cancel takes a request back whose connection was closed.
func (u *simUp) cancel(a *attempt) {
	for i, b := range u.waiting {
		if a == b {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			u.s.out.addWork(u, -a.r.work.Seconds())
			return
		}
	}
	if a.running && a.run == int(u.incarnation) {
		u.free(a)
		left := float64(a.ends-u.s.now) / float64(a.ends-a.began)
		u.s.out.addWork(u, -left*a.r.work.Seconds())
		u.work()
	}
}

// crash ends the process; it comes back as a new incarnation.
func (u *simUp) crash(a *attempt) {
	if u.dead || !a.running || a.run != int(u.incarnation) {
		return
	}
	u.stop(Failed)
	u.s.out.crashes++
	u.s.at(time.Second, u.start)
}

// stop ends all work with an outcome.
func (u *simUp) stop(o Outcome) {
	u.dead = true
	u.tally()
	ended := append(u.running, u.waiting...)
	u.running, u.waiting = nil, nil
	for _, a := range ended {
		a.running = false
		u.reply(a, o)
	}
}

func (u *simUp) start() {
	u.dead = false
	u.state = Up
	u.incarnation++
	u.sequence = 0
	u.answers = 0
	u.announce()
}

// reply carries an outcome back to the entry host.
func (u *simUp) reply(a *attempt, o Outcome) {
	u.s.at(hop(a.r.host.at, u.at), func() {
		if !u.lost {
			a.r.host.ended(a, o)
		}
	})
}

// announce tells all entry hosts.
func (u *simUp) announce() {
	if u.dead || u.lost || u.s.muted {
		return
	}
	u.sequence++
	load := float64(len(u.running)+len(u.waiting)) / float64(u.slots)
	if u.lies {
		load = 0
	}
	a := Announcement{
		ID: u.id, Incarnation: u.incarnation, Sequence: u.sequence,
		Service: u.s.d.services[u.service], Region: regionName(u.at.region), Domain: domainName(u.at),
		Address: simAddress, Slots: u.slots, Connections: 330, Load: load, State: u.state,
	}
	for _, h := range u.s.hosts {
		u.s.at(hop(h.at, u.at), func() { h.announced(u, a) })
	}
}

// drain announces the state, and restarts the upstream when it is idle.
func (u *simUp) drain() {
	u.state = Draining
	u.drained = u.s.now
	u.announce()
	u.s.at(500*time.Millisecond, u.leave)
}

func (u *simUp) leave() {
	if len(u.running)+len(u.waiting) > 0 {
		u.s.at(20*time.Millisecond, u.leave)
		return
	}
	u.s.out.drainTime(u.s.now - u.drained)
	u.state = Leaving
	u.announce()
	u.s.at(50*time.Millisecond, func() { u.stop(NotSent) })
	u.s.at(300*time.Millisecond, u.start)
}
