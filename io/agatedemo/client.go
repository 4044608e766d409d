package agatedemo

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// callTime bounds one request of the demo's callers.
const callTime = 2 * time.Second

// HostAnswer is one entry host of a look-up's answer.
type HostAnswer struct {
	Host   string         `json:"host"`
	Region string         `json:"region"`
	Domain string         `json:"domain"`
	Caller netip.AddrPort `json:"caller"`
}

// Lookup asks an entry host which hosts to use.
func (s *System) Lookup(ctx context.Context, service, client string) ([]HostAnswer, time.Duration, error) {
	for i, e := range s.Entries {
		if e == nil {
			continue
		}
		return lookup(ctx, s.entries[i].Caller, service, client)
	}
	return nil, 0, fmt.Errorf("agatedemo: no entry host runs")
}

func lookup(ctx context.Context, at netip.AddrPort, service, client string) ([]HostAnswer, time.Duration, error) {
	url := fmt.Sprintf("http://%s/v1/lookup?service=%s&client=%s", at, service, client)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("agatedemo: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("agatedemo: %w", err)
	}
	defer resp.Body.Close()
	var answer struct {
		Hosts []HostAnswer `json:"hosts"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, fmt.Errorf("agatedemo: look-up: %w", err)
	}
	age := strings.TrimPrefix(resp.Header.Get("Cache-Control"), "max-age=")
	seconds, err := strconv.Atoi(age)
	if err != nil {
		return nil, 0, fmt.Errorf("agatedemo: look-up without a lifetime: %w", err)
	}
	return answer.Hosts, time.Duration(seconds) * time.Second, nil
}

// CallConfig is one request.
type CallConfig struct {
	Service string
	Method  string // default GET
	Path    string
	Key     string // idempotency key
	Body    string
}

// Response is the answer to a request.
type Response struct {
	Host    string
	Status  int
	Outcome string
	Request string
	Body    []byte
	Took    time.Duration
}

// Call sends a request to the nth running entry host.
func (s *System) Call(ctx context.Context, n int, cfg CallConfig) (Response, error) {
	for range s.Entries {
		n %= len(s.Entries)
		if s.Entries[n] != nil {
			break
		}
		n++
	}
	r, err := send(ctx, s.entries[n].Caller, cfg)
	r.Host = s.entries[n].Name
	return r, err
}

func send(ctx context.Context, at netip.AddrPort, cfg CallConfig) (Response, error) {
	method := cmp.Or(cfg.Method, http.MethodGet)
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/call/%s%s", at, cfg.Service, cfg.Path)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(cfg.Body))
	if err != nil {
		return Response{}, fmt.Errorf("agatedemo: %w", err)
	}
	req.Header.Set("Agate-Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	if cfg.Key != "" {
		req.Header.Set("Idempotency-Key", cfg.Key)
	}
	begun := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("agatedemo: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, fmt.Errorf("agatedemo: answer cut: %w", err)
	}
	return Response{
		Status:  resp.StatusCode,
		Outcome: resp.Header.Get("Agate-Outcome"),
		Request: resp.Header.Get("Agate-Request"),
		Body:    body,
		Took:    time.Since(begun),
	}, nil
}

// LoadConfig is a stream of equal reads.
type LoadConfig struct {
	Service  string
	Path     string
	Requests int
	Workers  int
	// FollowLookup makes each worker ask which host to use and keep the
	// answer for its lifetime, as callers do. The default spreads requests
	// evenly over the running hosts.
	FollowLookup bool
}

// Took is the result of a Load.
type Took struct {
	Answered int
	Failed   int
	P50      time.Duration
	P99      time.Duration
}

// Load sends requests until all are sent or ctx ends. Requests that ctx cuts
// are not counted.
func (s *System) Load(ctx context.Context, cfg LoadConfig) (Took, error) {
	next := make(chan int)
	go func() {
		defer close(next)
		for n := range cfg.Requests {
			select {
			case next <- n:
			case <-ctx.Done():
				return
			}
		}
	}()
	targets := s.callers(0)
	var mu sync.Mutex
	var took Took
	var times []time.Duration
	var workers sync.WaitGroup
	for w := range cfg.Workers {
		workers.Go(func() {
			c := &cache{entries: targets, client: fmt.Sprintf("10.1.0.%d", w+1), service: cfg.Service}
			for n := range next {
				at := targets[n%len(targets)]
				if cfg.FollowLookup {
					at = c.get(ctx)
				}
				r, err := send(ctx, at, CallConfig{Service: cfg.Service, Path: cfg.Path})
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				if err != nil || r.Status != http.StatusOK {
					took.Failed++
				} else {
					took.Answered++
					times = append(times, r.Took)
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	slices.Sort(times)
	if n := len(times); n > 0 {
		took.P50 = times[n/2]
		took.P99 = times[n*99/100]
	}
	return took, nil
}

// cache is a caller that keeps a look-up's answer for its lifetime.
type cache struct {
	entries []netip.AddrPort
	client  string
	service string
	until   time.Time
	host    netip.AddrPort
}

func (c *cache) get(ctx context.Context) netip.AddrPort {
	if time.Now().Before(c.until) {
		return c.host
	}
	for _, at := range c.entries {
		hosts, age, err := lookup(ctx, at, c.service, c.client)
		if err == nil && len(hosts) > 0 {
			c.host = hosts[0].Caller
			c.until = time.Now().Add(age)
			break
		}
	}
	return c.host
}
