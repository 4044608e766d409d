package agateroute

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"agategate/core/agateinventory"
)

// benchTable returns a table with n warm upstreams of one service in one region.
func benchTable(n int) (*Table, time.Time) {
	now := time.Unix(1_000_000, 0)
	t := New(Config{Host: "e1", Region: "centro", Hosts: 10})
	counts := Exchange{Host: "e2"}
	for i := range n {
		id := UpstreamID(fmt.Sprintf("u%d", i))
		t.Announce(now, Announcement{
			ID: id, Incarnation: 1, Sequence: warmSequence + 1, Service: "quotes", Region: "centro",
			Address: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 3, MaxConnections: 330,
		})
		t.Start(now, id)
		t.Finish(now, id, Observation{Latency: 20 * time.Millisecond})
		counts.InFlight = append(counts.InFlight, InFlightCount{ID: id, InFlight: i % 3})
	}
	t.Merge(now, counts)
	return t, now
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{36, 360, 2100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, now := benchTable(n)
			r := Request{ID: "0123456789abcdef", Service: "quotes", Class: agateinventory.Read}
			b.ReportAllocs()
			for b.Loop() {
				d := t.Choose(now, r)
				t.Start(now, d.Upstream)
				t.Finish(now, d.Upstream, Observation{Latency: 20 * time.Millisecond})
			}
		})
	}
}

// Guards against allocations in the path of every request.
func TestChooseAllocatesNothing(t *testing.T) {
	table, now := benchTable(36)
	r := Request{ID: "0123456789abcdef", Service: "quotes", Class: agateinventory.Read}
	n := testing.AllocsPerRun(1000, func() {
		d := table.Choose(now, r)
		table.Start(now, d.Upstream)
		table.Finish(now, d.Upstream, Observation{Latency: 20 * time.Millisecond})
	})
	if n != 0 {
		t.Errorf("%v allocations per request", n)
	}
}
