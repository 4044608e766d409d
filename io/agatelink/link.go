// Package agatelink opens and serves the gRPC connections between agategate's
// own processes.
//
// A Dialer keeps one connection for each address and replaces it when calls
// on it run out of time, because a connection can go silent while new ones
// work. gRPC's own balancers, retries and service configuration are off.
//
// # Usage
//
//	d := agatelink.NewDialer(agatelink.Config{TLS: tlsConfig})
//	defer d.Close()
//	conn, err := d.Conn(addr)
//	if err != nil {
//		return err
//	}
//	reply, err := agatewire.NewControlClient(conn).Beat(ctx, ask)
//	d.Report(addr, err)
package agatelink

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"agategate/internal/agatesocket"
)

const (
	// maxMessage bounds one message in bytes. A configuration document has at
	// most 4 MiB; quorum snapshots travel in chunks.
	maxMessage = 16 << 20
	// reconnectDelay bounds the pause between two attempts to connect.
	reconnectDelay = 500 * time.Millisecond
	// silentCalls is the number of calls in a row that run out of time before
	// the connection is replaced.
	silentCalls = 2
	// maxStreams bounds the calls that one connection may have open.
	maxStreams = 1024
	// idleLimit closes a server's connection on which no call was open.
	idleLimit = 10 * time.Minute
	handshake = 2 * time.Second
	// connectTime bounds one attempt to connect. It is shorter than the second
	// after which the kernel sends a lost first packet again, and than the wait
	// for a host that is just coming up.
	connectTime = 400 * time.Millisecond
)

// Config sets up a Dialer.
type Config struct {
	// TLS holds the client's certificate and the trusted authorities. Nil
	// means plain text.
	TLS *tls.Config
	// Dial opens a connection. The default sets socket options that find
	// silent connections early; tests add delays and cuts here.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Dialer keeps one connection for each address. It is safe for concurrent use.
type Dialer struct {
	cfg Config

	mu    sync.Mutex
	conns map[netip.AddrPort]*peerConn
}

type peerConn struct {
	conn   *grpc.ClientConn
	silent int
}

// NewDialer returns a Dialer without connections.
func NewDialer(cfg Config) *Dialer {
	if cfg.Dial == nil {
		nd := agatesocket.Dialer(agatesocket.Config{Connect: connectTime})
		cfg.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return nd.DialContext(ctx, "tcp", addr.String())
		}
	}
	return &Dialer{cfg: cfg, conns: make(map[netip.AddrPort]*peerConn)}
}

// Conn returns the connection to an address and creates it on first use. It
// does not wait until the connection is up.
func (d *Dialer) Conn(addr netip.AddrPort) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.conns[addr]; ok {
		return p.conn, nil
	}
	conn, err := d.open(addr)
	if err != nil {
		return nil, fmt.Errorf("agatelink: connection to %s: %w", addr, err)
	}
	d.conns[addr] = &peerConn{conn: conn}
	return conn, nil
}

func (d *Dialer) open(addr netip.AddrPort) (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if d.cfg.TLS != nil {
		creds = credentials.NewTLS(d.cfg.TLS)
	}
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		return d.cfg.Dial(ctx, addr)
	}
	wait := backoff.DefaultConfig
	wait.BaseDelay = reconnectDelay / 10
	wait.MaxDelay = reconnectDelay
	return grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: wait, MinConnectTimeout: agatesocket.DefaultConnect}),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
	)
}

// Report takes the result of a call to an address. Calls in a row that ran out
// of time replace the connection.
func (d *Dialer) Report(addr netip.AddrPort, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.conns[addr]
	if !ok {
		return
	}
	if status.Code(err) != codes.DeadlineExceeded {
		p.silent = 0
		return
	}
	p.silent++
	if p.silent < silentCalls {
		return
	}
	_ = p.conn.Close()
	delete(d.conns, addr)
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.conns {
		_ = p.conn.Close()
	}
	clear(d.conns)
}

// maxConns bounds the connections to one listener for own processes.
const maxConns = 4096

// Listen listens for own processes. Connections beyond 4,096 wait until
// another one closes.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("agatelink: %w", err)
	}
	return netutil.LimitListener(ln, maxConns), nil
}

// NewServer returns a gRPC server with bounds on messages, streams and
// handshakes. A nil tlsConfig means plain text.
func NewServer(tlsConfig *tls.Config) *grpc.Server {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshake),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleLimit, Time: 2 * time.Second, Timeout: 2 * time.Second}),
	)
}
