package agatering_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agatering"
)

// Guards against a full ring that blocks the sender instead of rejecting the
// item.
func TestFullRingRefuses(t *testing.T) {
	r := agatering.New[int](agatering.Config{Capacity: 2})
	assert.Assert(t, r.Offer(1))
	assert.Assert(t, r.Offer(2))
	assert.Assert(t, !r.Offer(3))
	assert.Equal(t, r.Dropped(), uint64(1))
	assert.Equal(t, <-r.Items(), 1)
	assert.Assert(t, r.Offer(4))
	r.Close()
	var got []int
	for n := range r.Items() {
		got = append(got, n)
	}
	assert.DeepEqual(t, got, []int{2, 4})
}
