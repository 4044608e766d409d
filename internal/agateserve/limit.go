package agateserve

import (
	"net"
	"sync"
)

// limitListener limits the number of open connections and closes excess ones
// immediately. If they stayed in the accept queue of the kernel, their clients
// would wait without a response instead of trying another host.
type limitListener struct {
	net.Listener
	conns chan struct{} // semaphore, one element per open connection
}

func newLimitListener(ln net.Listener, maxConns int) *limitListener {
	return &limitListener{Listener: ln, conns: make(chan struct{}, maxConns)}
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.conns <- struct{}{}:
			return &limitConn{Conn: conn, release: sync.OnceFunc(func() { <-l.conns })}, nil
		default:
			_ = conn.Close() // an error cannot be reported to the peer
		}
	}
}

type limitConn struct {
	net.Conn
	release func()
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
