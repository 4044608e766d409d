package agateshift

import (
	"flag"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agateinventory"
)

// TestMain sets defaults for the flags of rapid, among them a fixed seed. The
// command line can override them.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.steps", "100")
	flag.Set("rapid.checks", "30")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// script runs the commands of a data file.
type script struct {
	t        *testing.T
	location string
	now      time.Time
	inv      *agateinventory.Inventory
	granter  *Granter
	holders  map[string]*Holder
	epoch    uint64
	// maxRequestBytes is used in all grant requests.
	maxRequestBytes int64
	// periodicReports and periodicRequests are sent every 250 ms by simulate.
	periodicReports  [][]string
	periodicRequests [][]string
}

// Guards against grants that exceed a limit, and against denials although the
// limits allow a grant. testdata/grants.txt has the cases.
func TestGrants(t *testing.T) {
	data, err := os.ReadFile("testdata/grants.txt")
	assert.NilError(t, err)
	s := &script{t: t}
	for i, line := range strings.Split(string(data), "\n") {
		s.location = fmt.Sprintf("testdata/grants.txt:%d: %s", i+1, line)
		if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
			s.run(f)
		}
	}
}

func (s *script) run(f []string) {
	switch f[0] {
	case "new":
		s.reset()
	case "at":
		d, err := time.ParseDuration(f[1])
		assert.NilError(s.t, err, s.location)
		s.now = start.Add(d)
	case "shift", "shift2":
		s.inv.Shifts = append(s.inv.Shifts, agateinventory.Shift{
			Service: f[0], From: f[1], To: f[2], MaxRequestRate: s.num(f[3]), MaxByteRate: s.num(f[4]), Allow: f[5] == "yes",
		})
		s.granter.Configure(s.now, s.inv)
	case "link":
		s.inv.Links = []agateinventory.Link{{From: f[1], To: f[2], ByteRate: s.num(f[3])}}
		s.granter.Configure(s.now, s.inv)
	case "drain":
		s.inv.Drains = []agateinventory.Drain{{Kind: agateinventory.DrainRegion, Name: f[1], Share: s.num(f[2])}}
		s.granter.Configure(s.now, s.inv)
	case "report":
		s.report(f)
	case "periodic-report":
		s.periodicReports = append(s.periodicReports, f)
		s.report(f)
	case "periodic-request", "periodic-request2":
		s.periodicRequests = append(s.periodicRequests, f)
	case "simulate":
		s.simulate()
	case "request", "request2":
		s.request(f)
	case "count-grants":
		s.countGrants(f)
	case "request-and-accept":
		for _, k := range s.periodicReports {
			s.report(k)
		}
		h := s.holder(f[1])
		delay, _ := time.ParseDuration(append(f, "0s")[6]) // the delay is optional
		h.Accept(s.now.Add(delay), s.granter.Grant(s.now, h.NewGrantRequest(s.now, "shift", f[2], f[3], s.num(f[4]), s.num(f[5]), s.maxRequestBytes)))
	case "size":
		s.maxRequestBytes = int64(s.num(f[1]))
	case "restart":
		delete(s.holders, f[1])
	case "take":
		s.take(f)
	default:
		s.t.Fatal(s.location)
	}
}

func (s *script) reset() {
	s.now = start
	s.inv = &agateinventory.Inventory{}
	for _, name := range []string{"a1", "a2", "a3", "b1", "c1", "c2"} {
		s.inv.Hosts = append(s.inv.Hosts, agateinventory.Host{Name: name, Region: name[:1]})
	}
	s.granter = NewGranter(Config{ElectedAt: start, Term: 1})
	s.holders = map[string]*Holder{}
	s.periodicReports, s.periodicRequests, s.maxRequestBytes = nil, nil, 0
}

func (s *script) num(x string) float64 {
	v, err := strconv.ParseFloat(x, 64)
	assert.NilError(s.t, err, s.location)
	return v
}

func (s *script) holder(name string) *Holder {
	if s.holders[name] == nil {
		s.epoch++
		s.holders[name] = NewHolder(HolderConfig{Host: name, Epoch: s.epoch})
	}
	return s.holders[name]
}

func (s *script) report(f []string) {
	var age time.Duration
	if len(f) > 5 {
		age, _ = time.ParseDuration(f[5])
	}
	s.granter.Report(s.now, f[1], []LoadReport{
		{"shift", f[2], s.num(f[3]), s.num(f[4]), age},
		{"shift2", f[2], s.num(f[3]), s.num(f[4]), age},
	})
}

// grant runs a command that requests a grant. Commands that end in 2 are for the
// service shift2, the others for the service shift.
func (s *script) grant(f []string) Grant {
	service := "shift" + strings.TrimLeft(f[0], "abcdefghijklmnopqrstuvwxyz-")
	req := s.holder(f[1]).NewGrantRequest(s.now, service, f[2], f[3], s.num(f[4]), s.num(f[5]), s.maxRequestBytes)
	return s.granter.Grant(s.now, req)
}

// simulate sends the periodic reports and grant requests for 20 s. Without
// periodic reports it keeps the latest ones fresh.
func (s *script) simulate() {
	for range 80 {
		s.now = s.now.Add(250 * time.Millisecond)
		for _, f := range s.periodicReports {
			s.report(f)
		}
		if len(s.periodicReports) == 0 {
			for _, d := range s.granter.destinations {
				for _, r := range d.reports {
					r.measuredAt = s.now
				}
			}
		}
		for _, f := range s.periodicRequests {
			s.grant(f)
		}
	}
}

func (s *script) request(f []string) {
	g := s.grant(f)
	s.assertNear(g.RequestRate, f[7])
	if f[8] != "-" {
		s.assertNear(g.ByteRate, f[8])
	}
	assert.Equal(s.t, g.Reason, f[9], s.location)
}

