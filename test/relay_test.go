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
		p := &relayedConn{clientSide: clientSide, upstreamSide: upstreamSide, blackholed: make(chan struct{})}
		r.mu.Lock()
		r.conns[p] = struct{}{}
		r.mu.Unlock()
		go r.forward(p, clientSide, upstreamSide)
		go r.forward(p, upstreamSide, clientSide)
	}
}

// forward copies data in one direction until the connection ends. It leaves both
// sides of a blackholed connection open.
func (r *relay) forward(p *relayedConn, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-p.blackholed:
			_, _ = io.Copy(io.Discard, from) // until the sender closes the connection
			return
		default:
		}
		if err != nil {
			r.closeConn(p)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			r.closeConn(p)
			return
		}
	}
}

func (r *relay) closeConn(p *relayedConn) {
	_ = p.clientSide.Close()
	_ = p.upstreamSide.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}

// blackhole discards all further data of the connections that are open now.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		select {
		case <-p.blackholed:
		default:
			close(p.blackholed)
		}
	}
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		_ = p.clientSide.Close()
		_ = p.upstreamSide.Close()
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
