package agatecontrol

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
)

// Guards against a group that has lost its majority for good without saying so, and
// against one that claims it while voters are only unreachable.
func TestCountVoters(t *testing.T) {
	addr := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 1) }
	var ms agatequorum.Members
	for id := uint64(1); id <= 5; id++ {
		ms = append(ms, agatequorum.Member{ID: id, Address: addr(byte(id))})
	}
	ms = append(ms, agatequorum.Member{ID: 6, Address: addr(2), Learner: true})
	for _, c := range []struct {
		at       map[byte]uint64 // replica at the last byte of an address
		want     voterCount
		majority bool // lost for good
	}{
		{map[byte]uint64{2: 2, 3: 3, 4: 4, 5: 5}, voterCount{voters: 5, alive: 5}, false},
		{map[byte]uint64{}, voterCount{voters: 5, alive: 1}, false},
		{map[byte]uint64{2: 6, 3: 7, 4: 4}, voterCount{voters: 5, alive: 2, lost: 2}, false},
		{map[byte]uint64{2: 6, 3: 7, 4: 8, 5: 5}, voterCount{voters: 5, alive: 2, lost: 3}, true},
	} {
		got := countVoters(ms, 1, func(a netip.AddrPort) (uint64, bool) {
			id, ok := c.at[a.Addr().As4()[3]]
			return id, ok
		})
		assert.Equal(t, got, c.want)
		assert.Equal(t, got.majorityLost(), c.majority)
	}
}

// Guards against a report at each election, and against one a second.
func TestLeaderlessIsReportedRarely(t *testing.T) {
	var l leaderless
	now := time.Unix(1000, 0)
	reports := 0
	for range 60 {
		report, ended := l.due(now, false)
		assert.Assert(t, !ended)
		if report {
			reports++
		}
		now = now.Add(time.Second)
	}
	assert.Equal(t, reports, 2)
	_, ended := l.due(now, true)
	assert.Assert(t, ended)
	_, ended = l.due(now, true)
	assert.Assert(t, !ended)
	report, _ := l.due(now, false)
	assert.Assert(t, !report)
}
