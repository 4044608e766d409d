package agateshift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agategate/core/agateinventory"
)

// The simulated system: six hosts in the source regions a and b overflow into c.
// The request cap is per second and rule, and fuzzLinkBytes per second and link.
const (
	fuzzHosts         = 6
	fuzzRequestCap    = 250.0
	fuzzLinkBytes     = 400e3
	fuzzTarget        = 0.8
	heartbeatInterval = 500 * time.Millisecond
	stepDuration      = 10 * time.Millisecond
	// spendInterval lets the buckets fill between two bursts, which gives the
	// highest number of requests in a second.
	spendInterval = burstDuration
)

// simulation runs one granter at a time and several holders in virtual time.
// The granter's clock is exact; that of each holder runs at its own rate.
type simulation struct {
	t               *rapid.T
	rng             *rand.Rand
	exactClocks     bool
	now             time.Duration
	granter         *Granter
	term            uint64
	inv             *agateinventory.Inventory
	hosts           []*fuzzHost
	formerProcesses []*fuzzHost
	inFlight        []message
	// loss and duplication are probabilities per message; maxDelay is the
	// largest delay of a message.
	loss, duplication float64
	maxDelay          time.Duration
	sent              []sentRequest
	headrooms         []headroomSample
	reports           [2]*lastReport
}

type fuzzHost struct {
	name      string
	region    string
	holder    *Holder
	epoch     uint64
	clockRate float64
	// wantedRate is the requested rate in requests/s.
	wantedRate        float64
	requestBytes      float64
	pausedUntil       time.Duration
	disconnectedUntil time.Duration
	lowDemandUntil    time.Duration
	nextHeartbeat     time.Duration
}

type message struct {
	deliverAt time.Duration
	deliver   func()
}

type sentRequest struct {
	sentAt time.Duration
	source string
	bytes  float64
}

// headroomSample is the headroom of c according to the reports that the granter
// received.
type headroomSample struct {
	at       time.Duration
	headroom float64
}

// lastReport is the latest report of a host in c.
type lastReport struct {
	sentAt         time.Duration
	capacity, load float64
}

// destinationHost is a reporting host in c.
type destinationHost struct {
	capacity, load float64
	silentUntil    time.Duration
}

// Guards against traffic above a cap, a link's capacity or the headroom in any
// second, under faults of the network, clocks, hosts and granters. If clocks
// drift, by up to MaxClockDrift, the traffic may exceed the limits by that
// fraction.
func TestFuzzGrants(t *testing.T) {
	for _, exactClocks := range []bool{true, false} {
		t.Run(fmt.Sprintf("exact=%t", exactClocks), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { fuzz(t, exactClocks) })
		})
	}
}

func fuzz(t *rapid.T, exactClocks bool) {
	s := newSimulation(t, exactClocks)
	dst := [2]*destinationHost{{1000, 100, 0}, {1000, 100, 0}}
	s.run(dst, 6*time.Second)
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) { s.run(dst, time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms"))*time.Millisecond) },
		// The faults of the network end, so that later faults hit a system under
		// load.
		"heal": func(t *rapid.T) {
			s.loss, s.duplication, s.maxDelay = 0, 0, 0
			s.run(dst, 3*time.Second)
		},
		"network": func(t *rapid.T) {
			s.loss = rapid.SampledFrom([]float64{0, 0, 0, 0.3}).Draw(t, "loss")
			s.duplication = rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "twice")
			s.maxDelay = time.Duration(rapid.SampledFrom([]int{0, 0, 20, 20, 700, 3000}).Draw(t, "late")) * time.Millisecond
		},
		"freeze": func(t *rapid.T) {
			s.drawHost(t).pausedUntil = s.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "freeze"))*time.Millisecond
		},
		// A disconnected host uses up its grant while its share is granted to
		// others.
		"cut": func(t *rapid.T) {
			s.drawHost(t).disconnectedUntil = s.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "cut"))*time.Millisecond
		},
		"restart": func(t *rapid.T) { s.restart(s.drawHost(t)) },
		"failover": func(t *rapid.T) {
			if rapid.IntRange(0, 7).Draw(t, "elect") == 0 {
				s.elect()
			}
		},
		"want": func(t *rapid.T) {
			h := s.drawHost(t)
			h.wantedRate = rapid.SampledFrom([]float64{200, 500, 1000}).Draw(t, "want")
			h.requestBytes = rapid.SampledFrom([]float64{0, 100, 1000, 2000}).Draw(t, "size")
		},
		// The share of a host with low demand is granted to others until its
		// demand rises again.
		"lull": func(t *rapid.T) {
			s.drawHost(t).lowDemandUntil = s.now + time.Duration(rapid.IntRange(1, 6000).Draw(t, "lull"))*time.Millisecond
		},
		"demand": func(t *rapid.T) {
			d := dst[rapid.IntRange(0, 1).Draw(t, "host")]
			d.load = rapid.SampledFrom([]float64{0, 100, 200, 300}).Draw(t, "own")
			d.capacity = rapid.SampledFrom([]float64{700, 1000}).Draw(t, "capacity")
			d.silentUntil = s.now + time.Duration(rapid.SampledFrom([]int{0, 0, 1000, 4000}).Draw(t, "silent"))*time.Millisecond
		},
	})
	s.checkLimits()
}

