package agatecontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatequorum"
	"agategate/io/agatereplica"
)

// Guards against two granters in one term, each of which grants the whole cap: that of the
// new leader, and that of a replica which lost the leadership while it answered a host.
func TestGrantsOnlyInOwnTerm(t *testing.T) {
	c := startReplica(t)
	c.grantState.mu.Lock()
	defer c.grantState.mu.Unlock()
	now := time.Now()
	assert.Assert(t, c.prepareGranter(now, agatereplica.Status{Role: agatequorum.Leader, Term: 5}))
	assert.Assert(t, !c.prepareGranter(now, agatereplica.Status{Role: agatequorum.Follower, Term: 6}))
	assert.Equal(t, c.grantState.term, uint64(5))
}
