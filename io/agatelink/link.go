// Package agatelink opens and serves the gRPC connections between the
// processes of agategate.
//
// A Dialer keeps one connection per address and replaces it after consecutive
// calls exceed their deadline, because a connection can stop responding while
// new connections to the same address work. The load balancers, retries and
// service configuration of gRPC are disabled.
//
// # Usage
//
//	d := agatelink.NewDialer(agatelink.Config{TLS: tlsConfig})
//	defer d.Close()
//	conn, err := d.Conn(addr)
//	if err != nil {
//		return err
//	}
//	reply, err := agatewire.NewControlClient(conn).Beat(ctx, request)
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

	"agategate/internal/agatebuffer"
	"agategate/internal/agatesocket"
)

const (
	// maxMessageBytes limits the size of a message. A configuration document
	// has at most 4 MiB; quorum snapshots are sent in chunks.
	maxMessageBytes = 16 << 20
	// maxReconnectDelay limits the delay between two attempts to connect.
	maxReconnectDelay = 500 * time.Millisecond
	// maxConsecutiveTimeouts is the number of consecutive calls that exceed
	// their deadline before the connection is replaced.
	maxConsecutiveTimeouts = 2
	// maxHeaderBytes limits the header of a call.
	maxHeaderBytes = 64 << 10
	// maxStreams limits the concurrent calls on one connection.
	maxStreams = 1024
	// maxConnectionIdle is the time after which a server closes a connection
	// without calls.
	maxConnectionIdle = 10 * time.Minute
	handshakeTimeout  = 2 * time.Second
	// connectTimeout limits the time to connect, in which several attempts are made.
	connectTimeout = 400 * time.Millisecond
)

// Config configures a Dialer.
type Config struct {
	// TLS holds the client certificate and the trusted certificate authorities.
	// Nil means plain text.
	TLS *tls.Config
	// Dial opens a connection. The default sets socket options that detect
	// unresponsive connections early. Tests inject delays and disconnects here.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Dialer keeps one connection per address. It is safe for concurrent use.
type Dialer struct {
	cfg Config

	mu    sync.Mutex
	conns map[netip.AddrPort]*peerConn
}

type peerConn struct {
	conn     *grpc.ClientConn
	timeouts int // consecutive calls that exceeded their deadline
}

// NewDialer returns a Dialer without connections.
func NewDialer(cfg Config) *Dialer {
	if cfg.Dial == nil {
		dialer := agatesocket.NewDialer(agatesocket.Config{ConnectTimeout: connectTimeout})
		cfg.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			return dialRepeatedly(ctx, func(ctx context.Context) (net.Conn, error) {
				return dialer.DialContext(ctx, "tcp", addr.String())
			})
		}
	}
	return &Dialer{cfg: cfg, conns: make(map[netip.AddrPort]*peerConn)}
}

// Conn returns the connection to an address and creates it on first use. It
// does not wait until the connection is established.
func (d *Dialer) Conn(addr netip.AddrPort) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.conns[addr]; ok {
		return p.conn, nil
	}
	conn, err := d.open(addr)
	if err != nil {
		return nil, fmt.Errorf("agatelink: create connection to %s: %w", addr, err)
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
	backoffConfig := backoff.DefaultConfig
	backoffConfig.BaseDelay = maxReconnectDelay / 10
	backoffConfig.MaxDelay = maxReconnectDelay
	return grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: agatesocket.DefaultConnectTimeout}),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)
}

// Report records the result of a call to an address. After two consecutive
// calls that exceeded their deadline, the connection is closed, and the next
// Conn creates a new one.
func (d *Dialer) Report(addr netip.AddrPort, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.conns[addr]
	if !ok {
		return
	}
	if status.Code(err) != codes.DeadlineExceeded {
		p.timeouts = 0
		return
	}
	p.timeouts++
	if p.timeouts < maxConsecutiveTimeouts {
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

// defaultMaxConns limits the connections to one listener.
const defaultMaxConns = 4096

// Listen listens for connections from other agategate processes. Connections
// beyond maxConns wait until another one closes; 0 selects the default of 4,096.
func Listen(addr netip.AddrPort, maxConns int) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("agatelink: %w", err)
	}
	if maxConns <= 0 {
		maxConns = defaultMaxConns
	}
	return netutil.LimitListener(ln, maxConns), nil
}

// ServerConfig configures a server.
type ServerConfig struct {
	// TLS holds the server certificate and the trusted certificate authorities. Nil means
	// plain text.
	TLS *tls.Config
	// Account is charged for calls and messages while they arrive. The default is an
	// account of its own.
	Account *agatebuffer.Account
}

// NewServer returns a gRPC server with limits on message sizes, streams and
// handshake times.
func NewServer(cfg ServerConfig) *grpc.Server {
	creds := insecure.NewCredentials()
	if cfg.TLS != nil {
		creds = credentials.NewTLS(cfg.TLS)
	}
	if cfg.Account == nil {
		cfg.Account = agatebuffer.New(agatebuffer.Config{})
	}
	return grpc.NewServer(
		grpc.Creds(&meteredCredentials{TransportCredentials: creds, account: cfg.Account}),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: maxConnectionIdle, Time: 2 * time.Second, Timeout: 2 * time.Second}),
	)
}
