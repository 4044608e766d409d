// Package agateserve runs HTTP listeners with bounds on connections, headers
// and times, so that a slow or faulty peer costs bounded memory.
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
)

// Defaults of Config.
const (
	DefaultConns       = 4096
	DefaultHeaderBytes = 16 << 10
	DefaultHeaderTime  = 2 * time.Second
	DefaultReadTime    = 10 * time.Second
	DefaultWriteTime   = 2 * time.Minute
	DefaultIdleTime    = time.Minute
)

// Config sets up a Server.
type Config struct {
	Address netip.AddrPort
	Handler http.Handler
	// TLS is the server's certificate. Nil means plain text.
	TLS *tls.Config
	// Conns bounds the open connections; more are closed at once. The default
	// is 4096.
	Conns int
	// HeaderBytes bounds the size of a request's header. The default is 16 KiB.
	HeaderBytes int
	// HeaderTime bounds the time to read a request's header. The default is
	// 2 s.
	HeaderTime time.Duration
	// ReadTime bounds the time to read a request. The default is 10 s.
	ReadTime time.Duration
	// WriteTime bounds the time from the end of the header to the end of the
	// answer. The default is 2 min.
	WriteTime time.Duration
	// IdleTime is how long an idle connection is kept. The default is 1 min.
	IdleTime time.Duration
	// Log receives the server's own lines at level debug. The default writes
	// none.
	Log hclog.Logger
}

// Server is one HTTP listener.
type Server struct {
	http   *http.Server
	ln     net.Listener
	limit  *limitListener
	failed chan error
}

// Start listens on the address and serves in the background.
func Start(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, fmt.Errorf("agateserve: %w", err)
	}
	limit := newLimitListener(ln, orDefault(cfg.Conns, DefaultConns))
	ln = limit
	if cfg.TLS != nil {
		ln = tls.NewListener(ln, cfg.TLS)
	}
	s := &Server{ln: ln, limit: limit, failed: make(chan error, 1)}
	s.http = &http.Server{
		Handler:           cfg.Handler,
		ReadHeaderTimeout: orDefault(cfg.HeaderTime, DefaultHeaderTime),
		ReadTimeout:       orDefault(cfg.ReadTime, DefaultReadTime),
		WriteTimeout:      orDefault(cfg.WriteTime, DefaultWriteTime),
		IdleTimeout:       orDefault(cfg.IdleTime, DefaultIdleTime),
		MaxHeaderBytes:    orDefault(cfg.HeaderBytes, DefaultHeaderBytes),
		ErrorLog:          errorLog(cfg.Log),
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

func orDefault[T int | time.Duration](v, standard T) T {
	if v <= 0 {
		return standard
	}
	return v
}

func (s *Server) serve() {
	err := s.http.Serve(s.ln)
	if !errors.Is(err, http.ErrServerClosed) {
		s.failed <- fmt.Errorf("agateserve: %w", err)
	}
}

// Address returns the address that the server listens on, which differs from
// the configured one if that had port 0.
func (s *Server) Address() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Open returns the number of open connections.
func (s *Server) Open() int { return len(s.limit.slots) }

// Failed receives the error of a listener that stopped by itself.
func (s *Server) Failed() <-chan error { return s.failed }

// Shutdown stops accepting and waits until the requests in progress are done
// or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close ends the listener and all its connections at once.
func (s *Server) Close() error { return s.http.Close() }
