package agatedemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"agategate/internal/agateserve"
)

// Defaults of UpstreamConfig.
const (
	DefaultSlots       = 3
	DefaultConnections = 330
	DefaultWork        = 10 * time.Millisecond
	defaultInterval    = 500 * time.Millisecond
	announceTime       = 300 * time.Millisecond
)

// UpstreamConfig sets up an Upstream.
type UpstreamConfig struct {
	ID      string
	Service string
	Region  string
	Domain  string
	// Address is the listen address. Port 0 picks a free port.
	Address netip.AddrPort
	// Slots is the number of requests executed at once. The default is 3.
	Slots int
	// Connections is the number that it says it accepts. The default is 330.
	Connections int
	// Work is the time that a request takes. The default is 10 ms.
	Work time.Duration
	// Announced is the address told to entry hosts, as behind a relay. The
	// default is the listen address.
	Announced netip.AddrPort
	// Crash is a path whose request ends the upstream at once, as a request
	// does that its program cannot bear. The default is none.
	Crash string
	// Entries are the caller addresses of the entry hosts. Each announcement
	// goes to the first that answers.
	Entries []netip.AddrPort
}

// Upstream is a small upstream for demos and tests: it announces itself,
// executes requests in a bounded number of slots, sheds what finds no slot in
// time and counts the runs of each idempotency key. It is safe for concurrent
// use.
type Upstream struct {
	cfg    UpstreamConfig
	server *agateserve.Server
	slots  chan struct{}
	client *http.Client
	cancel context.CancelFunc
	duties sync.WaitGroup
	// incarnation orders the starts of an upstream.
	incarnation uint64
	sequence    atomic.Uint64
	held        atomic.Int64
	crashed     atomic.Bool
	quiet       atomic.Bool
	state       atomic.Value // string
	wake        chan struct{}

	mu    sync.Mutex
	runs  map[string]int
	total int
	last  time.Time // start of the newest request
}

// StartUpstream listens and begins to announce.
func StartUpstream(cfg UpstreamConfig) (*Upstream, error) {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Connections <= 0 {
		cfg.Connections = DefaultConnections
	}
	if cfg.Work <= 0 {
		cfg.Work = DefaultWork
	}
	u := &Upstream{
		cfg:         cfg,
		slots:       make(chan struct{}, cfg.Slots),
		client:      &http.Client{Timeout: announceTime},
		incarnation: uint64(time.Now().UnixNano()),
		wake:        make(chan struct{}, 1),
		runs:        make(map[string]int),
	}
	u.state.Store("up")
	server, err := agateserve.Start(agateserve.Config{Address: cfg.Address, Handler: u})
	if err != nil {
		return nil, fmt.Errorf("agatedemo: %w", err)
	}
	u.server = server
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.duties.Go(func() { u.announceAll(ctx) })
	return u, nil
}

// ServeHTTP executes one request. A request that finds no slot before its
// deadline is shed before execution.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.held.Add(1)
	defer u.held.Add(-1)
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	case <-time.After(u.patience(r)):
		w.Header().Set("Agate-Shed", "before-execution")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := u.count(r.Header.Get("Idempotency-Key"))
	if u.cfg.Crash != "" && r.URL.Path == u.cfg.Crash {
		u.crashed.Store(true)
		u.cancel()
		_ = u.server.Close()
		return
	}
	time.Sleep(u.cfg.Work)
	w.Header().Set("Agate-Request", r.Header.Get("Agate-Request"))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wireAnswer{Upstream: u.cfg.ID, Path: r.URL.Path, Bytes: len(body), Run: n})
}

// wireAnswer is the body of an answer.
type wireAnswer struct {
	Upstream string `json:"upstream"`
	Path     string `json:"path"`
	Bytes    int    `json:"bytes"`
	Run      int    `json:"run"`
}

// patience is how long a request may wait for a slot.
func (u *Upstream) patience(r *http.Request) time.Duration {
	left, err := time.ParseDuration(r.Header.Get("Agate-Deadline-Ms") + "ms")
	if err != nil {
		return time.Second
	}
	return left
}

func (u *Upstream) count(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last = time.Now()
	u.total++
	if key == "" {
		return 0
	}
	u.runs[key]++
	return u.runs[key]
}

// Runs returns how often a key was executed here.
func (u *Upstream) Runs(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

// Crashed reports whether the crashing request ended the upstream.
func (u *Upstream) Crashed() bool { return u.crashed.Load() }

// Last returns when the newest request began to execute.
func (u *Upstream) Last() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.last
}

// Address returns the listen address.
func (u *Upstream) Address() netip.AddrPort { return u.server.Address() }

func (u *Upstream) announced() netip.AddrPort {
	if u.cfg.Announced.IsValid() {
		return u.cfg.Announced
	}
	return u.Address()
}

// Total returns the number of requests executed.
func (u *Upstream) Total() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.total
}

// SetQuiet stops and resumes the announcements.
func (u *Upstream) SetQuiet(quiet bool) { u.quiet.Store(quiet) }

// SetState announces "up", "draining" or "leaving" at once.
func (u *Upstream) SetState(state string) {
	u.state.Store(state)
	select {
	case u.wake <- struct{}{}:
	default: // an announcement is due already
	}
}

// announceAll announces until the upstream stops.
func (u *Upstream) announceAll(ctx context.Context) {
	interval := defaultInterval
	for {
		if !u.quiet.Load() {
			if told := u.announce(ctx); told > 0 {
				interval = told
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		case <-time.After(interval):
		}
	}
}

type wireAnnouncement struct {
	ID          string  `json:"id"`
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	Service     string  `json:"service"`
	Region      string  `json:"region"`
	Domain      string  `json:"domain"`
	Address     string  `json:"address"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	Load        float64 `json:"load"`
	State       string  `json:"state"`
}

// announce tells the first entry host that answers, and returns the interval
// that it asks for.
func (u *Upstream) announce(ctx context.Context) time.Duration {
	body, err := json.Marshal(wireAnnouncement{
		ID:          u.cfg.ID,
		Incarnation: u.incarnation,
		Sequence:    u.sequence.Add(1),
		Service:     u.cfg.Service,
		Region:      u.cfg.Region,
		Domain:      u.cfg.Domain,
		Address:     u.announced().String(),
		Slots:       u.cfg.Slots,
		Connections: u.cfg.Connections,
		Load:        float64(u.held.Load()) / float64(u.cfg.Slots),
		State:       u.state.Load().(string),
	})
	if err != nil {
		return 0
	}
	for _, entry := range u.cfg.Entries {
		if interval, ok := u.announceTo(ctx, entry, body); ok {
			return interval
		}
	}
	return 0
}

func (u *Upstream) announceTo(ctx context.Context, entry netip.AddrPort, body []byte) (time.Duration, bool) {
	url := "http://" + entry.String() + "/v1/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var receipt struct {
		Interval int64 `json:"interval"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&receipt) != nil {
		return 0, false
	}
	return time.Duration(receipt.Interval) * time.Millisecond, true
}

// Stop announces that the upstream leaves, waits for its requests and ends.
func (u *Upstream) Stop(ctx context.Context) error {
	u.SetState("leaving")
	_ = u.announce(ctx)
	err := u.server.Shutdown(ctx)
	u.cancel()
	u.duties.Wait()
	return err
}

// Kill ends the upstream at once and breaks its connections.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.server.Close()
	u.duties.Wait()
}
