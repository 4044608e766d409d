package agatering_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agatering"
)

// Guards against a full queue that blocks the sender instead of rejecting the
// item.
func TestFullQueueRejects(t *testing.T) {
	q := agatering.New[int](agatering.Config{Capacity: 2})
	assert.Assert(t, q.Offer(1))
	assert.Assert(t, q.Offer(2))
	assert.Assert(t, !q.Offer(3))
	assert.Equal(t, q.Rejected(), uint64(1))
	assert.Equal(t, <-q.Items(), 1)
	assert.Assert(t, q.Offer(4))
	q.Close()
	var got []int
	for n := range q.Items() {
		got = append(got, n)
	}
	assert.DeepEqual(t, got, []int{2, 4})
}
