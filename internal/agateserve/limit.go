package agateserve

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"agategate/internal/agatebuffer"
)

// limitListener limits the number of open connections and closes excess ones
// immediately. If they stayed in the accept queue of the kernel, their clients
// would wait without a response instead of trying another host.
type limitListener struct {
	net.Listener
	account *agatebuffer.Account
	conns   chan struct{} // semaphore, one element per open connection
}

func newLimitListener(ln net.Listener, maxConns int, account *agatebuffer.Account) *limitListener {
	return &limitListener{Listener: ln, account: account, conns: make(chan struct{}, maxConns)}
}

// numOpen returns the number of open connections.
func (l *limitListener) numOpen() int { return len(l.conns) }

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.conns <- struct{}{}:
			return &limitConn{Conn: conn, holder: l.account.Open(), release: sync.OnceFunc(func() { <-l.conns })}, nil
		default:
			_ = conn.Close() // an error cannot be reported to the peer
		}
	}
}

// limitConn is one open connection.
type limitConn struct {
	net.Conn
	holder *agatebuffer.Holder
	// charge is that of the request in the handler. HTTP/1.1 has one at a time.
	charge  *agatebuffer.Charge
	release func()
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
	c.release()
	return c.Conn.Close()
}
