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
	"agategate/core/agateplan"
)

// load is one workload of the simulation.
type load struct {
	name      string
	rate      float64 // requests a second over all regions
	burst     float64 // multiple of the rate in the third quarter
	objects   int     // of each region
	keeps     int     // objects that an upstream knows at a time
	work      time.Duration
	warm      float64 // share of the work on a known object
	slots     int
	upstreams [3]int // by region
	hosts     int
	target    time.Duration
	deadline  time.Duration
	length    time.Duration
	slow      int     // upstreams that are slow in the second half
	slowBy    float64 // by this factor
	blind     bool    // upstreams do not report their load
}

// score is how a workload was served.
type score struct {
	asked, intime, late, refused, failed int
	// shift is the largest share of a region's requests that ran in another
	// region than in the window before.
	shift float64
}

func (s score) share() float64 { return float64(s.intime) / float64(s.asked) }

// policy is what an entry host of the simulation decides with.
type policy interface {
	choose(now time.Time, key uint64, target, deadline time.Time, tried []string) string
	start(now time.Time, id string)
	finish(now time.Time, id string, o agatebalance.Observation)
}

// product is the table under test.
type product struct {
	t     *agatebalance.Table
	route *agateplan.Route
	n     int
}

func (p *product) choose(now time.Time, key uint64, target, deadline time.Time, tried []string) string {
	p.n++
	d := p.t.Choose(now, &agatebalance.Request{
		ID: fmt.Sprint(p.n), Service: "s", Route: p.route, Key: key, Target: target, Deadline: deadline, Tried: tried,
	})
	return d.Upstream
}

func (p *product) start(now time.Time, id string) { p.t.Start(now, id) }

func (p *product) finish(now time.Time, id string, o agatebalance.Observation) {
	p.t.Finish(now, id, o)
}

// crude is the baseline of an earlier trial: least own requests in flight plus
// a cost for another region plus a weighted hash, cut off at a multiple of the
// slots. It knows one host's evidence only.
type crude struct {
	rows        []agatebalance.Row
	region      string
	own         map[string]int
	far, sticky float64
	cut         float64
}

func (p *crude) choose(_ time.Time, key uint64, _, _ time.Time, tried []string) string {
	best, least := "", 0.0
	for _, r := range p.rows {
		if float64(p.own[r.ID]) >= p.cut*float64(r.Slots) || (len(tried) > 0 && tried[0] == r.ID) {
			continue
		}
		h := fnv.New64a()
		fmt.Fprint(h, key, r.ID)
		cost := float64(p.own[r.ID]) + p.sticky*float64(h.Sum64()%1000)/1000
		if regionOf(r.Domain) != p.region {
			cost += p.far
		}
		if best == "" || cost < least {
			best, least = r.ID, cost
		}
	}
	return best
}

func (p *crude) start(_ time.Time, id string) { p.own[id]++ }

func (p *crude) finish(_ time.Time, id string, _ agatebalance.Observation) { p.own[id]-- }

func regionOf(domain string) string { return domain[:2] }

// simUpstream is an upstream of the simulation.
type simUpstream struct {
	row     agatebalance.Row
	region  string
	running int
	queue   []*simRequest
	known   []uint64 // the latest last
	slow    float64
}

type simRequest struct {
	key      uint64
	host     int
	at       time.Time
	sent     time.Time
	up       *simUpstream
	tries    int
	returned bool
}

// event is something that happens at a time.
type event struct {
	at time.Time
	n  int
	do func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].n < e[j].n
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

// sim plays a workload on virtual time.
type sim struct {
	load  load
	rng   *rand.Rand
	begin time.Time
	queue events
	n     int
	hosts []policy
	where []string // region of each host
	ups   map[string]*simUpstream
	score score
	// ran counts the requests of each region by the window and the region in
	// which they ran.
	ran map[string]map[int]map[string]int
}

const (
	// shiftWindow is the time over which the users compare where requests run.
	shiftWindow = 2 * time.Second
	// shiftLeast is the number of requests from which a window says something.
	shiftLeast = 50
	simNear    = 2 * time.Millisecond
	simFar     = 21 * time.Millisecond
	simQueue   = 3 // requests per slot that an upstream lets wait
)