func newSimulation(t *rapid.T, exactClocks bool) *simulation {
	s := &simulation{t: t, exactClocks: exactClocks, rng: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "noise")))}
	s.inv = &agateinventory.Inventory{
		TargetUtilization: fuzzTarget,
		Shifts: []agateinventory.Shift{
			{Service: "s", From: "a", To: "c", MaxRequestRate: fuzzRequestCap, Allow: true},
			{Service: "s", From: "b", To: "c", MaxRequestRate: fuzzRequestCap, Allow: true},
		},
		Links: []agateinventory.Link{{From: "a", To: "c", ByteRate: fuzzLinkBytes}, {From: "b", To: "c", ByteRate: fuzzLinkBytes}},
	}
	for _, name := range []string{"c0", "c1"} {
		s.inv.Hosts = append(s.inv.Hosts, agateinventory.Host{Name: name, Region: "c"})
	}
	for i := range fuzzHosts {
		h := &fuzzHost{name: fmt.Sprint("h", i), region: []string{"a", "b"}[i%2], clockRate: 1, wantedRate: 500, requestBytes: 1000, nextHeartbeat: time.Duration(i) * 80 * time.Millisecond}
		if !exactClocks {
			h.clockRate = 0.9 + 0.2*s.rng.Float64()
		}
		s.inv.Hosts = append(s.inv.Hosts, agateinventory.Host{Name: h.name, Region: h.region})
		s.hosts = append(s.hosts, h)
		s.restart(h)
	}
	s.elect()
	return s
}

func (s *simulation) drawHost(t *rapid.T) *fuzzHost {
	return s.hosts[rapid.IntRange(0, fuzzHosts-1).Draw(t, "host")]
}

// restart starts a new process; the old one uses up its grant.
func (s *simulation) restart(h *fuzzHost) {
	if h.holder != nil {
		old := *h
		old.disconnectedUntil = math.MaxInt64
		s.formerProcesses = append(s.formerProcesses, &old)
	}
	h.epoch++
	h.holder = NewHolder(HolderConfig{Host: h.name, Epoch: h.epoch})
	h.pausedUntil, h.disconnectedUntil = 0, 0
}

func (s *simulation) elect() {
	s.term++
	s.granter = NewGranter(Config{ElectedAt: s.trueTime(), Term: s.term})
	s.granter.Configure(s.trueTime(), s.inv)
	s.reports = [2]*lastReport{}
}

func (s *simulation) trueTime() time.Time { return start.Add(s.now) }

// localTime returns the time by a holder's clock.
func (s *simulation) localTime(h *fuzzHost) time.Time {
	return start.Add(time.Duration(float64(s.now) * h.clockRate))
}

// send schedules the delivery of a message after a delay, twice, or not at all.
func (s *simulation) send(deliver func()) {
	for range 2 {
		if s.rng.Float64() >= s.loss {
			delay := time.Duration(s.rng.Int64N(int64(s.maxDelay) + 1))
			s.inFlight = append(s.inFlight, message{s.now + delay, deliver})
		}
		if s.rng.Float64() >= s.duplication {
			return
		}
	}
}

func (s *simulation) run(dst [2]*destinationHost, d time.Duration) {
	for end := s.now + d; s.now < end; s.now += stepDuration {
		s.deliverDue()
		for i, c := range dst {
			if s.now >= c.silentUntil && s.now%heartbeatInterval == 0 {
				s.sendReport(i, *c)
			}
		}
		s.headrooms = append(s.headrooms, headroomSample{s.now, s.headroom()})
		for _, h := range slices.Concat(s.hosts, s.formerProcesses) {
			if s.now >= h.pausedUntil {
				s.runHost(h)
			}
		}
	}
}

