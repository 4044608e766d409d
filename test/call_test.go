package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// client opens a connection for each request. A reused connection could fail
// because its host was killed before, which looks like a lost request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request is a call through an entry host.
type request struct {
	host     netip.AddrPort
	service  string
	method   string
	path     string
	key      string
	body     string
	deadline time.Duration
}

// response is the result of a call as the caller sees it. The outcome is "none"
// if no complete response arrived.
type response struct {
	status     int
	outcome    string
	reason     string
	retryAfter string
	requestID  string
	body       string
	elapsed    time.Duration
	err        error
}

func (r request) do() response {
	if r.deadline == 0 {
		r.deadline = 2 * time.Second
	}
	// The caller waits 2 s longer than its deadline, so that late responses are
	// recorded as such.
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+2*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/call/%s%s", r.host, r.service, r.path)
	req, err := http.NewRequestWithContext(ctx, r.method, url, strings.NewReader(r.body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Agate-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err, outcome: "none", elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{err: err, outcome: "none", elapsed: time.Since(start)}
	}
	return response{
		status:     resp.StatusCode,
		outcome:    resp.Header.Get("Agate-Outcome"),
		reason:     resp.Header.Get("Agate-Reason"),
		retryAfter: resp.Header.Get("Retry-After"),
		requestID:  resp.Header.Get("Agate-Request"),
		body:       string(body),
		elapsed:    time.Since(start),
	}
}

// parseRequest parses HOST SERVICE METHOD PATH [key=K] [body=B] [deadline=D]. It
// ignores other options.
func parseRequest(ts *testscript.TestScript, args []string) request {
	requireArgs(ts, args, 4, "HOST SERVICE METHOD PATH [key=K] [body=B] [deadline=D]")
	opts := parseOptions(args[4:])
	r := request{
		host:    systemOf(ts).entry(ts, args[0]).caller,
		service: args[1],
		method:  args[2],
		path:    args[3],
		key:     opts["key"],
		body:    opts["body"],
	}
	if opts["deadline"] != "" {
		r.deadline = parseDuration(ts, opts["deadline"])
	}
	return r
}

// doCall sends a request, stores the response as the last one, with as=NAME also
// under NAME, and sets $REQUEST to the request ID. With retry=LIMIT it repeats the
// request for up to LIMIT while the status is 409: an action may be answered before
// its result is recorded, and until then a repetition gets "in progress".
func doCall(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	r := parseRequest(ts, args)
	s.lastResponse = r.do()
	if limit := parseOptions(args)["retry"]; limit != "" {
		end := time.Now().Add(parseDuration(ts, limit))
		for s.lastResponse.status == http.StatusConflict && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
			s.lastResponse = r.do()
		}
	}
	ts.Logf("%+v", s.lastResponse)
	ts.Setenv("REQUEST", s.lastResponse.requestID)
	if name := parseOptions(args)["as"]; name != "" {
		s.responses[name] = s.lastResponse
	}
}

// doSend sends a request in the background: send NAME HOST SERVICE METHOD PATH.
// The command await waits for its response.
func doSend(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 5, "send NAME HOST SERVICE METHOD PATH ...")
	s := systemOf(ts)
	r := parseRequest(ts, args[1:])
	got := make(chan response, 1)
	s.pending[args[0]] = got
	go func() { got <- r.do() }()
}

func doAwait(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	for _, name := range args {
		s.lastResponse = <-s.pending[name]
		s.responses[name] = s.lastResponse
		ts.Logf("%s: %+v", name, s.lastResponse)
	}
}

// healthStatus is the response body of GET /healthz on an entry host.
type healthStatus struct {
	Ready     bool   `json:"ready"`
	Revision  uint64 `json:"revision"`
	Upstreams int    `json:"upstreams"`
}

