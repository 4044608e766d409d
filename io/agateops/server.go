package agateops

import (
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Defaults of a ServerConfig.
const (
	defaultHeaderWait = 5 * time.Second
	defaultBodyWait   = 10 * time.Second
	defaultIdle       = time.Minute
	defaultHeader     = 64 << 10
	defaultConns      = 64
	// replyWait is the time for the reply beyond that for the request.
	replyWait = 30 * time.Second
)

// ServerConfig sets up a server that slow clients cannot exhaust.
type ServerConfig struct {
	Handler http.Handler
	// HeaderWait is the time for the header. The default is 5 s.
	HeaderWait time.Duration
	// BodyWait is the time for the whole request. The default is 10 s.
	BodyWait time.Duration
	// Idle is the time that an idle connection is kept. The default is 1 min.
	Idle time.Duration
	// Header is the largest header in bytes. The default is 64 KiB.
	Header int
	// Connections is the number of open connections; more are closed at once.
	// The default is 64.
	Connections int
	// Log receives the server's own lines. The default writes none.
	Log hclog.Logger
}

// Server is an http.Server with bounded connections.
type Server struct {
	*http.Server
	connections int
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	cfg.HeaderWait = orDefault(cfg.HeaderWait, defaultHeaderWait)
	cfg.BodyWait = orDefault(cfg.BodyWait, defaultBodyWait)
	cfg.Idle = orDefault(cfg.Idle, defaultIdle)
	cfg.Header = orDefault(cfg.Header, defaultHeader)
	cfg.Connections = orDefault(cfg.Connections, defaultConns)
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	return &Server{
		connections: cfg.Connections,
		Server: &http.Server{
			Handler:           cfg.Handler,
			ReadHeaderTimeout: cfg.HeaderWait,
			ReadTimeout:       cfg.BodyWait,
			WriteTimeout:      cfg.BodyWait + replyWait,
			IdleTimeout:       cfg.Idle,
			MaxHeaderBytes:    cfg.Header,
			ErrorLog:          stdLog(cfg.Log),
		},
	}
}

func stdLog(l hclog.Logger) *log.Logger {
	return l.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

func orDefault[T int | time.Duration](n, def T) T {
	if n <= 0 {
		return def
	}
	return n
}

// Serve accepts connections until the server is shut down.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(&limitListener{Listener: l, slots: make(chan struct{}, s.connections)})
}

// limitListener closes connections beyond a number at once. Leaving them in
// the kernel's queue would make an operator wait without an answer.
type limitListener struct {
	net.Listener
	slots chan struct{}
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = conn.Close() // the peer sees a closed connection; nothing else can be reported to it
		}
	}
}

type limitConn struct {
	net.Conn
	release func()
}

func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}
