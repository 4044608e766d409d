package agateheal_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agateheal"
)

// Guards against a replica that never finds a leader whose address it does not
// know, and against replicas that name each other for ever. The group's healing
// as a whole is tested with package agatequorum, whose simulation it needs.
func TestAskFollowsTheLeader(t *testing.T) {
	addr := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	var asked []byte
	names := map[byte]byte{1: 2, 2: 1, 3: 5}
	agateheal.Ask([]netip.AddrPort{addr(1), addr(2), addr(3), addr(4)}, func(a netip.AddrPort) (netip.AddrPort, bool) {
		n := a.Addr().As4()[3]
		asked = append(asked, n)
		if leader, ok := names[n]; ok {
			return addr(leader), false
		}
		return netip.AddrPort{}, n == 5
	})
	assert.DeepEqual(t, asked, []byte{1, 2, 3, 5})
}
