package agateops

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"agategate/core/agateinventory"
	"agategate/internal/agateanswer"
)

// Defaults and limits of a Client.
const (
	defaultRequestTimeout = 15 * time.Second
	defaultRetryDelay     = 500 * time.Millisecond
	maxRetryDelay         = 5 * time.Second
	maxRequestsPerAttempt = 3 // the first request and two redirects
	maxReplyBytes         = 16 << 20
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Hosts are the admin addresses of control replicas, as host:port or as
	// URLs. They are tried in order. At least one is required.
	Hosts []string
	// TLS is the configuration for https URLs. If it is set, addresses
	// without a scheme use https too.
	TLS *tls.Config
	// RequestTimeout bounds one request to one replica. The default is 15 s.
	RequestTimeout time.Duration
	// RetryDelay is the delay between rounds over all replicas. A longer
	// Retry-After of a reply takes precedence, up to 5 s. The default is
	// 500 ms.
	RetryDelay time.Duration
}

// Client calls the control replicas. It follows redirects to the leader and
// tries the next replica when one does not answer. It is safe for concurrent
// use.
type Client struct {
	cfg   ClientConfig
	hosts []string
	http  *http.Client
}

// CallError reports a call that failed or whose result is unknown.
type CallError struct {
	Outcome Outcome
	// Status is the HTTP status of the last reply, or 0 if there was none.
	Status  int
	Message string
	// Revision and ChangeID identify the change that won a conflict.
	Revision uint64
	ChangeID string
	Problems agateinventory.Problems
}

// Error returns the outcome and the message.
func (e *CallError) Error() string {
	return fmt.Sprintf("agateops: %s: %s", e.Outcome, e.Message)
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

// NewClient returns a Client. It fails if no address is given or an address is
// malformed.
func NewClient(cfg ClientConfig) (*Client, error) {
	cfg.RequestTimeout = orDefault(cfg.RequestTimeout, defaultRequestTimeout)
	cfg.RetryDelay = orDefault(cfg.RetryDelay, defaultRetryDelay)
	c := &Client{cfg: cfg}
	for _, h := range cfg.Hosts {
		base, err := baseURL(h, cfg.TLS != nil)
		if err != nil {
			return nil, err
		}
		c.hosts = append(c.hosts, base)
	}
	if len(c.hosts) == 0 {
		return nil, errors.New("agateops: no control host given")
	}
	c.http = &http.Client{
		Timeout:       cfg.RequestTimeout,
		Transport:     agateanswer.NewTransport(agateanswer.TransportConfig{TLS: cfg.TLS}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func baseURL(host string, secure bool) (string, error) {
	text := host
	if !strings.Contains(text, "://") {
		scheme := "http://"
		if secure {
			scheme = "https://"
		}
		text = scheme + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || strings.Trim(u.Path, "/") != "" {
		return "", fmt.Errorf("agateops: invalid control host address %q: want host:port or an http(s) URL without a path", host)
	}
	return u.Scheme + "://" + u.Host, nil
}

type apiRequest struct {
	method string
	path   string
	header http.Header
	body   []byte
	write  bool // has side effects
	once   bool // must not be resent after an unknown result
}

type apiResponse struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request until it gets a definite reply or the context ends. It
// resends after an unknown result unless once is set, which is safe because
// the request carries a change id or is idempotent.
func (c *Client) do(ctx context.Context, r apiRequest) (*apiResponse, error) {
	last := &CallError{Outcome: NotRun, Message: "no control host answered"}
	unknown := false
	for {
		delay := c.cfg.RetryDelay
		for _, host := range c.hosts {
			a, err := c.attempt(ctx, host, r)
			if err == nil || err.final() {
				return a, asError(err)
			}
			unknown = unknown || err.Outcome == Unknown
			last = err
			if unknown && r.once {
				return nil, err
			}
			delay = max(delay, min(retryAfter(a), maxRetryDelay))
			if ctx.Err() != nil {
				break
			}
		}
		if sleep(ctx, delay) != nil {
			break
		}
	}
	if unknown {
		last.Outcome = Unknown
	}
	return nil, last
}

func asError(err *CallError) error {
	if err == nil {
		return nil
	}
	return err
}

// final reports whether a retry cannot change the result.
func (e *CallError) final() bool { return e.Outcome == Conflict || e.Outcome == Invalid }

// sleep waits for d. It returns an error at once if the deadline of the context
// is earlier.
func sleep(ctx context.Context, d time.Duration) error {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < d {
		return context.DeadlineExceeded
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryAfter returns the delay that the Retry-After header asks for, or 0.
func retryAfter(a *apiResponse) time.Duration {
	if a == nil {
		return 0
	}
	n, err := strconv.Atoi(a.header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// attempt sends a request to one replica and follows redirects to the leader.
func (c *Client) attempt(ctx context.Context, host string, r apiRequest) (*apiResponse, *CallError) {
	for range maxRequestsPerAttempt {
		a, err := c.send(ctx, host, r)
		if err != nil {
			return nil, err
		}
		next := leaderURL(a)
		if next == "" {
			return a, replyError(a, r.write)
		}
		host = next
	}
	return nil, &CallError{Outcome: NotRun, Message: "too many redirects between control replicas"}
}

// leaderURL returns the base URL of the leader that a reply redirects to, or
// an empty string.
func leaderURL(a *apiResponse) string {
	if a.status != http.StatusTemporaryRedirect {
		return ""
	}
	u, err := url.Parse(a.header.Get("Location"))
	if err != nil || u.Host == "" {
		return ""
	}
	return u.Scheme + "://" + u.Host
}

func (c *Client) send(ctx context.Context, host string, r apiRequest) (*apiResponse, *CallError) {
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Outcome: NotRun, Message: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, r.method, host+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &CallError{Outcome: Invalid, Message: err.Error()}
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, transportError(err, r.write && gotConn.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(body) > maxReplyBytes {
		err = fmt.Errorf("reply of %s is larger than %d bytes", host, maxReplyBytes)
	}
	if err != nil {
		return nil, transportError(err, r.write)
	}
	return &apiResponse{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// transportError returns the error of a request without a complete reply. The
// outcome is Unknown if the request may have taken effect, that is, if it has
// side effects and a connection to the replica was open.
func transportError(err error, unknown bool) *CallError {
	if unknown {
		return &CallError{Outcome: Unknown, Message: err.Error()}
	}
	return &CallError{Outcome: NotRun, Message: err.Error()}
}

// replyError returns the error that a reply reports, or nil.
func replyError(a *apiResponse, write bool) *CallError {
	if a.status < 300 {
		return nil
	}
	var body errorBody
	if err := json.Unmarshal(a.body, &body); err != nil || body.Error == "" {
		body.Error = http.StatusText(a.status)
	}
	e := &CallError{Status: a.status, Message: body.Error, Revision: body.Revision, ChangeID: body.Change, Problems: body.Problems}
	switch {
	case a.status == http.StatusConflict:
		e.Outcome = Conflict
	case a.header.Get(HeaderOutcome) == "not-run" || a.status >= 500 && !write:
		e.Outcome = NotRun
	case a.status >= 500:
		e.Outcome = Unknown
	default:
		e.Outcome = Invalid
	}
	return e
}
