package agateentry

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agatepeer"
	"agategate/io/agatewire"
)

// Guards against a reply of another entry host without a status that can be sent, such as
// 0, that is passed on to the caller: net/http panics on it, and others may take it for an
// answer.
func TestPeerOutcome(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		ctx   context.Context
		reply *agatewire.ForwardReply
		err   error
		want  agatepeer.Outcome
	}{
		{reply: &agatewire.ForwardReply{Status: 200}, want: agatepeer.Replied},
		{reply: &agatewire.ForwardReply{Status: 503}, want: agatepeer.Replied},
		{reply: &agatewire.ForwardReply{Declined: "busy"}, want: agatepeer.Declined},
		{reply: &agatewire.ForwardReply{}, want: agatepeer.Unreachable},
		{reply: &agatewire.ForwardReply{Status: 103}, want: agatepeer.Unreachable},
		{reply: &agatewire.ForwardReply{Status: 600}, want: agatepeer.Unreachable},
		{err: errors.New("cut"), want: agatepeer.Unreachable},
		{ctx: ended, err: errors.New("cut"), want: agatepeer.Canceled},
	} {
		if c.ctx == nil {
			c.ctx = context.Background()
		}
		assert.Equal(t, peerOutcome(c.ctx, c.reply, c.err), c.want, "reply %v", c.reply)
	}
}
