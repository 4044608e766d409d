package agatelink

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"agategate/core/agatering"
	"agategate/io/agatewire"
)

const (
	// sendQueueSize limits the quorum messages queued for one replica. The
	// consensus protocol resends lost messages.
	sendQueueSize = 4096
	// defaultQueueBytes is the default of SenderConfig.QueueBytes, in bytes.
	defaultQueueBytes = 16 << 20
	// streamRetryDelay is the delay before a failed stream is reopened.
	streamRetryDelay = 50 * time.Millisecond
)

// SenderConfig configures a Sender.
type SenderConfig struct {
	// Dialer provides the connections. Required.
	Dialer *Dialer
	// QueueBytes limits the size of the messages queued for one replica. A message of
	// any size is queued if no other one is. The default is 16 MiB.
	QueueBytes int
}

// Sender delivers quorum messages to other control replicas. Each replica has
// its own queue and stream, so that a slow replica does not delay the others.
// Messages to a full queue are dropped. It is safe for concurrent use.
type Sender struct {
	cfg    SenderConfig
	cancel context.CancelFunc
	ctx    context.Context

	mu     sync.Mutex
	queues map[netip.AddrPort]*sendQueue
	wg     sync.WaitGroup
}

// sendQueue holds the messages for one replica.
type sendQueue struct {
	messages *agatering.Queue[*agatewire.Envelope]
	bytes    atomic.Int64
	limit    int64
}

func (q *sendQueue) offer(e *agatewire.Envelope) bool {
	size := int64(len(e.Message))
	if held := q.bytes.Load(); held > 0 && held+size > q.limit {
		return false
	}
	q.bytes.Add(size)
	if !q.messages.Offer(e) {
		q.bytes.Add(-size)
		return false
	}
	return true
}

// NewSender returns a Sender without queued messages.
func NewSender(cfg SenderConfig) *Sender {
	if cfg.QueueBytes <= 0 {
		cfg.QueueBytes = defaultQueueBytes
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Sender{
		cfg:    cfg,
		ctx:    ctx,
		cancel: cancel,
		queues: make(map[netip.AddrPort]*sendQueue),
	}
}

// Send queues a message without blocking and reports whether the queue had
// room.
func (s *Sender) Send(addr netip.AddrPort, e *agatewire.Envelope) bool {
	return s.queue(addr).offer(e)
}

func (s *Sender) queue(addr netip.AddrPort) *sendQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[addr]
	if ok {
		return q
	}
	q = &sendQueue{
		messages: agatering.New[*agatewire.Envelope](agatering.Config{Capacity: sendQueueSize}),
		limit:    int64(s.cfg.QueueBytes),
	}
	s.queues[addr] = q
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.run(addr, q)
	}()
	return q
}

func (s *Sender) run(addr netip.AddrPort, q *sendQueue) {
	for s.ctx.Err() == nil {
		s.sendQueued(addr, q)
		select {
		case <-s.ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

// sendQueued opens a stream and sends queued messages until the stream fails.
func (s *Sender) sendQueued(addr netip.AddrPort, q *sendQueue) {
	conn, err := s.cfg.Dialer.Conn(addr)
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
		case e := <-q.messages.Items():
			q.bytes.Add(-int64(len(e.Message)))
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