var simRegions = []string{"r0", "r1", "r2"}

// play runs a workload with one policy for each host.
func play(l load, seed uint64, make func(s *sim, host int) policy) score {
	s := &sim{load: l, rng: rand.New(rand.NewPCG(seed, 1)), begin: time.Unix(1000, 0), ups: map[string]*simUpstream{}}
	s.ran = map[string]map[int]map[string]int{}
	for r, n := range l.upstreams {
		for i := range n {
			id := fmt.Sprintf("u%d-%d", r, i)
			row := agatebalance.Row{
				ID: id, Service: "s", Domain: fmt.Sprintf("%s-%d", simRegions[r], i%2), Slots: l.slots,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(r), byte(i)}), 80),
			}
			s.ups[id] = &simUpstream{row: row, region: simRegions[r], slow: 1}
		}
	}
	for h := range l.hosts {
		s.where = append(s.where, simRegions[h%3])
		s.hosts = append(s.hosts, make(s, h))
	}
	s.arrivals()
	if l.slow > 0 {
		s.after(s.begin.Add(l.length/2), func(time.Time) { s.slowDown() })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		e.do(e.at)
	}
	s.score.shift = s.shift()
	return s.score
}

// shift compares each window with the one before.
func (s *sim) shift() float64 {
	most := 0.0
	for _, windows := range s.ran {
		for n, now := range windows {
			before := windows[n-1]
			if total(now) < shiftLeast || total(before) < shiftLeast {
				continue
			}
			moved := 0.0
			for _, r := range simRegions {
				part := float64(now[r])/float64(total(now)) - float64(before[r])/float64(total(before))
				moved += math.Abs(part) / 2
			}
			most = max(most, moved)
		}
	}
	return most
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

func (s *sim) rows() []agatebalance.Row {
	var rows []agatebalance.Row
	for r, n := range s.load.upstreams {
		for i := range n {
			rows = append(rows, s.ups[fmt.Sprintf("u%d-%d", r, i)].row)
		}
	}
	return rows
}

func (s *sim) slowDown() {
	for _, r := range s.rows()[:s.load.slow] {
		s.ups[r.ID].slow = s.load.slowBy
	}
}

func (s *sim) after(at time.Time, do func(time.Time)) {
	s.n++
	heap.Push(&s.queue, event{at, s.n, do})
}

// arrivals draws all requests in advance, so that every policy sees the same.
func (s *sim) arrivals() {
	end := s.begin.Add(s.load.length)
	for at := s.begin; at.Before(end); {
		rate := s.load.rate
		if q := at.Sub(s.begin) * 4 / s.load.length; q == 2 && s.load.burst > 0 {
			rate *= s.load.burst
		}
		at = at.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
		region := s.rng.IntN(3)
		host := s.rng.IntN(s.load.hosts/3)*3 + region
		key := uint64(region*s.load.objects+s.rng.IntN(s.load.objects)+1) * 0x9e3779b97f4a7c15
		r := &simRequest{key: key, host: host, at: at}
		s.score.asked++
		s.after(at, func(now time.Time) { s.decide(now, r, nil) })
	}
}

// decide asks the host's policy. A refused caller comes back once.
func (s *sim) decide(now time.Time, r *simRequest, tried []string) {
	deadline := r.at.Add(s.load.deadline)
	id := s.hosts[r.host].choose(now, r.key, now.Add(s.load.target), deadline, tried)
	if id == "" {
		s.refuse(now, r)
		return
	}
	r.up = s.ups[id]
	r.sent = now
	r.tries++
	s.hosts[r.host].start(now, id)
	s.after(now.Add(s.way(r)), func(now time.Time) { s.arrive(now, r) })
}

func (s *sim) refuse(now time.Time, r *simRequest) {
	back := now.Add(200*time.Millisecond + time.Duration(s.rng.Int64N(int64(200*time.Millisecond))))
	if r.returned || back.After(r.at.Add(s.load.deadline)) {
		s.score.refused++
		return
	}
	r.returned = true
	s.after(back, func(now time.Time) { s.decide(now, r, nil) })
}

func (s *sim) way(r *simRequest) time.Duration {
	if s.where[r.host] == r.up.region {
		return simNear
	}
	return simFar
}

func (s *sim) arrive(now time.Time, r *simRequest) {
	u := r.up
	switch {
	case u.running < u.row.Slots:
		s.run(now, r)
	case len(u.queue) < simQueue*u.row.Slots:
		u.queue = append(u.queue, r)
	default:
		s.answer(now, r, agatebalance.Shed)
	}
}

// run starts the work; an object that the upstream knows takes less.
func (s *sim) run(now time.Time, r *simRequest) {
	u := r.up
	u.running++
	s.noteRun(now, r)
	work := s.load.work.Seconds() * (0.85 + 0.3*s.rng.Float64()) * u.slow
	if u.use(r.key, s.load.keeps) {
		work *= s.load.warm
	}
	s.after(now.Add(time.Duration(work*float64(time.Second))), func(now time.Time) { s.done(now, r) })
}

func (s *sim) noteRun(now time.Time, r *simRequest) {
	from := s.where[r.host]
	if s.ran[from] == nil {
		s.ran[from] = map[int]map[string]int{}
	}
	window := int(now.Sub(s.begin) / shiftWindow)
	if s.ran[from][window] == nil {
		s.ran[from][window] = map[string]int{}
	}
	s.ran[from][window][r.up.region]++
}

// use notes an object and reports whether the upstream knew it.
func (u *simUpstream) use(key uint64, keeps int) bool {
	knew := false
	for i, k := range u.known {
		if k == key {
			u.known = append(u.known[:i], u.known[i+1:]...)
			knew = true
			break
		}
	}
	u.known = append(u.known, key)
	if len(u.known) > keeps {
		u.known = u.known[1:]
	}
	return knew
}

func (s *sim) done(now time.Time, r *simRequest) {
	u := r.up
	u.running--
	if len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		s.run(now, next)
	}
	s.answer(now, r, agatebalance.Answered)
}

