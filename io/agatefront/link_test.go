package agatefront

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/io/agateupstream"
	"agategate/io/agatewire"
)

// testLink returns the control link of a host without running goroutines, with
// watches of n replicas.
func testLink(t *testing.T, n int, log hclog.Logger) (*controlLink, []*watch) {
	t.Helper()
	f := &Front{log: log, table: agatebalance.New(agatebalance.Config{}), suspects: newSuspects()}
	f.pool = agateupstream.New(agateupstream.Config{})
	t.Cleanup(f.pool.Close)
	var watches []*watch
	for range n {
		watches = append(watches, &watch{heartbeatDue: make(chan struct{}, 1)})
	}
	return &controlLink{f: f}, watches
}

func countFollowed(watches []*watch) int {
	n := 0
	for _, w := range watches {
		if w.follow {
			n++
		}
	}
	return n
}

// Guards against a slow start because all replicas send the whole fleet at once
// on a slow link, and against a host that waits for one replica for ever.
func TestFirstFleetComesFromOneReplica(t *testing.T) {
	l, watches := testLink(t, 5, hclog.NewNullLogger())
	now := time.Unix(1000, 0)
	heartbeat := &agatewire.WatchReply{Synced: true}
	for _, w := range watches {
		assert.Assert(t, !l.newHeartbeat(w).Follow, "a host must not request the fleet before a replica has replied")
		l.handleReply(now, w, heartbeat, true, now)
	}
	assert.Equal(t, countFollowed(watches), 1)
	assert.Assert(t, l.newHeartbeat(watches[0]).Follow)

	// The first replica does not reply.
	now = now.Add(fleetTimeout + time.Millisecond)
	for _, w := range watches[1:] {
		l.handleReply(now, w, heartbeat, false, now)
	}
	assert.Equal(t, countFollowed(watches), 2)

	whole := &agatewire.WatchReply{Synced: true, Delta: true, Whole: true, Fleet: 7}
	l.handleReply(now, watches[1], whole, false, now)
	assert.Assert(t, l.hasFleet)
	assert.Equal(t, l.newHeartbeat(watches[1]).Fleet, uint64(7))
}

// Guards against a log line for each of thousands of upstreams at the start, and
// against a later change without a log line.
func TestFirstFleetIsOneLine(t *testing.T) {
	var out bytes.Buffer
	l, watches := testLink(t, 1, hclog.New(&hclog.LoggerOptions{Output: &out}))
	now := time.Unix(1000, 0)
	whole := &agatewire.WatchReply{Synced: true, Delta: true, Whole: true, Fleet: 7}
	for _, id := range []string{"u1", "u2", "u3"} {
		whole.Upstreams = append(whole.Upstreams, &agatewire.UpstreamRow{Id: id, Service: "stock", Address: "127.0.0.1:80", Slots: 1})
	}
	l.handleReply(now, watches[0], whole, true, now)
	assert.Equal(t, strings.Count(out.String(), "\n"), 1, out.String())
	assert.Assert(t, strings.Contains(out.String(), "fleet received"))
	assert.Assert(t, strings.Contains(out.String(), "upstreams=3"))

	out.Reset()
	change := &agatewire.WatchReply{Synced: true, Delta: true, Fleet: 8}
	change.Upstreams = []*agatewire.UpstreamRow{{Id: "u2", Service: "stock", Address: "127.0.0.1:80", Slots: 1, Draining: true}}
	l.handleReply(now, watches[0], change, false, now)
	assert.Assert(t, strings.Contains(out.String(), "choice=u2"))
}
