package agatecontrol

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agateboard"
	"agategate/io/agateclient"
)

// Guards against load messages that grow with the number of hosts that see the same
// upstream, or with the number of upstreams of an overloaded service, and against values
// that the wire changes.
func TestUpstreamLoads(t *testing.T) {
	var l upstreamLoads
	now := time.Unix(1000, 0)
	for host := range 95 {
		report := agateboard.Report[int]{Upstream: "u1", Value: 10 + host, Age: 20 * time.Millisecond}
		l.merge(now.Add(time.Duration(host)*time.Millisecond), agateclient.FromWireLoads(agateclient.ToWireLoads([]agateboard.Report[int]{report})))
	}
	reports, cursor := l.since(now.Add(100*time.Millisecond), 0)
	assert.DeepEqual(t, reports, []agateboard.Report[int]{{Upstream: "u1", Value: 10, Age: 120 * time.Millisecond}})
	now = now.Add(2 * loadInterval)
	l.merge(now, []agateboard.Report[int]{{Upstream: "u1", Value: 3}})
	reports, cursor = l.since(now, cursor)
	assert.DeepEqual(t, reports, []agateboard.Report[int]{{Upstream: "u1", Value: 3}})
	for i := range 500 {
		l.merge(now, []agateboard.Report[int]{{Upstream: fmt.Sprint("v", i), Value: 9}})
	}
	reports, cursor = l.since(now, cursor)
	assert.Equal(t, len(reports), maxLoadRows)
	reports, _ = l.since(now, cursor)
	assert.Equal(t, len(reports), 0)
}
