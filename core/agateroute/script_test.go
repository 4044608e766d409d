package agateroute

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"agategate/core/agateinventory"
)

// TestScripts runs the scripts under testdata. Each file of an archive is one
// script against a new table. A line is a command with key=value arguments;
// what follows "->" is its expected result.
func TestScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		archive, err := txtar.ParseFile(name)
		assert.NilError(t, err)
		for _, f := range archive.Files {
			t.Run(filepath.Base(name)+"/"+f.Name, func(t *testing.T) {
				runScript(t, string(f.Data))
			})
		}
	}
}

// script is the state of one running script.
type script struct {
	t       *testing.T
	table   *Table
	now     time.Time
	asked   int // calls of Overflow
	grants  int // how many of them are granted
	counter int
}

// args are the arguments of a command.
type args struct {
	plain []string
	named map[string]string
}

func runScript(t *testing.T, text string) {
	s := &script{t: t, now: epoch}
	s.config(args{named: map[string]string{}})
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		command, want, checked := strings.Cut(line, "->")
		words := strings.Fields(command)
		if len(words) == 0 {
			continue
		}
		got := s.command(words[0], parseArgs(words[1:]))
		if checked {
			assert.Equal(t, got, strings.TrimSpace(want), "line %d: %s", i+1, line)
		}
	}
}

func parseArgs(words []string) args {
	a := args{named: map[string]string{}}
	for _, w := range words {
		if k, v, ok := strings.Cut(w, "="); ok {
			a.named[k] = v
		} else {
			a.plain = append(a.plain, w)
		}
	}
	return a
}

func (a args) str(key, otherwise string) string {
	if v, ok := a.named[key]; ok {
		return v
	}
	return otherwise
}