func (s *simulation) deliverDue() {
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		if m.deliverAt > s.now {
			s.inFlight = append(s.inFlight, m)
			continue
		}
		m.deliver()
	}
}

func (s *simulation) sendReport(i int, c destinationHost) {
	g := s.granter
	at := s.now
	s.send(func() {
		if g != s.granter {
			return
		}
		age := s.now - at
		g.Report(s.trueTime(), fmt.Sprint("c", i), []LoadReport{{"s", "c", c.capacity, c.load, age}})
		if last := s.reports[i]; last == nil || at >= last.sentAt {
			s.reports[i] = &lastReport{at, c.capacity, c.load}
		}
	})
}

// headroom computes the overflow that c may receive, independently of the
// granter.
func (s *simulation) headroom() float64 {
	capacity := math.Inf(1)
	for _, r := range s.reports {
		if r != nil && s.now-r.sentAt <= DefaultMaxReportAge {
			capacity = min(capacity, r.capacity)
		}
	}
	if math.IsInf(capacity, 1) {
		return 0
	}
	room := capacity * fuzzTarget
	for _, r := range s.reports {
		if r == nil {
			room -= capacity / 2
		} else {
			room -= r.load
		}
	}
	return room
}

// runHost sends a host's grant requests and uses all tokens of its grant.
func (s *simulation) runHost(h *fuzzHost) {
	if s.now >= h.nextHeartbeat {
		h.nextHeartbeat = s.now + heartbeatInterval
		s.requestGrant(h)
	}
	for s.now%spendInterval == 0 && h.holder.Take(s.localTime(h), "s", h.region, "c", int64(h.requestBytes)) {
		s.sent = append(s.sent, sentRequest{s.now, h.region, h.requestBytes})
	}
}

func (s *simulation) requestGrant(h *fuzzHost) {
	rate := h.wantedRate
	if s.now < h.lowDemandUntil {
		rate = 0.5
	}
	req := h.holder.NewGrantRequest(s.localTime(h), "s", h.region, "c", rate, 2*rate*h.requestBytes+1, int64(h.requestBytes))
	g, holder := s.granter, h.holder
	if s.now < h.disconnectedUntil {
		return
	}
	s.send(func() {
		if g != s.granter {
			return // a granter that lost its lease grants nothing
		}
		grant := g.Grant(s.trueTime(), req)
		s.send(func() { s.receiveGrant(h, holder, grant) })
	})
}

// receiveGrant delivers a grant, once the host is no longer paused, to the host's
// current process, which can be another one than the holder that requested it.
func (s *simulation) receiveGrant(h *fuzzHost, holder *Holder, g Grant) {
	switch {
	case s.now < h.pausedUntil:
		s.inFlight = append(s.inFlight, message{h.pausedUntil, func() { s.receiveGrant(h, holder, g) }})
	default:
		// A restarted host may receive the grant of its previous process.
		h.holder.Accept(s.localTime(h), g)
	}
}

// checkLimits compares the traffic in each second with each limit.
func (s *simulation) checkLimits() {
	tolerance := 1.0
	if !s.exactClocks {
		tolerance = 1 + MaxClockDrift
	}
	requests := map[string]int{}
	bytes := map[string]float64{}
	first, oldest := 0, 0
	for _, r := range s.sent {
		requests[r.source]++
		requests[""]++
		bytes[r.source] += r.bytes
		for ; s.sent[first].sentAt < r.sentAt-capWindow; first++ {
			old := s.sent[first]
			requests[old.source]--
			requests[""]--
			bytes[old.source] -= old.bytes
		}
		// A grant in use was issued at most its duration, one second and one step
		// before the end of the window.
		for s.headrooms[oldest].at < r.sentAt-DefaultGrantDuration-capWindow-stepDuration {
			oldest++
		}
		maxHeadroom := 0.0
		for i := oldest; i < len(s.headrooms) && s.headrooms[i].at <= r.sentAt; i++ {
			maxHeadroom = max(maxHeadroom, s.headrooms[i].headroom)
		}
		if n := float64(requests[r.source]); n > fuzzRequestCap*tolerance+1e-6 {
			s.t.Fatalf("at %v %f requests left %s", r.sentAt, n, r.source)
		}
		if n := bytes[r.source]; n > fuzzLinkBytes*tolerance+1e-6 {
			s.t.Fatalf("at %v %f bytes left %s", r.sentAt, n, r.source)
		}
		if n := float64(requests[""]); n > maxHeadroom*tolerance+1e-6 {
			s.t.Fatalf("at %v %f requests reached c, which had room for %f", r.sentAt, n, maxHeadroom)
		}
	}
}
