package agateclient

import (
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
	"agategate/core/agatesuspect"
)

// group is the replicated state and what an entry host has received of it.
type group struct {
	machine *agatestate.Machine
	index   uint64
	host    *agatesuspect.Tracker
}

func (g *group) apply(c agatestate.Command) {
	g.index++
	g.machine.Apply(g.index, agatestate.Encode(c))
}

// update sends the host what has changed since the last update.
func (g *group) update() {
	delta := g.machine.SuspectsSince(g.host.Index())
	g.host.Merge(FromWireSuspects(ToWireSuspects(delta.Suspects)), delta.Index)
}

// Guards against a host that goes on refusing a harmless request: it was cut off from the
// control group while the request was cleared, and another upstream died before it was
// back, so that the newest record it receives has a death (seed 5121 of TestSoak).
func TestMissedClearing(t *testing.T) {
	f := agatesuspect.NewFingerprint("labels", "POST", "/labels", "", nil)
	prints := []agatestate.Fingerprint{ToStateFingerprint(f)}
	for _, restart := range []bool{false, true} {
		g := &group{machine: agatestate.New(agatestate.Config{}), host: agatesuspect.New(agatesuspect.Config{})}
		death := func(upstream string) {
			g.apply(agatestate.Command{Death: &agatestate.Death{Host: "entry-2", Upstream: upstream, Fingerprints: prints}})
		}
		death("u1")
		death("u2")
		g.update()
		assert.Equal(t, g.host.Check(f), agatesuspect.Refused)

		g.apply(agatestate.Command{ClearSuspects: &agatestate.ClearSuspects{Fingerprints: prints}})
		death("u3")
		if restart { // the control replica restarts with a snapshot
			b, err := g.machine.Snapshot()
			assert.NilError(t, err)
			m := agatestate.New(agatestate.Config{})
			assert.NilError(t, m.Restore(b))
			g.machine = m
		}
		g.update()
		assert.Equal(t, g.host.Check(f), agatesuspect.Suspect)
	}
}
