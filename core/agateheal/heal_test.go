package agateheal_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agateheal"
)

// Guards against a replica that cannot find a leader whose address it does not
// know, and against an endless loop if replicas report each other as leader. The
// repair of a whole group is tested in package agatequorum, which has the
// simulation.
func TestFindLeader(t *testing.T) {
	addr := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	var queried []byte
	leaders := map[byte]byte{1: 2, 2: 1, 3: 5}
	agateheal.FindLeader([]netip.AddrPort{addr(1), addr(2), addr(3), addr(4)}, func(a netip.AddrPort) (netip.AddrPort, bool) {
		n := a.Addr().As4()[3]
		queried = append(queried, n)
		if leader, ok := leaders[n]; ok {
			return addr(leader), false
		}
		return netip.AddrPort{}, n == 5
	})
	assert.DeepEqual(t, queried, []byte{1, 2, 3, 5})
}
