package agatestate_test

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

// ordinalMachine is a state machine whose configuration "ordinals" asks for ordinals.
type ordinalMachine struct {
	t     *testing.T
	m     *agatestate.Machine
	index uint64
	base  uint64
}

func newOrdinalMachine(t *testing.T) *ordinalMachine {
	return &ordinalMachine{t: t, m: agatestate.New(ordinalConfig())}
}

func ordinalConfig() agatestate.Config {
	return agatestate.Config{UsesOrdinals: func(document []byte) bool { return string(document) == "ordinals" }}
}

func (o *ordinalMachine) apply(c agatestate.Command) {
	o.index++
	r, err := agatestate.DecodeResult(o.m.Apply(o.index, agatestate.Encode(c)))
	assert.NilError(o.t, err)
	assert.Equal(o.t, r.Verdict, agatestate.Accepted)
}

func (o *ordinalMachine) configure(document string) {
	o.apply(agatestate.Command{Configure: &agatestate.Configure{ChangeID: fmt.Sprint("c", o.base), Base: o.base, Document: []byte(document)}})
	o.base++
}

// announce announces the n-th state of an upstream.
func (o *ordinalMachine) announce(id, domain string, sequence uint64, draining bool) {
	port := uint16(1)
	for _, b := range []byte(id) {
		port = port*31 + uint16(b)
	}
	o.apply(agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{{
		ID: id, Service: "s", Domain: domain, Slots: 4, StartedAtMs: 1, Sequence: sequence, Draining: draining,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port), Ordinal: 77,
	}}}})
}

func (o *ordinalMachine) leave(id string) {
	o.apply(agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{{ID: id, Gone: true}}}})
}

func (o *ordinalMachine) ordinal(id string) int {
	u, ok := o.m.Upstream(id)
	assert.Assert(o.t, ok)
	return u.Ordinal
}

// Guards against a release in which upstreams do not get the ordinals of those that they
// replace, and against replicas that disagree about them after a snapshot.
func TestOrdinals(t *testing.T) {
	o := newOrdinalMachine(t)
	o.announce("b", "x", 1, false)
	o.announce("a", "x", 1, false)
	o.announce("other", "y", 1, false)
	assert.Equal(t, o.ordinal("a"), 0, "no configuration asks for ordinals, and a command cannot set one")
	o.configure("ordinals")
	assert.DeepEqual(t, []int{o.ordinal("a"), o.ordinal("b"), o.ordinal("other")}, []int{1, 2, 1})

	// New upstreams come one step before those that they replace leave.
	o.announce("c", "x", 1, false)
	assert.Equal(t, o.ordinal("c"), 3)
	o.announce("a", "x", 2, true)
	o.announce("d", "x", 1, false)
	assert.Equal(t, o.ordinal("d"), 1)
	o.leave("a")
	o.leave("b")
	o.announce("e", "x", 1, false)
	assert.Equal(t, o.ordinal("e"), 2)
	// An upstream keeps its ordinal while it announces itself again.
	o.announce("e", "x", 2, false)
	assert.Equal(t, o.ordinal("e"), 2)
	// One that stops draining after its ordinal was taken gets another one.
	o.announce("d", "x", 2, true)
	o.announce("f", "x", 1, false)
	assert.Equal(t, o.ordinal("f"), 1)
	o.announce("d", "x", 3, false)
	assert.Equal(t, o.ordinal("d"), 4)

	snapshot, err := o.m.Snapshot()
	assert.NilError(t, err)
	restored := agatestate.New(ordinalConfig())
	assert.NilError(t, restored.Restore(snapshot))
	other := &ordinalMachine{t: t, m: restored, index: o.index, base: o.base}
	o.announce("g", "x", 1, false)
	other.announce("g", "x", 1, false)
	for _, id := range []string{"c", "d", "e", "f", "g"} {
		assert.Equal(t, other.ordinal(id), o.ordinal(id), id)
	}
	o.configure("none")
	assert.Equal(t, o.ordinal("c"), 0)
}