func (s *sim) answer(now time.Time, r *simRequest, outcome agatebalance.Outcome) {
	u := r.up
	o := agatebalance.Observation{Outcome: outcome, Reported: !s.load.blind, Running: u.running, Waiting: len(u.queue)}
	s.after(now.Add(s.way(r)), func(now time.Time) {
		o.Latency = now.Sub(r.sent)
		o.Travel = 2 * s.way(r)
		s.hosts[r.host].finish(now, u.row.ID, o)
		took := now.Sub(r.at)
		switch {
		case outcome == agatebalance.Shed && r.tries < 2:
			s.decide(now, r, []string{u.row.ID})
		case outcome == agatebalance.Shed:
			s.refuse(now, r)
		case took > s.load.deadline:
			s.score.failed++
		case took > s.load.target:
			s.score.late++
		default:
			s.score.intime++
		}
	})
}

// newProduct returns the table under test for one host.
func newProduct(s *sim, host int) policy {
	regions := map[string]string{}
	for _, r := range simRegions {
		regions[r+"-0"], regions[r+"-1"] = r, r
	}
	t := agatebalance.New(agatebalance.Config{
		Host: fmt.Sprint("h", host), Region: s.where[host], Domain: s.where[host] + "-0", Regions: regions,
	})
	var hosts []string
	for h := range s.load.hosts {
		hosts = append(hosts, fmt.Sprint("h", h))
	}
	t.SetHosts(hosts)
	t.SetFleet(s.begin, s.rows(), true, nil)
	return &product{t: t, route: &agateplan.Route{Kind: agateplan.Safe, MaxAttempts: 2}}
}

// newCrude returns the baseline with its best weights.
func newCrude(far, sticky, cut float64) func(s *sim, host int) policy {
	return func(s *sim, host int) policy {
		return &crude{rows: s.rows(), region: s.where[host], own: map[string]int{}, far: far, sticky: sticky, cut: cut}
	}
}
