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
)

// Defaults of a ClientConfig.
const (
	defaultAttempt = 15 * time.Second
	defaultPause   = 500 * time.Millisecond
	longestPause   = 5 * time.Second
	maxHops        = 3
	maxReply       = 16 << 20 // bytes
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Hosts are the admin addresses of control replicas, as host:port or as
	// URLs. They are tried in order. At least one is needed.
	Hosts []string
	// TLS is used for URLs that begin with https and, if it is set, for
	// addresses without a scheme.
	TLS *tls.Config
	// Attempt is the time for one attempt at one replica. The default is 15 s.
	Attempt time.Duration
	// Pause is the time between rounds over all replicas, unless a reply asks
	// for another. The default is 500 ms.
	Pause time.Duration
}

// Client calls the control replicas. It follows a replica's hint to the
// leader and goes on to the next replica when one does not answer. It is not
// safe for concurrent use.
type Client struct {
	cfg   ClientConfig
	hosts []string
	http  *http.Client
}

// CallError is a call that was not carried out, or may not have been.
type CallError struct {
	Outcome Outcome
	// Status is the status of the last reply, or 0 if there was none.
	Status   int
	Text     string
	Revision uint64
	Change   string
	Problems agateinventory.Problems
}

// Error returns the text with the outcome.
func (e *CallError) Error() string {
	return fmt.Sprintf("agateops: %s: %s", e.Outcome, e.Text)
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

// NewClient returns a client, or an error if an address is not usable.
func NewClient(cfg ClientConfig) (*Client, error) {
	cfg.Attempt = orDefault(cfg.Attempt, defaultAttempt)
	cfg.Pause = orDefault(cfg.Pause, defaultPause)
	c := &Client{cfg: cfg}
	for _, h := range cfg.Hosts {
		base, err := baseURL(h, cfg.TLS != nil)
		if err != nil {
			return nil, err
		}
		c.hosts = append(c.hosts, base)
	}
	if len(c.hosts) == 0 {
		return nil, errors.New("agateops: no control host is given")
	}
	c.http = &http.Client{
		Timeout:       cfg.Attempt,
		Transport:     &http.Transport{TLSClientConfig: cfg.TLS, DisableKeepAlives: true},
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
		return "", fmt.Errorf("agateops: %q is not the address of a control host, such as 127.0.2.1:9001", host)
	}
	return u.Scheme + "://" + u.Host, nil
}

type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	write  bool // it may change something
	once   bool // it must not be sent again after an unknown result
}

type answer struct {
	status int
	header http.Header
	body   []byte
}

// do sends a call until it has a definite answer or the context ends. An
// unknown result is followed by a resend, which is safe because the call
// carries a change id.
func (c *Client) do(ctx context.Context, r call) (*answer, error) {
	last := &CallError{Outcome: NotRun, Text: "no control host answered"}
	unknown := false
	for {
		pause := c.cfg.Pause
		for _, host := range c.hosts {
			a, err := c.try(ctx, host, r)
			if err == nil || err.final() {
				return a, asError(err)
			}
			unknown = unknown || err.Outcome == Unknown
			last = err
			if unknown && r.once {
				return nil, err
			}
			pause = max(pause, min(retryAfter(a), longestPause))
			if ctx.Err() != nil {
				break
			}
		}
		if wait(ctx, pause) != nil {
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

// final reports whether another attempt cannot give another answer.
func (e *CallError) final() bool { return e.Outcome == Conflict || e.Outcome == Invalid }

// wait returns at once if the context ends before the time is over.
func wait(ctx context.Context, d time.Duration) error {
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

func retryAfter(a *answer) time.Duration {
	if a == nil {
		return 0
	}
	n, err := strconv.Atoi(a.header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// try sends a call to one replica and follows hints to the leader.
func (c *Client) try(ctx context.Context, host string, r call) (*answer, *CallError) {
	for range maxHops {
		a, err := c.send(ctx, host, r)
		if err != nil {
			return nil, err
		}
		next := leaderOf(a)
		if next == "" {
			return a, judge(a, r.write)
		}
		host = next
	}
	return nil, &CallError{Outcome: NotRun, Text: "the replicas name each other as the leader"}
}

func leaderOf(a *answer) string {
	if a.status != http.StatusTemporaryRedirect {
		return ""
	}
	u, err := url.Parse(a.header.Get("Location"))
	if err != nil || u.Host == "" {
		return ""
	}
	return u.Scheme + "://" + u.Host
}

func (c *Client) send(ctx context.Context, host string, r call) (*answer, *CallError) {
	if err := ctx.Err(); err != nil {
		return nil, &CallError{Outcome: NotRun, Text: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, r.method, host+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &CallError{Outcome: Invalid, Text: err.Error()}
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	var opened atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { opened.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return nil, transportError(err, r.write && opened.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, transportError(err, r.write)
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// transportError returns the error of a call without a reply. Its result is
// unknown if it may change something and a connection was opened for it.
func transportError(err error, unknown bool) *CallError {
	if unknown {
		return &CallError{Outcome: Unknown, Text: err.Error()}
	}
	return &CallError{Outcome: NotRun, Text: err.Error()}
}

// judge returns the error that a reply stands for, or nil.
func judge(a *answer, write bool) *CallError {
	if a.status < 300 {
		return nil
	}
	var body errorBody
	if err := json.Unmarshal(a.body, &body); err != nil || body.Error == "" {
		body.Error = http.StatusText(a.status)
	}
	e := &CallError{Status: a.status, Text: body.Error, Revision: body.Revision, Change: body.Change, Problems: body.Problems}
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
