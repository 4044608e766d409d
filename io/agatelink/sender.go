package agatelink

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"agategate/core/agatering"
	"agategate/io/agatewire"
)

const (
	// sendQueue bounds the quorum messages that wait for one replica. The
	// protocol resends what is lost.
	sendQueue = 4096
	// sendPause is the pause after a stream failed.
	sendPause = 50 * time.Millisecond
)

// Sender delivers quorum messages to other control replicas, each on a stream
// of its own so that a slow replica delays no other one. Messages that find a
// full queue are dropped. It is safe for concurrent use.
type Sender struct {
	dialer *Dialer
	cancel context.CancelFunc
	ctx    context.Context

	mu     sync.Mutex
	queues map[netip.AddrPort]*agatering.Queue[*agatewire.Envelope]
	done   sync.WaitGroup
}

// NewSender returns a Sender that uses d's connections.
func NewSender(d *Dialer) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		dialer: d,
		ctx:    ctx,
		cancel: cancel,
		queues: make(map[netip.AddrPort]*agatering.Queue[*agatewire.Envelope]),
	}
}

// Send queues a message and reports whether there was room.
func (s *Sender) Send(addr netip.AddrPort, e *agatewire.Envelope) bool {
	return s.queue(addr).Offer(e)
}

func (s *Sender) queue(addr netip.AddrPort) *agatering.Queue[*agatewire.Envelope] {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[addr]
	if ok {
		return q
	}
	q = agatering.New[*agatewire.Envelope](agatering.Config{Capacity: sendQueue})
	s.queues[addr] = q
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.serve(addr, q)
	}()
	return q
}

func (s *Sender) serve(addr netip.AddrPort, q *agatering.Queue[*agatewire.Envelope]) {
	for s.ctx.Err() == nil {
		s.stream(addr, q)
		select {
		case <-s.ctx.Done():
		case <-time.After(sendPause):
		}
	}
}

// stream sends queued messages until the stream fails.
func (s *Sender) stream(addr netip.AddrPort, q *agatering.Queue[*agatewire.Envelope]) {
	conn, err := s.dialer.Conn(addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stream, err := agatewire.NewQuorumClient(conn).Deliver(ctx)
	if err != nil {
		return
	}
	for {
		select {
		case <-stream.Context().Done():
			return
		case e := <-q.Items():
			if stream.Send(e) != nil {
				return
			}
		}
	}
}

// Close ends all streams.
func (s *Sender) Close() {
	s.cancel()
	s.done.Wait()
}
