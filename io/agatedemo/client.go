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

// callTimeout bounds one request of the demo's callers.
const callTimeout = 2 * time.Second

// LookupHost is an entry host in the answer to a lookup.
type LookupHost struct {
	Host       string         `json:"host"`
	Region     string         `json:"region"`
	Domain     string         `json:"domain"`
	CallerAddr netip.AddrPort `json:"caller"`
}

// Lookup asks a running entry host which hosts a client should use for a service.
// It also returns how long the answer may be cached.
func (s *System) Lookup(ctx context.Context, service, client string) ([]LookupHost, time.Duration, error) {
	for i, e := range s.Entries {
		if e == nil {
			continue
		}
		return lookup(ctx, s.entrySettings[i].CallerAddr, service, client)
	}
	return nil, 0, fmt.Errorf("agatedemo: no entry host is running")
}

func lookup(ctx context.Context, addr netip.AddrPort, service, client string) ([]LookupHost, time.Duration, error) {
	url := fmt.Sprintf("http://%s/v1/lookup?service=%s&client=%s", addr, service, client)
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
		Hosts []LookupHost `json:"hosts"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, fmt.Errorf("agatedemo: look-up: %w", err)
	}
	age := strings.TrimPrefix(resp.Header.Get("Cache-Control"), "max-age=")
	seconds, err := strconv.Atoi(age)
	if err != nil {
		return nil, 0, fmt.Errorf("agatedemo: look-up without max-age: %w", err)
	}
	return answer.Hosts, time.Duration(seconds) * time.Second, nil
}

// Request describes one request of a caller.
type Request struct {
	Service string
	Method  string // default GET
	Path    string
	Key     string // idempotency key
	Body    string
}

// Response is the response to a Request.
type Response struct {
	Host      string
	Status    int
	Outcome   string
	RequestID string
	Body      []byte
	Latency   time.Duration
}

// Call sends a request to the nth entry host, or to the next running one.
func (s *System) Call(ctx context.Context, n int, request Request) (Response, error) {
	for range s.Entries {
		n %= len(s.Entries)
		if s.Entries[n] != nil {
			break
		}
		n++
	}
	r, err := send(ctx, s.entrySettings[n].CallerAddr, request)
	r.Host = s.entrySettings[n].Name
	return r, err
}

func send(ctx context.Context, addr netip.AddrPort, request Request) (Response, error) {
	method := cmp.Or(request.Method, http.MethodGet)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/call/%s%s", addr, request.Service, request.Path)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(request.Body))
	if err != nil {
		return Response{}, fmt.Errorf("agatedemo: %w", err)
	}
	req.Header.Set("Agate-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if request.Key != "" {
		req.Header.Set("Idempotency-Key", request.Key)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("agatedemo: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, fmt.Errorf("agatedemo: reading the response: %w", err)
	}
	return Response{
		Status:    resp.StatusCode,
		Outcome:   resp.Header.Get("Agate-Outcome"),
		RequestID: resp.Header.Get("Agate-Request"),
		Body:      body,
		Latency:   time.Since(start),
	}, nil
}

// TrafficConfig describes a stream of identical GET requests.
type TrafficConfig struct {
	Service  string
	Path     string
	Requests int
	Workers  int
	// FollowLookup makes each worker look up its host and cache the answer for
	// its max-age, as real callers do. The default spreads the requests evenly
	// over all hosts.
	FollowLookup bool
}

// TrafficResult is the result of GenerateLoad.
type TrafficResult struct {
	Answered int
	Failed   int
	P50      time.Duration
	P99      time.Duration
}

// GenerateLoad sends requests until all are sent or ctx ends. Requests that are
// canceled by ctx are not counted.
func (s *System) GenerateLoad(ctx context.Context, cfg TrafficConfig) (TrafficResult, error) {
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
	targets := s.callerAddresses(0)
	var mu sync.Mutex
	var result TrafficResult
	var latencies []time.Duration
	var workers sync.WaitGroup
	for w := range cfg.Workers {
		workers.Go(func() {
			// The address is in the block of the first region; see Inventory.
			c := &lookupCache{entries: targets, client: fmt.Sprintf("10.1.0.%d", w+1), service: cfg.Service}
			for n := range next {
				addr := targets[n%len(targets)]
				if cfg.FollowLookup {
					addr = c.get(ctx)
				}
				r, err := send(ctx, addr, Request{Service: cfg.Service, Path: cfg.Path})
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				if err != nil || r.Status != http.StatusOK {
					result.Failed++
				} else {
					result.Answered++
					latencies = append(latencies, r.Latency)
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		result.P50 = latencies[n/2]
		result.P99 = latencies[n*99/100]
	}
	return result, nil
}

// lookupCache caches the answer to a lookup for its max-age.
type lookupCache struct {
	entries []netip.AddrPort
	client  string
	service string
	until   time.Time
	host    netip.AddrPort
}

func (c *lookupCache) get(ctx context.Context) netip.AddrPort {
	if time.Now().Before(c.until) {
		return c.host
	}
	for _, addr := range c.entries {
		hosts, age, err := lookup(ctx, addr, c.service, c.client)
		if err == nil && len(hosts) > 0 {
			c.host = hosts[0].CallerAddr
			c.until = time.Now().Add(age)
			break
		}
	}
	return c.host
}