func (a args) num(key string, otherwise float64) float64 {
	v, ok := a.named[key]
	if !ok {
		return otherwise
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func (a args) dur(key string, otherwise time.Duration) time.Duration {
	v, ok := a.named[key]
	if !ok {
		return otherwise
	}
	return mustDuration(v)
}

func mustDuration(v string) time.Duration {
	d, err := time.ParseDuration(v)
	if err != nil {
		panic(err)
	}
	return d
}

func (s *script) command(name string, a args) string {
	switch name {
	case "config":
		s.config(a)
	case "at":
		s.now = epoch.Add(mustDuration(a.plain[0]))
	case "rules":
		s.rules(a)
	case "grants":
		s.grants, _ = strconv.Atoi(a.plain[0])
	case "announce":
		return s.announce(a)
	case "choose":
		return s.choose(a)
	case "many":
		return s.many(a)
	case "finish":
		s.finish(a)
	case "traffic":
		return s.traffic(a)
	case "next":
		return s.next()
	case "retry":
		return s.retry(a)
	case "hedge":
		q := s.request(a)
		return s.started(s.table.Hedge(s.now, q, a.dur("waited", 0)))
	case "tick":
		return s.tick(a)
	case "merge":
		s.merge(a)
	case "usage":
		return s.usage(a)
	case "kept":
		return s.kept(a)
	case "asked":
		return fmt.Sprint(s.asked)
	default:
		s.t.Fatalf("unknown command %q", name)
	}
	return ""
}

func (s *script) config(a args) {
	s.table = New(Config{
		Host: "e1", Region: a.str("region", "r0"), Hosts: int(a.num("hosts", 1)), Queue: int(a.num("queue", 0)),
		Overflow: func(time.Time, string, string, string) bool {
			s.asked++
			s.grants--
			return s.grants >= 0
		},
	})
}

// rules configures drains as kind:name:share.
func (s *script) rules(a args) {
	inv := &agateinventory.Inventory{TargetUtilization: a.num("target", 0), MaxEjectedShare: a.num("eject", 0)}
	for _, d := range strings.Split(a.str("drains", ""), ",") {
		if f := strings.Split(d, ":"); len(f) == 3 {
			share, _ := strconv.ParseFloat(f[2], 64)
			inv.Drains = append(inv.Drains, agateinventory.Drain{
				Kind: agateinventory.DrainKind(f[0]), Name: f[1], Share: share,
			})
		}
	}
	if v := a.str("retire", ""); v != "" {
		inv.RetiredUpstreams = strings.Split(v, ",")
	}
	s.table.Configure(s.now, inv)
}

func (s *script) announce(a args) string {
	var got Receipt
	for _, id := range strings.Split(a.plain[0], ",") {
		got = s.table.Announce(s.now, Announcement{
			ID: UpstreamID(id), Incarnation: uint64(a.num("inc", 1)), Sequence: uint64(a.num("seq", warmSequence+1)),
			Service: "quotes", Region: a.str("region", "r0"), Domain: a.str("domain", "d0"),
			Address: netip.MustParseAddrPort(a.str("addr", "10.0.0.1:80")),
			Slots:   int(a.num("slots", 3)), Connections: int(a.num("conns", 300)), Load: a.num("load", 0),
			State: map[string]State{"up": Up, "draining": Draining, "leaving": Leaving}[a.str("state", "up")],
			Age:   a.dur("age", 0),
		})
	}
	return got.String()
}

func (s *script) request(a args) Request {
	q := Request{
		ID: a.plain[0], Service: a.str("service", "quotes"), Region: a.str("region", ""),
		Pinned: UpstreamID(a.str("pinned", "")), Alone: a.str("alone", "") != "",
		Class: map[string]agateinventory.Class{"read": agateinventory.Read}[a.str("class", "read")],
	}
	q.Deadline = s.now.Add(a.dur("left", time.Second))
	for _, id := range strings.Split(a.str("tried", ""), ",") {
		if id != "" {
			q.Tried = append(q.Tried, UpstreamID(id))
		}
	}
	return q
}

// started starts a sent request and describes the decision.
func (s *script) started(d Decision) string {
	if d.Verdict == Send {
		s.table.Start(s.now, d.Upstream)
		return fmt.Sprintf("send %s %s", d.Upstream, d.Reason)
	}
	return fmt.Sprintf("%s %s", d.Verdict, d.Reason)
}

func (s *script) choose(a args) string {
	d := s.table.Choose(s.now, s.request(a))
	text := s.started(d)
	if d.Verdict == Refuse && a.str("after", "") != "" {
		text += " " + d.RetryAfter.String()
	}
	return text
}

// many chooses for n requests and counts the results.
func (s *script) many(a args) string {
	n, _ := strconv.Atoi(a.plain[0])
	counts := map[string]int{}
	for range n {
		s.counter++
		a.plain = []string{fmt.Sprint("m", s.counter)}
		counts[s.choose(a)]++
	}
	return describe(counts)
}

func describe(counts map[string]int) string {
	var parts []string
	for k, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

var outcomes = map[string]Outcome{
	"answered": Answered, "shed": Shed, "unstarted": Unstarted, "failed": Failed, "timeout": TimedOut, "canceled": Canceled,
}

func (s *script) observation(a args) Observation {
	return Observation{
		Outcome: outcomes[a.str("outcome", "answered")], Home: a.str("home", ""), Latency: a.dur("latency", 20*time.Millisecond),
		Class:      map[string]agateinventory.Class{"read": agateinventory.Read}[a.str("class", "read")],
		RetryAfter: a.dur("retry", 0), Alone: a.str("alone", "") != "", Died: a.str("died", "") != "",
	}
}

func (s *script) finish(a args) {
	for range int(a.num("n", 1)) {
		s.table.Finish(s.now, UpstreamID(a.plain[0]), s.observation(a))
	}
}

// traffic sends n requests one after the other, each to its end.
func (s *script) traffic(a args) string {
	n, _ := strconv.Atoi(a.plain[0])
	counts := map[string]int{}
	for range n {
		s.counter++
		a.plain = []string{fmt.Sprint("t", s.counter)}
		d := s.table.Choose(s.now, s.request(a))
		if d.Verdict != Send {
			counts[d.Verdict.String()]++
			continue
		}
		s.table.Start(s.now, d.Upstream)
		counts[string(d.Upstream)]++
		o := s.observation(a)
		if slow := a.str("slow", ""); slow == string(d.Upstream) {
			o.Latency *= 10
		}
		s.now = s.now.Add(a.dur("every", 0))
		s.table.Finish(s.now, d.Upstream, o)
	}
	return describe(counts)
}

func (s *script) next() string {
	r, d, ok := s.table.Next(s.now)
	if !ok {
		return "none"
	}
	return r.ID + " " + s.started(d)
}

func (s *script) retry(a args) string {
	q, o := s.request(a), s.observation(a)
	return s.started(s.table.Retry(s.now, q, o))
}

// tick describes the events of one kind, or all.
func (s *script) tick(a args) string {
	var parts []string
	for _, e := range s.table.Tick(s.now) {
		if kind := a.str("kind", string(e.Kind)); kind != string(e.Kind) {
			continue
		}
		part := strings.TrimSpace(fmt.Sprintf("%s %s", e.Kind, e.Upstream))
		if e.Time > 0 {
			part += " " + e.Time.String()
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

// merge takes a peer's counts as upstream:count.
func (s *script) merge(a args) {
	x := Exchange{Host: a.str("host", "e2"), Epoch: uint64(a.num("epoch", 0)), Age: a.dur("age", 0)}
	for _, c := range strings.Split(a.str("counts", ""), ",") {
		if id, n, ok := strings.Cut(c, ":"); ok {
			count, _ := strconv.Atoi(n)
			x.InFlight = append(x.InFlight, Count{ID: UpstreamID(id), InFlight: count})
		}
	}
	// Traffic is region:answers:service time.
	if f := strings.Split(a.str("traffic", ""), ":"); len(f) == 3 {
		answers, _ := strconv.ParseFloat(f[1], 64)
		x.Traffic = []Traffic{{Name: "quotes", Region: f[0], Answers: answers, Service: mustDuration(f[2])}}
	}
	s.table.Merge(s.now, x)
}

func (s *script) usage(a args) string {
	for _, u := range s.table.Usage(s.now) {
		if u.Region == a.plain[0] {
			return fmt.Sprintf("slots=%d inflight=%d own=%d waiting=%d", u.Slots, u.InFlight, u.Own, u.Waiting)
		}
	}
	return "none"
}

// kept is the percentage of n requests that an upstream does not get when it
// is the only one that they may have.
func (s *script) kept(a args) string {
	const n = 20000
	away := 0
	for i := range n {
		d := s.table.Choose(s.now, Request{ID: fmt.Sprint("k", i), Service: "quotes", Pinned: UpstreamID(a.plain[0])})
		if d.Verdict != Send {
			away++
		}
	}
	return fmt.Sprintf("%.0f%%", 100*float64(away)/n)
}
