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

// TestScripts runs the scripts in testdata. Each file of an archive is a script
// that starts with an empty table. A line is a command with key=value arguments,
// optionally followed by "->" and the expected result. The comments of a script
// state the failure that it guards against.
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

// script is the state of a running script.
type script struct {
	t             *testing.T
	table         *Table
	now           time.Time
	overflowCalls int // calls of AllowOverflow
	grants        int // remaining calls that return true
	nextID        int
}

type args struct {
	positional []string
	named      map[string]string
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
			a.positional = append(a.positional, w)
		}
	}
	return a
}

func (a args) str(key, fallback string) string {
	if v, ok := a.named[key]; ok {
		return v
	}
	return fallback
}

func (a args) float(key string, fallback float64) float64 {
	v, ok := a.named[key]
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		panic(err)
	}
	return n
}

func (a args) duration(key string, fallback time.Duration) time.Duration {
	v, ok := a.named[key]
	if !ok {
		return fallback
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
		s.now = epoch.Add(mustDuration(a.positional[0]))
	case "rules":
		s.rules(a)
	case "grants":
		s.grants, _ = strconv.Atoi(a.positional[0])
	case "announce":
		return s.announce(a)
	case "choose":
		return s.choose(a)
	case "choose-many":
		return s.chooseMany(a)
	case "finish":
		s.finish(a)
	case "serve":
		return s.serve(a)
	case "next":
		return s.next()
	case "retry":
		return s.retry(a)
	case "hedge":
		r := s.request(a)
		return s.startSent(s.table.Hedge(s.now, r, a.duration("waited", 0)))
	case "tick":
		return s.tick(a)
	case "merge":
		s.merge(a)
	case "usage":
		return s.usage(a)
	case "excluded":
		return s.excluded(a)
	case "overflow-calls":
		return fmt.Sprint(s.overflowCalls)
	default:
		s.t.Fatalf("unknown command %q", name)
	}
	return ""
}

func (s *script) config(a args) {
	s.table = New(Config{
		Host: "e1", Region: a.str("region", "r0"), Hosts: int(a.float("hosts", 1)), QueueLimit: int(a.float("queue", 0)),
		AllowOverflow: func(time.Time, string, string, string) bool {
			s.overflowCalls++
			s.grants--
			return s.grants >= 0
		},
	})
}

// rules configures drains, given as kind:name:share.
func (s *script) rules(a args) {
	inv := &agateinventory.Inventory{TargetUtilization: a.float("target", 0), MaxEjectedShare: a.float("eject", 0)}
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
	var got AnnounceResult
	for _, id := range strings.Split(a.positional[0], ",") {
		got = s.table.Announce(s.now, Announcement{
			ID: UpstreamID(id), Incarnation: uint64(a.float("inc", 1)), Sequence: uint64(a.float("seq", warmSequence+1)),
			Service: "quotes", Region: a.str("region", "r0"), Domain: a.str("domain", "d0"),
			Address: netip.MustParseAddrPort(a.str("addr", "10.0.0.1:80")),
			Slots:   int(a.float("slots", 3)), MaxConnections: int(a.float("conns", 300)), Load: a.float("load", 0),
			State: map[string]State{"up": Up, "draining": Draining, "leaving": Leaving}[a.str("state", "up")],
			Age:   a.duration("age", 0),
		})
	}
	return got.String()
}

func (s *script) request(a args) Request {
	r := Request{
		ID: a.positional[0], Service: a.str("service", "quotes"), HomeRegion: a.str("region", ""),
		Pinned: UpstreamID(a.str("pinned", "")), Suspect: a.str("suspect", "") != "",
		Class: map[string]agateinventory.Class{"read": agateinventory.Read}[a.str("class", "read")],
	}
	r.Deadline = s.now.Add(a.duration("deadline", time.Second))
	for _, id := range strings.Split(a.str("tried", ""), ",") {
		if id != "" {
			r.Tried = append(r.Tried, UpstreamID(id))
		}
	}
	return r
}

// startSent calls Start for a Send decision and formats the decision.
func (s *script) startSent(d Decision) string {
	if d.Verdict == Send {
		s.table.Start(s.now, d.Upstream)
		return fmt.Sprintf("send %s %s", d.Upstream, d.Reason)
	}
	return fmt.Sprintf("%s %s", d.Verdict, d.Reason)
}

func (s *script) choose(a args) string {
	d := s.table.Choose(s.now, s.request(a))
	text := s.startSent(d)
	if d.Verdict == Refuse && a.str("show-retry-after", "") != "" {
		text += " " + d.RetryAfter.String()
	}
	return text
}

