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

// The fuzzed system: six hosts in the source regions a and b overflow into c.
const (
	fuzzHosts  = 6
	fuzzCap    = 250.0
	fuzzLink   = 400e3
	fuzzTarget = 0.8
	beatTime   = 500 * time.Millisecond
	stepTime   = 10 * time.Millisecond
	// pulseTime has every host let tokens gather and spend them at once, which
	// is the most that fits into a second.
	pulseTime = burstTime
)

// world runs one granter at a time and several holders in virtual time. The
// granter's clock is true time; each holder's runs at its own rate.
type world struct {
	t       *rapid.T
	rng     *rand.Rand
	exact   bool
	now     time.Duration
	granter *Granter
	term    uint64
	inv     *agateinventory.Inventory
	hosts   []*fuzzHost
	old     []*fuzzHost
	wire    []delivery
	// loss, twice and late are the network's faults.
	loss, twice float64
	late        time.Duration
	sent        []use
	rooms       []room
	reports     [2]*lastReport
}

type fuzzHost struct {
	name   string
	region string
	holder *Holder
	epoch  uint64
	rate   float64
	// want is the rate asked for, size that of each request in bytes.
	want   float64
	size   float64
	frozen time.Duration
	cut    time.Duration
	lull   time.Duration
	beat   time.Duration
}

type delivery struct {
	at time.Duration
	do func()
}

type use struct {
	at   time.Duration
	from string
	size float64
}

// room is the headroom of c by what the granter was told.
type room struct {
	at    time.Duration
	value float64
}

// lastReport is what was last heard from a host in c.
type lastReport struct {
	at            time.Duration
	capacity, own float64
}

// source and target regions' reporting hosts.
type dstHost struct {
	capacity, own float64
	silent        time.Duration
}

// Guards against use above a cap, a link or the headroom in any second,
// whatever happens to messages, clocks, hosts and granters. Where clocks may
// differ by 10%, so may the use, which the stated burst covers.
func TestFuzzGrants(t *testing.T) {
	for _, exact := range []bool{true, false} {
		t.Run(fmt.Sprintf("exact=%t", exact), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { fuzz(t, exact) })
		})
	}
}

func fuzz(t *rapid.T, exact bool) {
	w := newWorld(t, exact)
	dst := [2]*dstHost{{1000, 100, 0}, {1000, 100, 0}}
	w.run(dst, 6*time.Second)
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.run(dst, time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms"))*time.Millisecond) },
		// All faults end, so that the next ones meet a system in full use.
		"heal": func(t *rapid.T) {
			w.loss, w.twice, w.late = 0, 0, 0
			w.run(dst, 3*time.Second)
		},
		"network": func(t *rapid.T) {
			w.loss = rapid.SampledFrom([]float64{0, 0, 0, 0.3}).Draw(t, "loss")
			w.twice = rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "twice")
			w.late = time.Duration(rapid.SampledFrom([]int{0, 0, 20, 20, 700, 3000}).Draw(t, "late")) * time.Millisecond
		},
		"freeze": func(t *rapid.T) {
			w.host(t).frozen = w.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "freeze"))*time.Millisecond
		},
		// A cut off host spends what it has while the others take its part.
		"cut": func(t *rapid.T) {
			w.host(t).cut = w.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "cut"))*time.Millisecond
		},
		"restart": func(t *rapid.T) { w.restart(w.host(t)) },
		"failover": func(t *rapid.T) {
			if rapid.IntRange(0, 7).Draw(t, "elect") == 0 {
				w.elect()
			}
		},
		"want": func(t *rapid.T) {
			h := w.host(t)
			h.want = rapid.SampledFrom([]float64{200, 500, 1000}).Draw(t, "want")
			h.size = rapid.SampledFrom([]float64{0, 100, 1000, 2000}).Draw(t, "size")
		},
		// The others take the part of a host that asks for little, until it asks
		// for more again.
		"lull": func(t *rapid.T) {
			w.host(t).lull = w.now + time.Duration(rapid.IntRange(1, 6000).Draw(t, "lull"))*time.Millisecond
		},
		"demand": func(t *rapid.T) {
			d := dst[rapid.IntRange(0, 1).Draw(t, "host")]
			d.own = rapid.SampledFrom([]float64{0, 100, 200, 300}).Draw(t, "own")
			d.capacity = rapid.SampledFrom([]float64{700, 1000}).Draw(t, "capacity")
			d.silent = w.now + time.Duration(rapid.SampledFrom([]int{0, 0, 1000, 4000}).Draw(t, "silent"))*time.Millisecond
		},
	})
	w.check()
}