func fetchHealth(h host) (healthStatus, error) {
	var out healthStatus
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.admin.String()+"/healthz", nil)
	if err != nil {
		return out, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// load is a group of callers that send reads continuously.
type load struct {
	cancel  context.CancelFunc
	callers sync.WaitGroup
	// fixedHosts holds the entry host that all callers use. If it is empty, they
	// use the hosts that lookups return.
	fixedHosts []netip.AddrPort

	mu        sync.Mutex
	succeeded int
	failures  []string
}

// doStartLoad starts callers: start-load CALLERS [to=HOST]. They use the hosts
// that lookups return, or all use one host.
func doStartLoad(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 1, "start-load CALLERS [to=HOST]")
	s := systemOf(ts)
	ctx, cancel := context.WithCancel(context.Background())
	s.load = &load{cancel: cancel}
	if to := parseOptions(args[1:])["to"]; to != "" {
		s.load.fixedHosts = []netip.AddrPort{s.entry(ts, to).caller}
	}
	for w := range parseInt(ts, args[0]) {
		s.load.callers.Go(func() { s.load.run(ctx, w, s.callerAddrs()) })
	}
}

func (l *load) stop() {
	l.cancel()
	l.callers.Wait()
}

// run sends the requests of one caller until ctx ends. It caches the hosts that a
// lookup returns for their max-age and tries the next host when one does not
// answer.
func (l *load) run(ctx context.Context, n int, entryAddrs []netip.AddrPort) {
	var hosts []netip.AddrPort
	var expires time.Time
	for ctx.Err() == nil {
		switch {
		case l.fixedHosts != nil:
			hosts = l.fixedHosts
		case time.Now().After(expires):
			hosts, expires = lookup(ctx, entryAddrs, fmt.Sprintf("10.%d.0.%d", n%len(regionNames)+1, n+1))
		}
		resp := response{err: fmt.Errorf("lookup returned no host")}
		for _, h := range hosts {
			resp = request{host: h, service: "quotes", method: "GET", path: "/quotes/1", deadline: time.Second}.do()
			if resp.err == nil {
				break
			}
		}
		if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		if resp.status == http.StatusOK && resp.elapsed <= time.Second {
			l.succeeded++
		} else {
			l.failures = append(l.failures, fmt.Sprintf("%v: %s %d %s %s %v %v", time.Now().Format("05.000"), resp.requestID, resp.status, resp.outcome, resp.reason, resp.elapsed, resp.err))
		}
		l.mu.Unlock()
	}
}

// lookup returns the hosts that the first reachable entry host recommends to a
// client address, and the time until which the result may be cached.
func lookup(ctx context.Context, entryAddrs []netip.AddrPort, clientAddr string) ([]netip.AddrPort, time.Time) {
	for _, addr := range entryAddrs {
		url := fmt.Sprintf("http://%s/v1/lookup?service=quotes&client=%s", addr, clientAddr)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, time.Time{}
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		var body struct {
			Hosts []struct {
				Caller netip.AddrPort `json:"caller"`
			} `json:"hosts"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		_ = resp.Body.Close()
		age, ageErr := strconv.Atoi(strings.TrimPrefix(resp.Header.Get("Cache-Control"), "max-age="))
		if err != nil || ageErr != nil || len(body.Hosts) == 0 {
			continue
		}
		var hosts []netip.AddrPort
		for _, h := range body.Hosts {
			hosts = append(hosts, h.Caller)
		}
		return hosts, time.Now().Add(time.Duration(age) * time.Second)
	}
	return nil, time.Time{}
}

// doStopLoad stops the callers: stop-load [failures<=N]. It fails if more than N
// requests, by default none, have failed or none has succeeded. A response after
// more than 1 s counts as a failure.
func doStopLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := systemOf(ts)
	s.load.stop()
	limit := 0
	if len(args) > 0 {
		limit = parseInt(ts, strings.TrimPrefix(args[0], "failures<="))
	}
	ts.Logf("succeeded %d, failed %d", s.load.succeeded, len(s.load.failures))
	if len(s.load.failures) > limit || s.load.succeeded == 0 {
		s.showLogs(ts)
		ts.Fatalf("succeeded %d, failures: %s", s.load.succeeded, strings.Join(s.load.failures, "\n"))
	}
}
