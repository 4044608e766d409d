package test

import (
	"io"
	"net"
	"net/netip"
	"sync"

	"agategate/io/agatedemo"
)

// relay is a device between entry hosts and an upstream that can lose track
// of its open connections: they stay open and carry nothing any more.
type relay struct {
	ln net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	pairs  map[*pair]struct{}
}

// pair is one connection with its two ends.
type pair struct {
	near, far net.Conn
	muted     chan struct{}
}

func newRelay() (*relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, pairs: make(map[*pair]struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) address() netip.AddrPort { return r.ln.Addr().(*net.TCPAddr).AddrPort() }

func (r *relay) accept() {
	for {
		near, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		target := r.target
		r.mu.Unlock()
		far, err := net.Dial("tcp", target.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &pair{near: near, far: far, muted: make(chan struct{})}
		r.mu.Lock()
		r.pairs[p] = struct{}{}
		r.mu.Unlock()
		go r.forward(p, near, far)
		go r.forward(p, far, near)
	}
}

// forward copies in one direction until the connection ends or is muted. The
// ends of a muted one stay open.
func (r *relay) forward(p *pair, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-p.muted:
			_, _ = io.Copy(io.Discard, from) // until the other end gives up
			return
		default:
		}
		if err != nil {
			r.end(p)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			r.end(p)
			return
		}
	}
}

func (r *relay) end(p *pair) {
	_ = p.near.Close()
	_ = p.far.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// mute makes the connections that are open now silent for good.
func (r *relay) mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		select {
		case <-p.muted:
		default:
			close(p.muted)
		}
	}
}

func (r *relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		_ = p.near.Close()
		_ = p.far.Close()
	}
}

// startBehindRelay starts an upstream that entry hosts reach through a relay.
func (s *system) startBehindRelay(cfg agatedemo.UpstreamConfig) error {
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
