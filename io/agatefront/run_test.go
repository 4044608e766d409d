package agatefront

import (
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agatebalance"
	"agategate/io/agateupstream"
)

// Guards against an upstream that is ejected, or links that are checked, because a
// caller left before its request was written.
func TestCallerThatLeftIsNoFailure(t *testing.T) {
	f := &Front{headers: Headers{}.withDefaults()}
	left := &agateupstream.Result{Kind: agateupstream.NotWritten, Err: agateupstream.ErrWriteRejected}
	assert.Equal(t, f.observation(left).Outcome, agatebalance.Canceled)
	unreachable := &agateupstream.Result{Kind: agateupstream.NotWritten}
	assert.Equal(t, f.observation(unreachable).Outcome, agatebalance.NotSent)
}
