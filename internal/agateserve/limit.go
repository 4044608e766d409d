package agateserve

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"sync"

	"agategate/internal/agatebuffer"
)

// limitListener limits the number of open connections. If there are too many, the one
// that has had no whole request for the longest time is closed: a crowd of idle or slow clients
// must not keep others out. Without such a one the new connection is closed. If it stayed
// in the accept queue of the kernel, its client would wait without a response instead of
// trying another host.
type limitListener struct {
	net.Listener
	maxConns int
	account  *agatebuffer.Account

	mu    sync.Mutex
	open  int
	quiet *list.List // of *limitConn without a request in its handler, oldest first
}

func newLimitListener(ln net.Listener, maxConns int, account *agatebuffer.Account) *limitListener {
	return &limitListener{Listener: ln, maxConns: maxConns, account: account, quiet: list.New()}
}

// numOpen returns the number of open connections.
func (l *limitListener) numOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, displaced := l.add(conn)
		if displaced != nil {
			_ = displaced.Close() // an error cannot be reported to the peer
		}
		if c != nil {
			return c, nil
		}
		_ = conn.Close() // an error cannot be reported to the peer
	}
}

// add adds a connection, or returns nil if there are too many. displaced is the one that
// has to be closed to make room for it, or nil.
func (l *limitListener) add(conn net.Conn) (c, displaced *limitConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxConns {
		oldest := l.quiet.Front()
		if oldest == nil {
			return nil, nil
		}
		displaced = oldest.Value.(*limitConn)
		l.remove(displaced)
	}
	c = &limitConn{Conn: conn, listener: l, holder: l.account.Open()}
	l.open++
	c.quiet = l.quiet.PushBack(c)
	return c, displaced
}

// remove stops counting a connection. l.mu must be held.
func (l *limitListener) remove(c *limitConn) {
	if c.removed {
		return
	}
	c.removed = true
	l.open--
	if c.quiet != nil {
		l.quiet.Remove(c.quiet)
		c.quiet = nil
	}
}

// limitConn is one open connection.
type limitConn struct {
	net.Conn
	listener *limitListener
	holder   *agatebuffer.Holder
	// charge is that of the request in the handler. HTTP/1.1 has one at a time.
	charge *agatebuffer.Charge
	// Both are guarded by listener.mu.
	removed bool
	quiet   *list.Element // in listener.quiet; nil while a request is in the handler
}

// connKey is the key of the *limitConn in the context of a connection.
type connKey struct{}

// connContext adds the connection to the context of its requests.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// beginRequest states that a request of the connection is in the handler.
func (c *limitConn) beginRequest() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.quiet != nil {
		l.quiet.Remove(c.quiet)
		c.quiet = nil
	}
}

// endRequest states that the request of beginRequest has been answered.
func (c *limitConn) endRequest() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.removed {
		c.quiet = l.quiet.PushBack(c)
	}
}

// CloseWrite lets net/http send a final response, such as 431, before it closes
// a connection with unread input; closing it directly would discard the
// response.
func (c *limitConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

func (c *limitConn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
