package agatebalance_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/core/agatelimit"
	"agategate/core/agateplan"
)

// The users' bound: in any limitWindow an upstream may get limitTolerance times what
// its limit allows plus limitBurst requests, from hosts that learned of the limit at
// least limitNotice before. Requests count from limitGrace after the first statement.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitBurst     = 5
	limitNotice    = 500 * time.Millisecond
	limitGrace     = 3 * time.Second
)

// limitScript is a workload with changing limits and hosts. Its lines are "KEY VALUE"
// or "TIME EVENT ARGS":
//
//	hosts|upstreams NUMBER      NUMBER of them
//	rate NUMBER                 requests per second at all hosts together
//	until TIME                  end of the simulation
//	least TIME TIME NUMBER      the limited upstream u0 gets at least NUMBER requests per second between the times
//	TIME limit RATE             u0 begins to name a limit
//	TIME unlimit                u0 no longer names a limit
//	TIME rate NUMBER            the request rate changes
//	TIME restart HOST           HOST starts again and knows nothing; the others learn of it late
//	TIME cut HOST...            each of the HOSTs sees no host but itself, and the others do not see it
//	TIME join                   the HOSTs that were cut off are back
type limitScript struct {
	hosts, upstreams int
	rate             float64
	until            time.Duration
	least            []limitLeast
	events           []limitEvent
}

type limitLeast struct {
	from, to time.Duration
	rate     float64
}

type limitEvent struct {
	at   time.Duration
	verb string
	args []string
}

func readLimitScript(t *testing.T, file string) *limitScript {
	t.Helper()
	r, err := os.Open(file)
	assert.NilError(t, err)
	defer func() { _ = r.Close() }() // it was only read
	s := &limitScript{}
	for lines := bufio.NewScanner(r); lines.Scan(); {
		f := strings.Fields(lines.Text())
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		s.parse(t, f)
	}
	return s
}

func (s *limitScript) parse(t *testing.T, f []string) {
	t.Helper()
	number := func(text string) float64 {
		n, err := strconv.ParseFloat(text, 64)
		assert.NilError(t, err)
		return n
	}
	duration := func(text string) time.Duration {
		d, err := time.ParseDuration(text)
		assert.NilError(t, err)
		return d
	}
	switch f[0] {
	case "hosts":
		s.hosts = int(number(f[1]))
	case "upstreams":
		s.upstreams = int(number(f[1]))
	case "rate":
		s.rate = number(f[1])
	case "until":
		s.until = duration(f[1])
	case "least":
		s.least = append(s.least, limitLeast{from: duration(f[1]), to: duration(f[2]), rate: number(f[3])})
	default:
		s.events = append(s.events, limitEvent{at: duration(f[0]), verb: f[1], args: f[2:]})
	}
}

// limitHost is an entry host of the simulation.
type limitHost struct {
	name  string
	table *agatebalance.Table
	// told holds the limits that u0 named to the host, in order of time.
	told []limitStatement
	// excusedUntil ends the time in which the host does not count, after a restart or
	// a cut.
	excusedUntil time.Time
	cut          bool
	sent         uint64 // cursor of the reports that were sent to the replica
	got          uint64 // cursor of the replica's reports
}

type limitStatement struct {
	at   time.Time
	rate float64
}

// limitArrival is a request that arrived at u0.
type limitArrival struct {
	at   time.Time
	host *limitHost
	// told is the lowest limit that the host had passed on limitNotice before; 0 if
	// it had passed on none or does not count.
	told limitStatement
}

// limitSim simulates hosts that send requests to upstreams, of which u0 names limits.
type limitSim struct {
	t        *testing.T
	script   *limitScript
	rng      *rand.Rand
	begin    time.Time
	hosts    []*limitHost
	limit    agatelimit.Limit
	named    []limitStatement // the limits that u0 named; a negative rate ends one
	arrivals []limitArrival
	steps    map[int64][]func(now time.Time)
	// alone means that the hosts do not exchange reports; otherwise they do so by way of
	// one replica with board.
	alone bool
	board agatelimit.Board
}

const limitStep = time.Millisecond

func newLimitSim(t *testing.T, s *limitScript, seed uint64, alone bool) *limitSim {
	x := &limitSim{t: t, script: s, alone: alone, rng: rand.New(rand.NewPCG(seed, 1)), begin: time.Unix(1000, 0), steps: map[int64][]func(time.Time){}}
	for i := range s.hosts {
		x.hosts = append(x.hosts, &limitHost{name: fmt.Sprintf("h%d", i)})
	}
	for _, h := range x.hosts {
		x.startHost(h, x.begin)
	}
	return x
}

