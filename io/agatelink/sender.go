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
	// sendQueueSize limits the quorum messages queued for one replica. The
	// consensus protocol resends lost messages.
	sendQueueSize = 4096
	// streamRetryDelay is the delay before a failed stream is reopened.
	streamRetryDelay = 50 * time.Millisecond
)

// Sender delivers quorum messages to other control replicas. Each replica has
// its own queue and stream, so that a slow replica does not delay the others.
// Messages to a full queue are dropped. It is safe for concurrent use.
type Sender struct {
	dialer *Dialer
	cancel context.CancelFunc
	ctx    context.Context

	mu     sync.Mutex
	queues map[netip.AddrPort]*agatering.Queue[*agatewire.Envelope]
	wg     sync.WaitGroup
}

// NewSender returns a Sender that uses the connections of d.
func NewSender(d *Dialer) *Sender {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		dialer: d,
		ctx:    ctx,
		cancel: cancel,
		queues: make(map[netip.AddrPort]*agatering.Queue[*agatewire.Envelope]),
	}
}

// Send queues a message without blocking and reports whether the queue had
// room.
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
	q = agatering.New[*agatewire.Envelope](agatering.Config{Capacity: sendQueueSize})
	s.queues[addr] = q
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.run(addr, q)
	}()
	return q
}

func (s *Sender) run(addr netip.AddrPort, q *agatering.Queue[*agatewire.Envelope]) {
	for s.ctx.Err() == nil {
		s.sendQueued(addr, q)
		select {
		case <-s.ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

// sendQueued opens a stream and sends queued messages until the stream fails.
func (s *Sender) sendQueued(addr netip.AddrPort, q *agatering.Queue[*agatewire.Envelope]) {
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

// Close ends all streams and waits for their goroutines.
func (s *Sender) Close() {
	s.cancel()
	s.wg.Wait()
}
