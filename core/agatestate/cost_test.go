package agatestate_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

// Guards against announcements that look at every upstream that is kept, so that many
// of another writer slow the rest. The best of several rounds is compared, because the
// machine may be busy. Looking at all of them took 400 times as long.
func TestAnnouncementsBesideManyUpstreams(t *testing.T) {
	const rounds, changes, maxFactor = 10, 20, 50
	index := uint64(0)
	announce := func(m *agatestate.Machine, ups ...agatestate.Upstream) {
		index++
		m.Apply(index, agatestate.Encode(agatestate.Command{Now: startMs, Announce: &agatestate.Announce{Upstreams: ups}}))
	}
	upstream := func(i int, service string) agatestate.Upstream {
		return agatestate.Upstream{
			ID: fmt.Sprint(service, i), Service: service, StartedAtMs: 1, Sequence: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80),
		}
	}
	best := func(others int) time.Duration {
		m := agatestate.New(agatestate.Config{Services: func([]byte) func(string) bool {
			return func(s string) bool { return s == "named" }
		}})
		for i := 0; i < others; {
			var ups []agatestate.Upstream
			for ; i < others && len(ups) < agatestate.MaxUpstreams; i++ {
				ups = append(ups, upstream(i, "unnamed"))
			}
			announce(m, ups...)
		}
		up, least := upstream(0, "named"), time.Duration(1<<62)
		up.Address = netip.MustParseAddrPort("10.0.0.1:80")
		for range rounds {
			begin := time.Now()
			for range changes {
				up.Sequence++
				up.Draining = !up.Draining
				announce(m, up)
			}
			least = min(least, time.Since(begin))
		}
		assert.Equal(t, len(m.Members()), others+1)
		return least
	}
	alone, beside := best(0), best(agatestate.MaxMembers-1)
	assert.Check(t, beside <= maxFactor*alone, "%d changes took %v beside %d upstreams, and %v alone", changes, beside, agatestate.MaxMembers-1, alone)
	t.Logf("%v, %v alone", beside, alone)
}