// startHost gives a host an empty table with the fleet and the list of hosts.
func (x *limitSim) startHost(h *limitHost, now time.Time) {
	h.table = agatebalance.New(agatebalance.Config{Host: h.name, Region: "a", Domain: "a-1", Regions: map[string]string{"a-1": "a"}})
	h.told = nil
	h.sent, h.got = 0, 0
	var infos []agatebalance.UpstreamInfo
	for i := range x.script.upstreams {
		info := newInfo(fmt.Sprintf("u%d", i))
		info.Slots = 100
		infos = append(infos, info)
	}
	h.table.UpdateUpstreams(now, infos, true, nil)
	x.setHosts(now, h)
}

// setHosts tells a host the list of hosts that it sees.
func (x *limitSim) setHosts(now time.Time, h *limitHost) {
	var names []string
	for _, o := range x.hosts {
		if o == h || !o.cut && !h.cut {
			names = append(names, o.name)
		}
	}
	h.table.SetHosts(now, names)
}

func (x *limitSim) after(now time.Time, d time.Duration, run func(now time.Time)) {
	step := int64(now.Add(d).Sub(x.begin) / limitStep)
	x.steps[step] = append(x.steps[step], run)
}

func (x *limitSim) run() {
	for _, e := range x.script.events {
		x.after(x.begin, e.at, func(now time.Time) { x.apply(now, e) })
	}
	for step := int64(0); step < int64(x.script.until/limitStep); step++ {
		now := x.begin.Add(time.Duration(step) * limitStep)
		for _, run := range x.steps[step] {
			run(now)
		}
		delete(x.steps, step)
		for _, h := range x.hosts {
			h.table.ExpireHosts(now)
		}
		if !x.alone {
			x.exchange(now, step)
		}
		for left := x.script.rate * limitStep.Seconds(); x.rng.Float64() < left; left-- {
			x.request(now, x.hosts[x.rng.IntN(len(x.hosts))])
		}
	}
}

const (
	reportInterval = 500 * time.Millisecond // between heartbeats of a host and of the replica
	reportDelay    = 25 * time.Millisecond  // one way
)

// exchange sends the heartbeats that are due at a step.
func (x *limitSim) exchange(now time.Time, step int64) {
	for i, h := range x.hosts {
		if (step+int64(i)*37)%int64(reportInterval/limitStep) == 0 {
			x.sendReports(now, h)
			x.receiveReports(now, h)
		}
	}
}

// sendReports sends a host's reports to the replica, which passes changes on at once.
func (x *limitSim) sendReports(now time.Time, h *limitHost) {
	reports, cursor := h.table.LimitReports(now, h.sent)
	h.sent = cursor
	if len(reports) == 0 || h.cut {
		return
	}
	x.after(now, reportDelay, func(now time.Time) {
		if !x.board.Merge(now, reports) {
			return
		}
		for _, h := range x.hosts {
			x.receiveReports(now, h)
		}
	})
}

func (x *limitSim) receiveReports(now time.Time, h *limitHost) {
	if h.cut {
		return
	}
	reports, cursor := x.board.Since(now, h.got)
	h.got = cursor
	x.after(now, reportDelay, func(now time.Time) { h.table.ApplyLimits(now, reports) })
}

// listDelay is the age of a list of hosts when it reaches a host.
const listDelay = 1500 * time.Millisecond

func (x *limitSim) apply(now time.Time, e limitEvent) {
	switch e.verb {
	case "limit":
		rate, err := strconv.ParseFloat(e.args[0], 64)
		assert.NilError(x.t, err)
		x.limit = agatelimit.Limit{Named: true, Rate: rate}
		x.named = append(x.named, limitStatement{now, rate})
	case "unlimit":
		x.limit = agatelimit.Limit{}
		x.named = append(x.named, limitStatement{now, -1})
	case "rate":
		rate, err := strconv.ParseFloat(e.args[0], 64)
		assert.NilError(x.t, err)
		x.script.rate = rate
	case "restart":
		h := x.host(e.args[0])
		x.startHost(h, now)
		h.excusedUntil = now.Add(limitGrace)
	case "cut", "join":
		for _, h := range x.hosts {
			if h.cut || slices.Contains(e.args, h.name) {
				h.cut = e.verb == "cut"
				h.excusedUntil = now.Add(limitGrace)
			}
		}
		x.after(now, listDelay, func(now time.Time) {
			for _, h := range x.hosts {
				x.setHosts(now, h)
			}
		})
	default:
		x.t.Fatalf("unknown event %q", e.verb)
	}
}

func (x *limitSim) host(name string) *limitHost {
	i := slices.IndexFunc(x.hosts, func(h *limitHost) bool { return h.name == name })
	return x.hosts[i]
}