// assertNear compares a number with an expected one that is rounded to one
// decimal.
func (s *script) assertNear(got float64, want string) {
	if math.Abs(got-s.num(want)) > 0.001*got+0.06 {
		s.t.Errorf("%s: got %f", s.location, got)
	}
}

func (s *script) countGrants(f []string) {
	n := 0
	for _, w := range s.periodicRequests {
		if s.grant(w).RequestRate > 0 {
			n++
		}
	}
	assert.Equal(s.t, strconv.Itoa(n), f[1], s.location)
}

func (s *script) take(f []string) {
	n := 0
	for range int(s.num(f[5])) {
		if s.holder(f[1]).Take(s.now, "shift", f[2], f[3], int64(s.num(f[4]))) {
			n++
		}
	}
	assert.Equal(s.t, strconv.Itoa(n), f[7], s.location)
}

// Guards against the use of grants that the granter does not count: those of
// another process or a former granter, and those that arrive late or twice.
func TestAccept(t *testing.T) {
	h := NewHolder(HolderConfig{Host: "a1", Epoch: 7})
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var requests []GrantRequest
	for range 5 {
		requests = append(requests, h.NewGrantRequest(after(0), "s", "a", "c", 100, 1e6, 0))
	}
	grant := func(i int, rate float64) Grant {
		return Grant{
			Term: 3, Host: "a1", Epoch: 7, RequestID: requests[i].ID, Service: "s", From: "a", To: "c",
			RequestRate: rate, ByteRate: 1e6, Duration: 2 * time.Second,
		}
	}
	accept := func(ms int, g Grant) float64 {
		h.Accept(after(ms), g)
		rate, _, _ := h.Current(after(ms), "s", "a", "c")
		return rate
	}
	other := grant(0, 10)
	other.Host = "a2"
	assert.Equal(t, accept(10, other), 0.0, "another host")
	other = grant(0, 10)
	other.Epoch = 6
	assert.Equal(t, accept(10, other), 0.0, "another process")
	other = grant(0, 10)
	other.To = "b"
	assert.Equal(t, accept(10, other), 0.0, "another region")
	assert.Equal(t, accept(10, grant(2, 20)), 20.0)
	assert.Equal(t, accept(10, grant(1, 30)), 20.0, "an earlier request")
	assert.Equal(t, accept(10, grant(2, 40)), 20.0, "the same request again")
	other = grant(4, 50)
	other.RequestID = 99
	assert.Equal(t, accept(10, other), 20.0, "an unknown request")
	other = grant(4, 50)
	other.Term = 2
	assert.Equal(t, accept(10, other), 20.0, "a former granter")
	assert.Equal(t, accept(20, grant(3, 60)), 60.0)
	assert.Equal(t, accept(1900, grant(4, 70)), 0.0, "an expired grant")
	for range 2 * maxPendingRequests {
		h.NewGrantRequest(after(2000), "s", "a", "c", 1, 1, 0)
	}
	assert.Equal(t, len(h.flows[flowKey{"s", "a", "c"}].pending), maxPendingRequests)
}

// Guards against grants that are no longer counted, and flows that are never
// removed, after their rule is removed.
func TestRemovedRule(t *testing.T) {
	inventoryFrom := func(from string) *agateinventory.Inventory {
		return &agateinventory.Inventory{
			Hosts:  []agateinventory.Host{{Name: "c1", Region: "c"}},
			Shifts: []agateinventory.Shift{{Service: "s", From: from, To: "c", MaxRequestRate: 1000, Allow: true}},
		}
	}
	g := NewGranter(Config{ElectedAt: start})
	g.Configure(start, inventoryFrom("a"))
	now := start.Add(4 * time.Second)
	g.Report(now, "c1", []LoadReport{{"s", "c", 100, 0, 0}})
	g.Configure(now, inventoryFrom("a")) // must not drop reports
	ask := GrantRequest{Host: "h", Service: "s", From: "a", To: "c", RequestRate: 4}
	assert.Equal(t, g.Grant(now, ask).RequestRate, 4.0)
	g.Configure(now, inventoryFrom("b"))
	assert.Equal(t, g.Grant(now, ask).Reason, "no-rule")
	ask.From = "b"
	g.Grant(now, ask)
	assert.Assert(t, g.destinations[destinationKey{"s", "c"}].granted >= 5, "the grant still counts")
	now = now.Add(3 * time.Second)
	g.Configure(now, inventoryFrom("b"))
	assert.Equal(t, len(g.flows), 1)
	g.Configure(now, &agateinventory.Inventory{})
	assert.Equal(t, len(g.flows)+len(g.destinations)+len(g.links), 0)
}

// BenchmarkGrant measures one grant request with many requesting hosts.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		inv := &agateinventory.Inventory{Shifts: []agateinventory.Shift{{Service: "s", From: "a", To: "c", MaxRequestRate: 1e5, Allow: true}}}
		for i := range n {
			inv.Hosts = append(inv.Hosts, agateinventory.Host{Name: fmt.Sprint("a", i), Region: "a"}, agateinventory.Host{Name: fmt.Sprint("c", i), Region: "c"})
		}
		g := NewGranter(Config{ElectedAt: start})
		g.Configure(start, inv)
		now := start.Add(4 * time.Second)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				now = now.Add(500 * time.Millisecond / time.Duration(n))
				g.Report(now, fmt.Sprint("c", i%n), []LoadReport{{"s", "c", 1e6, 10, 0}})
				g.Grant(now, GrantRequest{Host: fmt.Sprint("a", i%n), ID: uint64(i), Service: "s", From: "a", To: "c", RequestRate: 500, ByteRate: 1000})
			}
		})
	}
}
