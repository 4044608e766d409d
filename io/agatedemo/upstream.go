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

// Defaults of UpstreamConfig, and the interval and timeout of announcements.
const (
	DefaultSlots            = 3
	DefaultMaxConnections   = 330 // announced connection limit of one upstream
	DefaultServiceTime      = 10 * time.Millisecond
	defaultAnnounceInterval = 500 * time.Millisecond
	announceTimeout         = 300 * time.Millisecond
)

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	ID      string
	Service string
	Region  string
	Domain  string
	// Address is the listen address. Port 0 selects a free port.
	Address netip.AddrPort
	// Slots is the number of requests executed concurrently. The default is 3.
	Slots int
	// MaxConnections is the announced limit of connections; it is not enforced.
	// The default is 330.
	MaxConnections int
	// ServiceTime is the time to execute a request. The default is 10 ms.
	ServiceTime time.Duration
	// AnnouncedAddress is the address announced to entry hosts, for upstreams
	// behind a proxy. The default is the listen address.
	AnnouncedAddress netip.AddrPort
	// CrashPath is a path that makes the upstream terminate at once, to
	// simulate a request that crashes it. The default is none.
	CrashPath string
	// Entries are the caller addresses of the entry hosts. Each announcement
	// is sent to the first one that answers.
	Entries []netip.AddrPort
}

// Upstream is a small upstream for demos and tests. It announces itself, executes
// requests in a bounded number of slots, sheds requests that get no slot before
// their deadline and counts the executions of each idempotency key. It is safe for
// concurrent use.
type Upstream struct {
	cfg        UpstreamConfig
	server     *agateserve.Server
	slots      chan struct{}
	client     *http.Client
	cancel     context.CancelFunc
	background sync.WaitGroup
	// incarnation is higher for each start of an upstream with the same id.
	incarnation uint64
	sequence    atomic.Uint64
	inFlight    atomic.Int64
	crashed     atomic.Bool
	suppressed  atomic.Bool  // no announcements are sent
	state       atomic.Value // string
	announceNow chan struct{}

	mu        sync.Mutex
	runs      map[string]int
	executed  int
	lastStart time.Time // start of the latest request
}

// StartUpstream starts an upstream, which announces itself until it ends.
func StartUpstream(cfg UpstreamConfig) (*Upstream, error) {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	if cfg.ServiceTime <= 0 {
		cfg.ServiceTime = DefaultServiceTime
	}
	u := &Upstream{
		cfg:         cfg,
		slots:       make(chan struct{}, cfg.Slots),
		client:      &http.Client{Timeout: announceTimeout},
		incarnation: uint64(time.Now().UnixNano()),
		announceNow: make(chan struct{}, 1),
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
	u.background.Go(func() { u.announceLoop(ctx) })
	return u, nil
}

// ServeHTTP executes one request, or sheds it with 503 if it gets no slot before
// its deadline.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	w.Header().Set("Agate-Request", r.Header.Get("Agate-Request"))
	if u.state.Load() == "leaving" {
		w.Header().Set("Agate-Leaving", "1")
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	case <-time.After(u.slotTimeout(r)):
		w.Header().Set("Agate-Shed", "before-execution")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := u.recordExecution(r.Header.Get("Idempotency-Key"))
	if u.cfg.CrashPath != "" && r.URL.Path == u.cfg.CrashPath {
		u.crashed.Store(true)
		u.cancel()
		_ = u.server.Close()
		return
	}
	time.Sleep(u.cfg.ServiceTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answerBody{Upstream: u.cfg.ID, Path: r.URL.Path, Bytes: len(body), Run: n})
}

// answerBody is the JSON body of an answer.
type answerBody struct {
	Upstream string `json:"upstream"`
	Path     string `json:"path"`
	Bytes    int    `json:"bytes"`
	Run      int    `json:"run"`
}

// slotTimeout returns how long a request may wait for a slot: its deadline, or 1 s
// if it has none.
func (u *Upstream) slotTimeout(r *http.Request) time.Duration {
	left, err := time.ParseDuration(r.Header.Get("Agate-Deadline-Ms") + "ms")
	if err != nil {
		return time.Second
	}
	return left
}

// recordExecution records an execution and returns how often the key was executed, or 0 if
// it is empty.
func (u *Upstream) recordExecution(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastStart = time.Now()
	u.executed++
	if key == "" {
		return 0
	}
	u.runs[key]++
	return u.runs[key]
}

// Runs returns how often a request with an idempotency key was executed here.
func (u *Upstream) Runs(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[key]
}

// Crashed reports whether a request for CrashPath terminated the upstream.
func (u *Upstream) Crashed() bool { return u.crashed.Load() }

// LastStart returns when the execution of the latest request started.
func (u *Upstream) LastStart() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastStart
}

// Address returns the listen address.
func (u *Upstream) Address() netip.AddrPort { return u.server.Address() }

func (u *Upstream) announced() netip.AddrPort {
	if u.cfg.AnnouncedAddress.IsValid() {
		return u.cfg.AnnouncedAddress
	}
	return u.Address()
}

// Executed returns the number of requests executed.
func (u *Upstream) Executed() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.executed
}

// SuppressAnnouncements stops the announcements, or resumes them if suppressed is
// false.
func (u *Upstream) SuppressAnnouncements(suppressed bool) { u.suppressed.Store(suppressed) }

// SetState sets the announced state, "up", "draining" or "leaving", and announces
// it at once.
func (u *Upstream) SetState(state string) {
	u.state.Store(state)
	select {
	case u.announceNow <- struct{}{}:
	default: // an announcement is already pending
	}
}

// announceLoop sends announcements periodically until ctx ends.
func (u *Upstream) announceLoop(ctx context.Context) {
	interval := defaultAnnounceInterval
	for {
		if !u.suppressed.Load() {
			if requested := u.announce(ctx); requested > 0 {
				interval = requested
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-u.announceNow:
		case <-time.After(interval):
		}
	}
}

type announcementBody struct {
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

// announce sends an announcement to the first entry host that answers. It returns
// the announcement interval that the host requests, or 0 if none answers.
func (u *Upstream) announce(ctx context.Context) time.Duration {
	body, err := json.Marshal(announcementBody{
		ID:          u.cfg.ID,
		Incarnation: u.incarnation,
		Sequence:    u.sequence.Add(1),
		Service:     u.cfg.Service,
		Region:      u.cfg.Region,
		Domain:      u.cfg.Domain,
		Address:     u.announced().String(),
		Slots:       u.cfg.Slots,
		Connections: u.cfg.MaxConnections,
		Load:        float64(u.inFlight.Load()) / float64(u.cfg.Slots),
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
		Interval int64 `json:"interval"` // milliseconds
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&receipt) != nil {
		return 0, false
	}
	return time.Duration(receipt.Interval) * time.Millisecond, true
}

// Stop announces that the upstream is leaving, waits for its requests to finish
// and shuts it down.
func (u *Upstream) Stop(ctx context.Context) error {
	u.SetState("leaving")
	_ = u.announce(ctx)
	err := u.server.Shutdown(ctx)
	u.cancel()
	u.background.Wait()
	return err
}

// Kill terminates the upstream at once and closes its connections.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.server.Close()
	u.background.Wait()
}
