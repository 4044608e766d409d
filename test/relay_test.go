package test

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"agategate/io/agatedemo"
)

// relay is a TCP proxy between entry hosts and an upstream. It imitates a device
// that loses the state of its connections: they stay open, but no data passes.
type relay struct {
	ln net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	conns  map[*relayedConn]struct{}
}

// relayedConn is a relayed connection. The relay discards its data once
// blackholed is closed.
type relayedConn struct {
	clientSide, upstreamSide net.Conn
	blackholed               chan struct{}
}

func newRelay() (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, conns: make(map[*relayedConn]struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) address() netip.AddrPort { return r.ln.Addr().(*net.TCPAddr).AddrPort() }

func (r *relay) accept() {
	for {
		clientSide, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		target := r.target
		r.mu.Unlock()
		upstreamSide, err := net.Dial("tcp", target.String())
		if err != nil {
			_ = clientSide.Close()
			continue
		}
		c := &relayedConn{clientSide: clientSide, upstreamSide: upstreamSide, blackholed: make(chan struct{})}
		r.mu.Lock()
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		go r.forward(c, clientSide, upstreamSide)
		go r.forward(c, upstreamSide, clientSide)
	}
}

// forward copies data in one direction until the connection ends. It leaves both
// sides of a blackholed connection open.
func (r *relay) forward(c *relayedConn, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.blackholed:
			_, _ = io.Copy(io.Discard, from) // until the sender closes the connection
			return
		default:
		}
		if err != nil {
			r.closeConn(c)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			r.closeConn(c)
			return
		}
	}
}

func (r *relay) closeConn(c *relayedConn) {
	_ = c.clientSide.Close()
	_ = c.upstreamSide.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// blackhole discards all further data of the connections that are open now.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		select {
		case <-c.blackholed:
		default:
			close(c.blackholed)
		}
	}
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.clientSide.Close()
		_ = c.upstreamSide.Close()
	}
}

// startRelayedUpstream starts an upstream that announces the address of a relay.
func (s *system) startRelayedUpstream(cfg agatedemo.UpstreamConfig) error {
	r, err := newRelay()
	if err != nil {
		return err
	}
	s.relays[cfg.ID] = r
	cfg.AnnouncedAddress = r.address()
	u, err := agatedemo.StartUpstream(cfg)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.target = u.Address()
	r.mu.Unlock()
	s.upstreams[cfg.ID] = u
	return nil
}
