package agatelink

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"agategate/internal/agatebuffer"
)

const (
	// streamBytes is what an open call takes in memory besides its message.
	streamBytes = 8 << 10
	// frameBytes is what a frame takes in memory besides its data. Messages in very small
	// frames take many times their size.
	frameBytes = 64
	// roomTimeout limits how long a connection waits for room in the account before it is
	// closed.
	roomTimeout = 5 * time.Second
	// messagePrefixBytes is the size of the prefix of a message: a flag and the length.
	messagePrefixBytes = 5
)

// meteredCredentials charge an account for what arrives on the connections of a server.
type meteredCredentials struct {
	credentials.TransportCredentials
	account *agatebuffer.Account
}

// ServerHandshake implements credentials.TransportCredentials.
func (m *meteredCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := m.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	return newMeteredConn(conn, m.account), info, nil
}

// Clone implements credentials.TransportCredentials.
func (m *meteredCredentials) Clone() credentials.TransportCredentials {
	return &meteredCredentials{TransportCredentials: m.TransportCredentials.Clone(), account: m.account}
}

// meteredConn is a connection whose calls and messages are charged while they arrive. A
// message stays charged until the next one of its call is complete, or the call ends. If
// there is no room, the connection is not read further; the one that holds most is closed.
type meteredConn struct {
	net.Conn
	charge  *agatebuffer.Charge
	arrival *agatebuffer.Arrival
	ctx     context.Context
	cancel  context.CancelFunc
	in, out frameScanner // each used by one goroutine

	mu      sync.Mutex // guards streams and due
	streams map[uint32]*messageMeter
	due     int64 // bytes to charge, or to release if negative
}

func newMeteredConn(conn net.Conn, account *agatebuffer.Account) *meteredConn {
	c := &meteredConn{Conn: conn, charge: account.Open().Begin(), streams: map[uint32]*messageMeter{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.arrival = c.charge.ReceiveResponse(func() { _ = conn.Close() }) // the reader learns of it
	c.in = frameScanner{skip: len(http2Preface), frame: c.frameIn, data: c.dataIn}
	c.out = frameScanner{frame: c.frameOut, data: func(uint32, []byte) {}}
	return c
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.scan(b[:n])
	c.release()
	if grown := c.takeDue(); grown > 0 {
		if err := c.arrival.GrowResponse(c.ctx, time.Now().Add(roomTimeout), grown); err != nil {
			_ = c.Close() // the error that matters is that of the account
			return 0, err
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.scan(b[:n])
	c.release()
	return n, err
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.cancel()
	c.arrival.Drop()
	return c.Conn.Close()
}

// release releases what is not held any more.
func (c *meteredConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.due < 0 {
		c.arrival.Shrink(-c.due)
		c.due = 0
	}
}

// takeDue returns the number of bytes that have to be charged.
func (c *meteredConn) takeDue() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := c.due
	c.due = 0
	return due
}

// messageMeter follows the messages of one call.
type messageMeter struct {
	prefix   [messagePrefixBytes]byte
	prefixed int   // bytes of the prefix that have arrived
	left     int64 // bytes of the message that have not
	charged  int64 // for the message that arrives
	last     int64 // for the complete message before it
}

// Types and flags of HTTP/2 frames.
const (
	frameData     = 0
	frameHeaders  = 1
	frameReset    = 3
	flagEndStream = 1

	frameHeaderBytes = 9
	http2Preface     = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// frameIn is called for each frame that arrives.
func (c *meteredConn) frameIn(kind, _ byte, stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.streams[stream]
	switch {
	case kind == frameHeaders && m == nil:
		c.streams[stream] = &messageMeter{}
		c.due += streamBytes
	case kind == frameData && m != nil:
		m.charged += frameBytes
		c.due += frameBytes
	case kind == frameReset:
		c.endStream(stream)
	}
}

// frameOut is called for each frame that is sent.
func (c *meteredConn) frameOut(kind, flags byte, stream uint32) {
	if kind != frameReset && (kind != frameHeaders || flags&flagEndStream == 0) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endStream(stream)
}

// endStream releases what an ended call is charged for. c.mu must be held.
func (c *meteredConn) endStream(stream uint32) {
	if m := c.streams[stream]; m != nil {
		delete(c.streams, stream)
		c.due -= streamBytes + m.charged + m.last
	}
}

// dataIn is called for the data of each frame that arrives.
func (c *meteredConn) dataIn(stream uint32, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.streams[stream]
	if m == nil {
		return // the call has ended, and its data are dropped
	}
	m.charged += int64(len(b))
	c.due += int64(len(b))
	for len(b) > 0 {
		if m.prefixed < messagePrefixBytes {
			n := copy(m.prefix[m.prefixed:], b)
			m.prefixed += n
			b = b[n:]
			if m.prefixed < messagePrefixBytes {
				return
			}
			m.left = int64(binary.BigEndian.Uint32(m.prefix[1:]))
		}
		n := min(m.left, int64(len(b)))
		m.left -= n
		b = b[n:]
		if m.left == 0 {
			c.due -= m.last
			m.last, m.charged, m.prefixed = m.charged, 0, 0
		}
	}
}

// frameScanner finds the frames in one direction of an HTTP/2 connection.
type frameScanner struct {
	// frame is called for the header of each frame, and data for the parts of the payload
	// of data frames.
	frame func(kind, flags byte, stream uint32)
	data  func(stream uint32, b []byte)

	skip   int // bytes before the next header that belong to no data frame
	header [frameHeaderBytes]byte
	have   int // bytes of the header
	left   int // bytes of the payload of a data frame
	stream uint32
}

func (s *frameScanner) scan(b []byte) {
	for len(b) > 0 {
		switch {
		case s.skip > 0:
			n := min(s.skip, len(b))
			s.skip -= n
			b = b[n:]
		case s.left > 0:
			n := min(s.left, len(b))
			s.data(s.stream, b[:n])
			s.left -= n
			b = b[n:]
		default:
			n := copy(s.header[s.have:], b)
			s.have += n
			b = b[n:]
			if s.have == frameHeaderBytes {
				s.have = 0
				s.beginFrame()
			}
		}
	}
}

func (s *frameScanner) beginFrame() {
	h := s.header[:]
	size := int(h[0])<<16 | int(h[1])<<8 | int(h[2])
	kind, flags := h[3], h[4]
	s.stream = binary.BigEndian.Uint32(h[5:]) &^ (1 << 31)
	if kind == frameData {
		s.left = size
	} else {
		s.skip = size
	}
	s.frame(kind, flags, s.stream)
}