// request sends one request of a random object.
func (x *limitSim) request(now time.Time, h *limitHost) {
	key := x.rng.Uint64() | 1
	d := h.table.Choose(now, &agatebalance.Request{
		ID: strconv.FormatUint(key, 16), Service: "s", Route: &agateplan.Route{MaxAttempts: 2}, AffinityKey: key, Deadline: now.Add(time.Second),
	})
	if d.Upstream == "" {
		return
	}
	table := h.table
	table.Start(now, d.Upstream)
	oneWay := time.Duration(1+x.rng.IntN(25)) * time.Millisecond
	x.after(now, oneWay, func(at time.Time) {
		o := agatebalance.Observation{Outcome: agatebalance.Answered, Latency: 2*oneWay + 10*time.Millisecond, Basis: d.Basis}
		if d.Upstream == "u0" {
			x.arrive(at, h)
			o.Limit = x.limit
		}
		x.after(at, oneWay+10*time.Millisecond, func(at time.Time) {
			if table.Finish(at, d.Upstream, o).Limit && !x.alone && h.table == table {
				x.sendReports(at, h)
			}
			if o.Limit.Named && h.table == table {
				h.told = append(h.told, limitStatement{at, o.Limit.Rate})
			}
		})
	})
}

func (x *limitSim) arrive(at time.Time, h *limitHost) {
	a := limitArrival{at: at, host: h}
	for _, s := range h.told {
		if at.Sub(s.at) < limitNotice || h.cut || at.Before(h.excusedUntil) {
			break
		}
		if a.told.at.IsZero() || s.rate < a.told.rate {
			a.told = s
		}
	}
	x.arrivals = append(x.arrivals, a)
}

// maxNamed returns the largest limit that u0 named at any time from begin to end. It
// reports false if u0 named none at some time.
func (x *limitSim) maxNamed(begin, end time.Time) (float64, bool) {
	rate, known := 0.0, false
	for i, s := range x.named {
		until := end
		if i+1 < len(x.named) {
			until = x.named[i+1].at
		}
		if until.Before(begin) || s.at.After(end) {
			continue
		}
		if s.rate < 0 || i == 0 && s.at.After(begin) {
			return 0, false
		}
		rate, known = max(rate, s.rate), true
	}
	return rate, known
}

// worst returns the largest number of requests in a window and the number that was
// allowed there, for the window that exceeds its bound by most.
func (x *limitSim) worst() (got, allowed float64, end time.Duration) {
	excess := 0.0
	for i, last := range x.arrivals {
		rate, known := x.maxNamed(later(last.at.Add(-limitWindow), x.firstNamed()), last.at)
		if !known || last.at.Sub(x.firstNamed()) < limitGrace {
			continue
		}
		n := 0.0
		for j := i; j >= 0 && last.at.Sub(x.arrivals[j].at) < limitWindow; j-- {
			if a := x.arrivals[j]; !a.told.at.IsZero() && a.told.rate <= rate {
				n++
			}
		}
		bound := limitTolerance*rate*limitWindow.Seconds() + limitBurst
		if e := n - bound; got == 0 || e > excess {
			got, allowed, end, excess = n, bound, last.at.Sub(x.begin), e
		}
	}
	return got, allowed, end
}

func (x *limitSim) firstNamed() time.Time { return x.named[0].at }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rateAt returns the requests per second that arrived at u0 between two times.
func (x *limitSim) rateAt(from, to time.Duration) float64 {
	n := 0
	for _, a := range x.arrivals {
		if at := a.at.Sub(x.begin); at >= from && at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// Guards against hosts that each apply, or ignore, the limit that an upstream names
// for all of them together, and against a limit that is kept after its end.
func TestNamedLimitHoldsOverAllHosts(t *testing.T) {
	files, err := filepath.Glob("testdata/limit/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playLimitScript(t, file, false)
		})
		// Hosts that are cut off from the control group know what they are told
		// themselves. The bound holds all the same.
		t.Run(name+"/alone", func(t *testing.T) {
			t.Parallel()
			playLimitScript(t, file, true)
		})
	}
}

func playLimitScript(t *testing.T, file string, alone bool) {
	for seed := range uint64(3) {
		x := newLimitSim(t, readLimitScript(t, file), seed, alone)
		x.run()
		got, allowed, end := x.worst()
		assert.Check(t, got <= allowed, "seed %d: %v requests in the window that ends at %v, allowed %v", seed, got, end, allowed)
		if alone {
			continue
		}
		for _, l := range x.script.least {
			rate := x.rateAt(l.from, l.to)
			assert.Check(t, rate >= l.rate, "seed %d: %.1f requests per second from %v to %v, at least %v", seed, rate, l.from, l.to, l.rate)
		}
	}
}
