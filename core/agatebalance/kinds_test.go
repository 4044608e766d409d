package agatebalance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/core/agateplan"
)

// kind is a kind of request in a replay, and what became of its requests.
type kind struct {
	name      string
	rate      float64 // requests per second
	work      time.Duration
	route     *agateplan.Route
	workspace *agateplan.Workspace

	asked, served, inTime int
}

// replay replays arrivals of several kinds against one host's Table and upstreams with
// slots and queues.
type replay struct {
	t         *testing.T
	rng       *rand.Rand
	table     *agatebalance.Table
	now       time.Time
	upstreams map[string]*replayUpstream
	slots     int
	seconds   int
	kinds     []*kind
	events    events
	n         int
	scheduled int // events so far
}

type replayUpstream struct {
	running int
	queue   []*replayRequest
}

type replayRequest struct {
	kind     *kind
	d        agatebalance.Decision
	arrived  time.Time
	upstream *replayUpstream
}

func (p *replay) after(d time.Duration, apply func()) {
	p.scheduled++
	heap.Push(&p.events, event{at: p.now.Add(d), seq: p.scheduled, run: func(time.Time) { apply() }})
}

// Guards against less urgent requests that take the room of more urgent ones, and
// against ones that starve. The scripts in testdata/kinds describe a load with
// "upstreams N slots N seconds N" and "kind NAME rate N work D target D workspace
// PRIORITY route PRIORITY", and the least shares of a kind's requests that must be
// "served" at all or "in-time" with "expect NAME WHAT SHARE".
func TestKinds(t *testing.T) {
	files, err := filepath.Glob("testdata/kinds/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runReplay(t, file) })
	}
}

func newReplay(t *testing.T) *replay {
	return &replay{t: t, rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), upstreams: map[string]*replayUpstream{}}
}

// Guards against another choice for plans without workspaces: under the same load, each
// request has the same end as with workspaces that are all alike, while a workspace that
// goes first changes it.
func TestNoOrderWithoutWorkspaces(t *testing.T) {
	play := func(workspaces bool, first int) string {
		p := newReplay(t)
		p.addUpstreams(10, 4)
		p.seconds = 5
		for i, target := range []string{"300ms", "2s"} {
			k := newKind(t, []string{"k" + strconv.Itoa(i), "rate", "500", "work", "100ms", "target", target})
			k.workspace.Priority = i * first
			if !workspaces {
				k.workspace = nil
			}
			p.kinds = append(p.kinds, k)
		}
		p.play()
		a, b := p.kinds[0], p.kinds[1]
		return fmt.Sprint(a.asked, a.served, a.inTime, b.asked, b.served, b.inTime)
	}
	assert.Equal(t, play(false, 0), play(true, 0))
	assert.Assert(t, play(false, 0) != play(true, 1))
}

func runReplay(t *testing.T, file string) {
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	p := newReplay(t)
	played := false
	for line := range strings.Lines(string(text)) {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		switch words[0] {
		case "upstreams":
			p.addUpstreams(number(t, words[1]), number(t, words[3]))
			p.seconds = number(t, words[5])
		case "kind":
			p.kinds = append(p.kinds, newKind(t, words[1:]))
		case "expect":
			if !played {
				p.play()
				played = true
			}
			p.expect(words[1], words[2], words[3])
		default:
			t.Fatalf("unknown command %q", words[0])
		}
	}
	assert.Assert(t, played)
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

func newKind(t *testing.T, words []string) *kind {
	k := &kind{name: words[0], route: &agateplan.Route{Name: words[0], MaxAttempts: 1}, workspace: &agateplan.Workspace{Name: words[0]}}
	for i := 1; i < len(words); i += 2 {
		value := words[i+1]
		switch words[i] {
		case "rate":
			k.rate = float64(number(t, value))
		case "workspace":
			k.workspace.Priority = number(t, value)
		case "route":
			k.route.Priority = number(t, value)
		case "work", "target":
			d, err := time.ParseDuration(value)
			assert.NilError(t, err)
			if words[i] == "work" {
				k.work = d
			} else {
				k.route.Target = d
			}
		}
	}
	return k
}

func (p *replay) addUpstreams(n, slots int) {
	p.slots = slots
	p.table = agatebalance.New(agatebalance.Config{Host: "h", Region: "a", Domain: "a-1", Regions: map[string]string{"a-1": "a"}})
	var list []agatebalance.UpstreamInfo
	for i := range n {
		id := "u" + strconv.Itoa(i)
		p.upstreams[id] = &replayUpstream{}
		list = append(list, agatebalance.UpstreamInfo{
			ID: id, Service: "s", Domain: "a-1", Slots: slots, StartedAtMs: 1, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+i)),
		})
	}
	p.table.SetHosts(p.now, []string{"h"})
	p.table.UpdateUpstreams(p.now, list, true, nil)
}

