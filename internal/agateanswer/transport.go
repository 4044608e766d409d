package agateanswer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
)

// maxHeadBytes is the maximum size of a head that a Transport reads.
const maxHeadBytes = 64 << 10

// TransportConfig configures a Transport.
type TransportConfig struct {
	// TLS is the configuration of connections for https URLs.
	TLS *tls.Config
}

// Transport is an http.RoundTripper that checks the heads of responses, and refuses those
// that end with their connection: that end cannot be told from a reset that came while the
// request was still being written. It opens a connection for each request and decodes no
// Content-Encoding. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport.
func NewTransport(cfg TransportConfig) *Transport {
	plain, secure := &net.Dialer{}, &tls.Dialer{Config: cfg.TLS}
	return &Transport{base: &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return checked(plain.DialContext(ctx, network, addr))
		},
		DialTLSContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return checked(secure.DialContext(ctx, network, addr))
		},
	}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		_ = resp.Body.Close() // the response is dropped
		return nil, fmt.Errorf("%w: neither Content-Length nor chunked encoding", ErrMalformed)
	}
	return resp, nil
}

// checkedConn is a connection for one request that checks the head of its response.
type checkedConn struct {
	net.Conn
	head    Head
	headErr error
}

func checked(c net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: c}, nil
}

// Read implements net.Conn.
func (c *checkedConn) Read(b []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr // parsers may read again after an error
	}
	n, err := c.Conn.Read(b)
	if n, c.headErr = c.head.Check(b[:n]); c.headErr != nil {
		return n, c.headErr
	}
	return n, err
}
