package agatecontrol

import (
	"testing"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

// Guards against changes of upstreams whose service no plan names that fill the log, and
// against the bound on them that also refuses those that a plan names, or the start of a
// system that has no plan yet.
func TestUnnamedChangesAreBounded(t *testing.T) {
	c := &Control{
		machine: agatestate.New(agatestate.Config{Services: func(doc []byte) func(string) bool {
			return func(service string) bool { return service == string(doc) }
		}}),
		unnamed: rate.NewLimiter(unnamedRate, unnamedBurst),
	}
	admitted := func(service string, n int) (out int) {
		for range n {
			if c.mayPropose(service) {
				out++
			}
		}
		return out
	}
	assert.Equal(t, admitted("later", 10_000), 10_000, "there is no plan yet")
	c.machine.Apply(1, agatestate.Encode(agatestate.Command{Now: 1, Configure: &agatestate.Configure{ChangeID: "1", Document: []byte("labels")}}))
	got := admitted("unnamed", 10_000)
	assert.Assert(t, got >= unnamedBurst && got <= unnamedBurst+unnamedRate, "%d of 10,000 in less than a second", got)
	assert.Equal(t, admitted("labels", 10_000), 10_000)
}
