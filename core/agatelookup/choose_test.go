package agatelookup

import (
	"flag"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agateinventory"
)

// TestMain sets defaults for the flags of rapid, among them a fixed seed. The
// command line can override them.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "50")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// script runs the commands of testdata/choices.txt.
type script struct {
	t        *testing.T
	location string
	cfg      Config
	blocks   []agateinventory.Block
}

// Guards against answers with the wrong hosts, shares of callers, reasons or
// lifetimes. testdata/choices.txt has the cases.
func TestChoices(t *testing.T) {
	data, err := os.ReadFile("testdata/choices.txt")
	assert.NilError(t, err)
	s := &script{t: t}
	for i, line := range strings.Split(string(data), "\n") {
		s.location = fmt.Sprintf("testdata/choices.txt:%d: %s", i+1, line)
		if f := strings.Fields(line); len(f) > 0 && f[0] != "#" {
			s.run(f)
		}
	}
}

func (s *script) run(f []string) {
	switch f[0] {
	case "new":
		s.cfg = Config{Now: start, ChangedAt: start.Add(-time.Hour)}
		s.blocks = nil
	case "block":
		s.blocks = append(s.blocks, agateinventory.Block{Prefix: netip.MustParsePrefix(f[1]), Region: f[2]})
	case "host":
		f = append(f, "0s")
		s.cfg.Hosts = append(s.cfg.Hosts, Host{
			Name: f[1], Region: f[2], Domain: f[3], Capacity: s.num(f[4]), Load: s.num(f[5]), LastContact: start.Add(-s.dur(f[6])),
		})
	case "drain":
		s.cfg.Drains = append(s.cfg.Drains, agateinventory.Drain{Kind: agateinventory.DrainKind(f[1]), Name: f[2], Share: s.num(f[3])})
	case "stop":
		for i := range s.cfg.Hosts {
			s.cfg.Hosts[i].Unavailable = s.cfg.Hosts[i].Unavailable || s.cfg.Hosts[i].Name == f[1]
		}
	case "demand":
		if s.cfg.Demand == nil {
			s.cfg.Demand = map[string]float64{}
		}
		s.cfg.Demand[f[1]] = s.num(f[2])
	case "changed":
		s.cfg.ChangedAt = start.Add(-s.dur(f[1]))
	case "lifetime":
		s.cfg.Lifetime = s.dur(f[1])
	case "spread":
		s.spread(f)
	case "answer":
		a := Choose(Query{netip.MustParseAddr(f[1])}, s.view())
		got := fmt.Sprint(a.Reason, " ", a.Lifetime, " ", len(a.Hosts))
		assert.Equal(s.t, got, strings.Join(f[2:], " "), s.location)
	default:
		s.t.Fatal(s.location)
	}
}

func (s *script) num(x string) float64 {
	v, err := strconv.ParseFloat(x, 64)
	assert.NilError(s.t, err, s.location)
	return v
}

func (s *script) dur(x string) time.Duration {
	d, err := time.ParseDuration(x)
	assert.NilError(s.t, err, s.location)
	return d
}

func (s *script) view() View {
	s.cfg.Index = NewIndex(s.blocks)
	return NewView(s.cfg)
}

func (s *script) spread(f []string) {
	const callers = 4000
	v := s.view()
	position := int(s.num(f[2])) - 1
	got := map[string]float64{}
	addr := netip.MustParsePrefix(f[1]).Addr()
	for range callers {
		addr = addr.Next()
		if a := Choose(Query{addr}, v); position < len(a.Hosts) {
			got[a.Hosts[position].Name] += 1.0 / callers
		}
	}
	for _, part := range f[3:] {
		name, share, _ := strings.Cut(part, "=")
		if math.Abs(got[name]-s.num(share)) > 0.03 {
			s.t.Errorf("%s: %s has %f", s.location, name, got[name])
		}
		delete(got, name)
	}
	assert.Equal(s.t, len(got), 0, "%s: %v", s.location, got)
}