func newWorld(t *rapid.T, exact bool) *world {
	w := &world{t: t, exact: exact, rng: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "noise")))}
	w.inv = &agateinventory.Inventory{
		Target: fuzzTarget,
		Shifts: []agateinventory.Shift{
			{Service: "s", From: "a", To: "c", Requests: fuzzCap, Allow: true},
			{Service: "s", From: "b", To: "c", Requests: fuzzCap, Allow: true},
		},
		Links: []agateinventory.Link{{From: "a", To: "c", Bytes: fuzzLink}, {From: "b", To: "c", Bytes: fuzzLink}},
	}
	for _, name := range []string{"c0", "c1"} {
		w.inv.Hosts = append(w.inv.Hosts, agateinventory.Host{Name: name, Region: "c"})
	}
	for i := range fuzzHosts {
		h := &fuzzHost{name: fmt.Sprint("h", i), region: []string{"a", "b"}[i%2], rate: 1, want: 500, size: 1000, beat: time.Duration(i) * 80 * time.Millisecond}
		if !exact {
			h.rate = 0.9 + 0.2*w.rng.Float64()
		}
		w.inv.Hosts = append(w.inv.Hosts, agateinventory.Host{Name: h.name, Region: h.region})
		w.hosts = append(w.hosts, h)
		w.restart(h)
	}
	w.elect()
	return w
}

func (w *world) host(t *rapid.T) *fuzzHost {
	return w.hosts[rapid.IntRange(0, fuzzHosts-1).Draw(t, "host")]
}

// restart starts a new process; the old one spends what it has.
func (w *world) restart(h *fuzzHost) {
	if h.holder != nil {
		old := *h
		old.cut = math.MaxInt64
		w.old = append(w.old, &old)
	}
	h.epoch++
	h.holder = NewHolder(HolderConfig{Host: h.name, Epoch: h.epoch})
	h.frozen, h.cut = 0, 0
}

func (w *world) elect() {
	w.term++
	w.granter = NewGranter(Config{Now: w.time(), Term: w.term})
	w.granter.Configure(w.time(), w.inv)
	w.reports = [2]*lastReport{}
}

func (w *world) time() time.Time { return start.Add(w.now) }

// local is the time by a holder's clock.
func (w *world) local(h *fuzzHost) time.Time {
	return start.Add(time.Duration(float64(w.now) * h.rate))
}

// send delivers a message after a delay, twice, or not at all.
func (w *world) send(do func()) {
	for range 2 {
		if w.rng.Float64() >= w.loss {
			delay := time.Duration(w.rng.Int64N(int64(w.late) + 1))
			w.wire = append(w.wire, delivery{w.now + delay, do})
		}
		if w.rng.Float64() >= w.twice {
			return
		}
	}
}

func (w *world) run(dst [2]*dstHost, d time.Duration) {
	for end := w.now + d; w.now < end; w.now += stepTime {
		w.deliver()
		for i, c := range dst {
			if w.now >= c.silent && w.now%beatTime == 0 {
				w.reportFrom(i, *c)
			}
		}
		w.rooms = append(w.rooms, room{w.now, w.headroom()})
		for _, h := range slices.Concat(w.hosts, w.old) {
			if w.now >= h.frozen {
				w.act(h)
			}
		}
	}
}

