package agatestate_test

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

// Guards against a snapshot of a build from before claims that is not read, or that is
// written in another way while there are no claims, so that such a build cannot read it
// after a rollback. The file has four upstreams, of which one lost its address to a fifth,
// one expired and one deregistered, and an evacuated failure domain.
func TestSnapshotFromBeforeClaims(t *testing.T) {
	old, err := os.ReadFile("testdata/snapshots/fleet-without-claims.bin")
	assert.NilError(t, err)
	m := agatestate.New(agatestate.Config{})
	assert.NilError(t, m.Restore(old))
	assert.Equal(t, fleet(m, args{}), "full a b:gone c:timed-out d:gone x evacuated:centro-2")
	again, err := m.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(old, again))
}
