// Package agateserve runs HTTP servers with limits on connections, headers and
// times, so that slow or faulty peers use a bounded amount of memory.
package agateserve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"agategate/internal/agatebuffer"
)

// Defaults of Config.
const (
	DefaultMaxConns       = 4096
	DefaultMaxHeaderBytes = 16 << 10
	DefaultHeaderTimeout  = 2 * time.Second
	DefaultReadTimeout    = 10 * time.Second
	DefaultWriteTimeout   = 2 * time.Minute
	DefaultIdleTimeout    = time.Minute
)

// Config configures a Server.
type Config struct {
	Address netip.AddrPort
	Handler http.Handler
	// TLS holds the server certificate. Nil means plain text.
	TLS *tls.Config
	// MaxConns limits the open connections. Beyond it, those without a request are closed,
	// the oldest first. The default is 4096.
	MaxConns int
	// Account is charged for the requests that are read. The default is an account of
	// its own.
	Account *agatebuffer.Account
	// MaxHeaderBytes limits the size of a request header. The default is
	// 16 KiB.
	MaxHeaderBytes int
	// HeaderTimeout limits the time to read a request header. The default is
	// 2 s.
	HeaderTimeout time.Duration
	// ReadTimeout limits the time to read a request, including its body. The
	// default is 10 s.
	ReadTimeout time.Duration
	// WriteTimeout limits the time from the end of the request header to the
	// end of the response. The default is 2 min.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. The
	// default is 1 min.
	IdleTimeout time.Duration
	// Logger receives the log lines of net/http at level debug. The default
	// discards them.
	Logger hclog.Logger
}

// Server is an HTTP server on one address.
type Server struct {
	http     *http.Server
	ln       net.Listener
	limit    *limitListener
	serveErr chan error
}

// Start listens on the address and serves in the background.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, fmt.Errorf("agateserve: %w", err)
	}
	maxConns := orDefault(cfg.MaxConns, DefaultMaxConns)
	if cfg.Account == nil {
		cfg.Account = agatebuffer.New(agatebuffer.Config{Holders: maxConns})
	}
	limit := newLimitListener(ln, maxConns, cfg.Account)
	ln = limit
	if cfg.TLS != nil {
		ln = tls.NewListener(ln, cfg.TLS)
	}
	s := &Server{ln: ln, limit: limit, serveErr: make(chan error, 1)}
	s.http = &http.Server{
		Handler:           chargeRequests(cfg.Handler),
		ConnContext:       connContext,
		ReadHeaderTimeout: orDefault(cfg.HeaderTimeout, DefaultHeaderTimeout),
		ReadTimeout:       orDefault(cfg.ReadTimeout, DefaultReadTimeout),
		WriteTimeout:      orDefault(cfg.WriteTimeout, DefaultWriteTimeout),
		IdleTimeout:       orDefault(cfg.IdleTimeout, DefaultIdleTimeout),
		MaxHeaderBytes:    orDefault(cfg.MaxHeaderBytes, DefaultMaxHeaderBytes),
		ErrorLog:          errorLog(cfg.Logger),
	}
	go s.serve()
	return s, nil
}

func errorLog(l hclog.Logger) *log.Logger {
	if l == nil {
		l = hclog.NewNullLogger()
	}
	return l.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

func orDefault[T int | time.Duration](v, defaultValue T) T {
	if v <= 0 {
		return defaultValue
	}
	return v
}

func (s *Server) serve() {
	err := s.http.Serve(s.ln)
	if !errors.Is(err, http.ErrServerClosed) {
		s.serveErr <- fmt.Errorf("agateserve: %w", err)
	}
}

// Address returns the address on which the server listens. If the configured
// port is 0, it contains the port that the system chose.
func (s *Server) Address() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return s.limit.numOpen() }

// ServeError returns a channel that receives an error if the server stops
// without Shutdown or Close.
func (s *Server) ServeError() <-chan error { return s.serveErr }

// Shutdown stops accepting connections and waits until all requests in
// progress have ended or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