func (w *world) deliver() {
	due := w.wire
	w.wire = nil
	for _, m := range due {
		if m.at > w.now {
			w.wire = append(w.wire, m)
			continue
		}
		m.do()
	}
}

func (w *world) reportFrom(i int, c dstHost) {
	g := w.granter
	at := w.now
	w.send(func() {
		if g != w.granter {
			return
		}
		age := w.now - at
		g.Report(w.time(), fmt.Sprint("c", i), []Demand{{"s", "c", c.capacity, c.own, age}})
		if s := w.reports[i]; s == nil || at >= s.at {
			w.reports[i] = &lastReport{at, c.capacity, c.own}
		}
	})
}

// headroom is the oracle's view of what may flow into c.
func (w *world) headroom() float64 {
	capacity := math.Inf(1)
	for _, s := range w.reports {
		if s != nil && w.now-s.at <= DefaultMaxAge {
			capacity = min(capacity, s.capacity)
		}
	}
	if math.IsInf(capacity, 1) {
		return 0
	}
	room := capacity * fuzzTarget
	for _, s := range w.reports {
		if s == nil {
			room -= capacity / 2
		} else {
			room -= s.own
		}
	}
	return room
}

// act has one holder send its asks and spend what it has.
func (w *world) act(h *fuzzHost) {
	if w.now >= h.beat {
		h.beat = w.now + beatTime
		w.ask(h)
	}
	for w.now%pulseTime == 0 && h.holder.Take(w.local(h), "s", h.region, "c", int64(h.size)) {
		w.sent = append(w.sent, use{w.now, h.region, h.size})
	}
}

func (w *world) ask(h *fuzzHost) {
	want := h.want
	if w.now < h.lull {
		want = 0.5
	}
	a := h.holder.Ask(w.local(h), "s", h.region, "c", want, 2*want*h.size+1, int64(h.size))
	g, holder := w.granter, h.holder
	if w.now < h.cut {
		return
	}
	w.send(func() {
		if g != w.granter {
			return // a granter that lost its lease grants nothing
		}
		grant := g.Grant(w.time(), a)
		w.send(func() { w.receive(h, holder, grant) })
	})
}

// receive hands a grant to the process it was sent to, once it runs.
func (w *world) receive(h *fuzzHost, holder *Holder, g Grant) {
	switch {
	case w.now < h.frozen:
		w.wire = append(w.wire, delivery{h.frozen, func() { w.receive(h, holder, g) }})
	default:
		// A restarted host may get an answer to its predecessor's ask.
		h.holder.Accept(w.local(h), g)
	}
}

// check sums the use in each second against each limit.
func (w *world) check() {
	slack := 1.0
	if !w.exact {
		slack = 1 + Drift
	}
	total := map[string]int{}
	bytes := map[string]float64{}
	first, oldest := 0, 0
	for _, u := range w.sent {
		total[u.from]++
		total[""]++
		bytes[u.from] += u.size
		for ; w.sent[first].at < u.at-window; first++ {
			old := w.sent[first]
			total[old.from]--
			total[""]--
			bytes[old.from] -= old.size
		}
		// A grant was made up to 3 s and a step before the end of the window.
		for w.rooms[oldest].at < u.at-DefaultDuration-window-stepTime {
			oldest++
		}
		most := 0.0
		for i := oldest; i < len(w.rooms) && w.rooms[i].at <= u.at; i++ {
			most = max(most, w.rooms[i].value)
		}
		if n := float64(total[u.from]); n > fuzzCap*slack+1e-6 {
			w.t.Fatalf("at %v %f requests left %s", u.at, n, u.from)
		}
		if n := bytes[u.from]; n > fuzzLink*slack+1e-6 {
			w.t.Fatalf("at %v %f bytes left %s", u.at, n, u.from)
		}
		if n := float64(total[""]); n > most*slack+1e-6 {
			w.t.Fatalf("at %v %f requests reached c, which had room for %f", u.at, n, most)
		}
	}
}
