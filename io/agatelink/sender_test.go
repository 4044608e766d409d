package agatelink

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/io/agatewire"
)

// Guards against messages for a replica that cannot be reached that fill the memory, and
// against a message that never passes because it is large.
func TestSendQueueBytes(t *testing.T) {
	dialer := NewDialer(Config{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errors.New("down") }})
	defer dialer.Close()
	s := NewSender(SenderConfig{Dialer: dialer, QueueBytes: 10_000})
	defer s.Close()
	addr := netip.MustParseAddrPort("127.0.0.1:9")
	queued := 0
	for s.Send(addr, &agatewire.Envelope{Message: make([]byte, 1000)}) {
		queued++
	}
	assert.Equal(t, queued, 10)
	other := netip.MustParseAddrPort("127.0.0.2:9")
	assert.Assert(t, s.Send(other, &agatewire.Envelope{Message: make([]byte, 50_000)}))
	assert.Assert(t, !s.Send(other, &agatewire.Envelope{Message: make([]byte, 1)}))
}