// play replays the load. Counts begin after two seconds, in which service times are
// learned.
func (p *replay) play() {
	end := p.now.Add(time.Duration(p.seconds) * time.Second)
	counted := p.now.Add(2 * time.Second)
	for _, k := range p.kinds {
		p.scheduleArrival(k, end, counted)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.run(e.at)
	}
}

func (p *replay) scheduleArrival(k *kind, end, counted time.Time) {
	p.after(time.Duration(p.rng.ExpFloat64()/k.rate*float64(time.Second)), func() {
		if p.now.After(end) {
			return
		}
		p.arrive(k, p.now.After(counted))
		p.scheduleArrival(k, end, counted)
	})
}

func (p *replay) arrive(k *kind, counts bool) {
	p.n++
	into := &kind{work: k.work, route: k.route}
	if counts {
		into = k
	}
	into.asked++
	p.table.RecordRequest(p.now, "s")
	d := p.table.Choose(p.now, &agatebalance.Request{
		ID: fmt.Sprint("r", p.n), Service: "s", Route: k.route, Workspace: k.workspace, Target: p.now.Add(k.route.Target), Deadline: p.now.Add(10 * time.Second),
	})
	if d.Upstream == "" {
		return
	}
	p.table.Start(p.now, d.Upstream)
	u := p.upstreams[d.Upstream]
	u.queue = append(u.queue, &replayRequest{kind: into, d: d, arrived: p.now, upstream: u})
	p.startNext(u)
}

// startNext runs the first request of an upstream's queue if a slot is free.
func (p *replay) startNext(u *replayUpstream) {
	if u.running >= p.slots || len(u.queue) == 0 {
		return
	}
	r := u.queue[0]
	u.queue = u.queue[1:]
	u.running++
	p.after(r.kind.work, func() {
		u.running--
		latency := p.now.Sub(r.arrived)
		r.kind.served++
		if latency <= r.kind.route.Target {
			r.kind.inTime++
		}
		p.table.Finish(p.now, r.d.Upstream, agatebalance.Observation{
			Outcome: agatebalance.Answered, Latency: latency, Basis: r.d.Basis, Responded: true,
			Reported: true, Running: u.running, Waiting: len(u.queue),
		})
		p.startNext(u)
	})
}

func (p *replay) expect(name, what, share string) {
	least, err := strconv.ParseFloat(share, 64)
	assert.NilError(p.t, err)
	for _, k := range p.kinds {
		if k.name != name {
			continue
		}
		got := float64(k.served) / float64(k.asked)
		if what == "in-time" {
			got = float64(k.inTime) / float64(k.asked)
		}
		assert.Check(p.t, got >= least, "%s: %.3f of %d %s, at least %s expected", name, got, k.asked, what, share)
		p.t.Logf("%s: %d asked, %d served, %d in time", name, k.asked, k.served, k.inTime)
		return
	}
	p.t.Fatalf("unknown kind %q", name)
}