// Guards against overloaded hosts after the failure of a domain although the
// others have enough capacity in total, and against answers whose first two hosts
// are in the same failure domain.
func TestLossOfDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const callers = 15000
		cfg, blocks, demand := drawSystem(t)
		cfg.Index = NewIndex(blocks)
		v := NewView(cfg)
		// load[lost][host] is the load after the failure of a domain; "" stands
		// for no failure.
		load := map[string]map[string]float64{"": {}}
		for _, d := range v.plan.domains {
			load[d.name] = map[string]float64{}
		}
		largest := 0.0
		for i := range blocks {
			largest = max(largest, cfg.Demand[blocks[i].Region]/callers)
			rate := cfg.Demand[blocks[i].Region] / callers
			addr := blocks[i].Prefix.Addr()
			for range callers {
				addr = addr.Next()
				a := Choose(Query{addr}, v)
				if a.Hosts[0].Domain == a.Hosts[1].Domain {
					t.Fatalf("%v and %v share a failure domain", a.Hosts[0], a.Hosts[1])
				}
				for lost, hosts := range load {
					if a.Hosts[0].Domain == lost {
						hosts[a.Hosts[1].Name] += rate
					} else {
						hosts[a.Hosts[0].Name] += rate
					}
				}
			}
		}
		for lost, hosts := range load {
			// A drained host gets only its reduced share, so a region is full
			// when its other hosts are.
			remaining, fullLoad := 0.0, 0.0
			for _, r := range v.plan.regions {
				fullLoad += r.fullLoad
			}
			for _, h := range cfg.Hosts {
				if h.Domain != lost {
					remaining += h.Capacity * (1 - drainedShareOf(cfg.Drains, agateinventory.DrainHost, h.Name))
				}
			}
			if demand > min(remaining, fullLoad) {
				continue
			}
			for _, h := range cfg.Hosts {
				// Allow five standard deviations of the sum over the callers,
				// estimated with the largest rate of a caller.
				if noise := 5 * math.Sqrt(h.Capacity*largest); hosts[h.Name] > h.Capacity+noise {
					t.Fatalf("without %q %s has %f of %f", lost, h.Name, hosts[h.Name], h.Capacity)
				}
			}
		}
	})
}

// drawSystem draws a system whose demand is between 20% and 100% of the capacity
// that remains after the failure of the largest domain.
func drawSystem(t *rapid.T) (cfg Config, blocks []agateinventory.Block, demand float64) {
	cfg = Config{Now: start, Demand: map[string]float64{}}
	capacity, largest := 0.0, 0.0
	var parts []float64
	for r := range rapid.IntRange(1, 4).Draw(t, "regions") {
		region := fmt.Sprint("r", r)
		for d := range rapid.IntRange(2, 3).Draw(t, "domains") {
			sum := 0.0
			for h := range rapid.IntRange(1, 3).Draw(t, "hosts") {
				c := rapid.SampledFrom([]float64{50, 100, 200}).Draw(t, "capacity")
				sum += c
				name := fmt.Sprintf("h%d-%d-%d", r, d, h)
				if rapid.IntRange(0, 5).Draw(t, "drain") == 0 {
					cfg.Drains = append(cfg.Drains, agateinventory.Drain{Kind: agateinventory.DrainHost, Name: name, Share: 0.5})
				}
				cfg.Hosts = append(cfg.Hosts, Host{
					Name: name, Region: region, Domain: fmt.Sprintf("d%d-%d", r, d), Capacity: c, LastContact: start,
				})
			}
			largest = max(largest, sum)
			capacity += sum
		}
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(r), 0, 0}), 16)
		blocks = append(blocks, agateinventory.Block{Prefix: prefix, Region: region})
		parts = append(parts, rapid.Float64Range(0, 1).Draw(t, "part"))
	}
	demand = (capacity - largest) * rapid.Float64Range(0.2, 1).Draw(t, "fullness")
	total := 1e-9
	for _, part := range parts {
		total += part
	}
	for i, part := range parts {
		cfg.Demand[blocks[i].Region] = demand * part / total
	}
	return cfg, blocks, demand
}

// Guards against callers that change their host when another host is removed.
func TestHostRemovalMovesOnlyItsCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, blocks, _ := drawSystem(t)
		cfg.Index = NewIndex(blocks)
		cfg.Demand, cfg.Drains = map[string]float64{}, nil
		removed := rapid.IntRange(0, len(cfg.Hosts)-1).Draw(t, "gone")
		before := NewView(cfg)
		name := cfg.Hosts[removed].Name
		cfg.Hosts = append(cfg.Hosts[:removed:removed], cfg.Hosts[removed+1:]...)
		after := NewView(cfg)
		addr := blocks[0].Prefix.Addr()
		for range 500 {
			addr = addr.Next()
			a, b := Choose(Query{addr}, before), Choose(Query{addr}, after)
			if a.Hosts[0].Name != b.Hosts[0].Name && a.Hosts[0].Name != name {
				t.Fatalf("%v moved from %s to %s when %s left", addr, a.Hosts[0].Name, b.Hosts[0].Name, name)
			}
		}
	})
}