// chooseMany calls Choose for n requests and counts the results.
func (s *script) chooseMany(a args) string {
	n, _ := strconv.Atoi(a.positional[0])
	counts := map[string]int{}
	for range n {
		s.nextID++
		a.positional = []string{fmt.Sprint("m", s.nextID)}
		counts[s.choose(a)]++
	}
	return formatCounts(counts)
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for k, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

var outcomes = map[string]Outcome{
	"answered": Answered, "shed": Shed, "not-sent": NotSent, "failed": Failed, "timeout": TimedOut, "canceled": Canceled,
}

func (s *script) observation(a args) Observation {
	return Observation{
		Outcome: outcomes[a.str("outcome", "answered")], HomeRegion: a.str("home", ""), Latency: a.duration("latency", 20*time.Millisecond),
		RetryAfter: a.duration("retry-after", 0), Suspect: a.str("suspect", "") != "", UpstreamDied: a.str("died", "") != "",
		Leaving: a.str("leaving", "") != "", Incarnation: uint64(a.float("inc", 1)),
	}
}

func (s *script) finish(a args) {
	for range int(a.float("n", 1)) {
		s.table.Finish(s.now, UpstreamID(a.positional[0]), s.observation(a))
	}
}

// serve runs n requests one after the other, each to its end.
func (s *script) serve(a args) string {
	n, _ := strconv.Atoi(a.positional[0])
	counts := map[string]int{}
	for range n {
		s.nextID++
		a.positional = []string{fmt.Sprint("t", s.nextID)}
		d := s.table.Choose(s.now, s.request(a))
		if d.Verdict != Send {
			counts[d.Verdict.String()]++
			continue
		}
		s.table.Start(s.now, d.Upstream)
		counts[string(d.Upstream)]++
		obs := s.observation(a)
		if slow := a.str("slow", ""); slow == string(d.Upstream) {
			obs.Latency *= 10
		}
		s.now = s.now.Add(a.duration("every", 0))
		s.table.Finish(s.now, d.Upstream, obs)
	}
	return formatCounts(counts)
}

func (s *script) next() string {
	r, d, ok := s.table.Next(s.now)
	if !ok {
		return "none"
	}
	return r.ID + " " + s.startSent(d)
}

func (s *script) retry(a args) string {
	r, obs := s.request(a), s.observation(a)
	return s.startSent(s.table.Retry(s.now, r, obs))
}

// tick formats the events of one kind, or all of them.
func (s *script) tick(a args) string {
	var parts []string
	for _, e := range s.table.Tick(s.now) {
		if kind := a.str("kind", string(e.Kind)); kind != string(e.Kind) {
			continue
		}
		part := strings.TrimSpace(fmt.Sprintf("%s %s", e.Kind, e.Upstream))
		if e.Duration > 0 {
			part += " " + e.Duration.String()
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ", ")
}

// merge applies a peer's counts, given as upstream:count.
func (s *script) merge(a args) {
	x := Exchange{Host: a.str("host", "e2"), Epoch: uint64(a.float("epoch", 0)), Age: a.duration("age", 0)}
	for _, c := range strings.Split(a.str("counts", ""), ",") {
		if id, n, ok := strings.Cut(c, ":"); ok {
			count, _ := strconv.Atoi(n)
			x.InFlight = append(x.InFlight, InFlightCount{ID: UpstreamID(id), InFlight: count})
		}
	}
	// Traffic is given as region:response rate:service time.
	if f := strings.Split(a.str("traffic", ""), ":"); len(f) == 3 {
		rate, _ := strconv.ParseFloat(f[1], 64)
		x.Traffic = []Traffic{{Service: "quotes", Region: f[0], ResponseRate: rate, ServiceTime: mustDuration(f[2])}}
	}
	s.table.Merge(s.now, x)
}

func (s *script) usage(a args) string {
	for _, u := range s.table.Usage(s.now) {
		if u.Region == a.positional[0] {
			return fmt.Sprintf("slots=%d inflight=%d own=%d waiting=%d", u.Slots, u.InFlight, u.OwnInFlight, u.Queued)
		}
	}
	return "none"
}

// excluded returns the percentage of a fixed number of pinned requests that the
// upstream does not receive.
func (s *script) excluded(a args) string {
	const n = 20000
	excluded := 0
	for i := range n {
		d := s.table.Choose(s.now, Request{ID: fmt.Sprint("k", i), Service: "quotes", Pinned: UpstreamID(a.positional[0])})
		if d.Verdict != Send {
			excluded++
		}
	}
	return fmt.Sprintf("%.0f%%", 100*float64(excluded)/n)
}
