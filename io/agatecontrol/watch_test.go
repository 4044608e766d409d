package agatecontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"agategate/io/agatewire"
)

// Guards against entry hosts that only ever watch the seed replicas. Hosts drop the
// lists of a replica that knows no leader yet, so the replica must send the
// lists again once it knows one. Otherwise a replica keeps few watching hosts
// and gives callers only these (docs/incidents/2026-12-04-hunt-7f96-3.md).
func TestListsAreSentWhenSynced(t *testing.T) {
	var l sentLists
	replicas := []string{"127.0.2.1:9000", "127.0.2.2:9000"}
	hosts := []string{"entry-1"}

	early := &agatewire.WatchReply{}
	l.fill(early, replicas, hosts)
	assert.Equal(t, len(early.Replicas)+len(early.Hosts), 0)

	reply := &agatewire.WatchReply{Synced: true}
	l.fill(reply, replicas, hosts)
	assert.DeepEqual(t, reply.Replicas, replicas)
	assert.DeepEqual(t, reply.Hosts, hosts)

	again := &agatewire.WatchReply{Synced: true}
	l.fill(again, replicas, hosts)
	assert.Equal(t, len(again.Replicas)+len(again.Hosts), 0, "unchanged lists cost bytes between regions")

	hosts = append(hosts, "entry-2")
	changed := &agatewire.WatchReply{Synced: true}
	l.fill(changed, replicas, hosts)
	assert.DeepEqual(t, changed.Hosts, hosts)
}
