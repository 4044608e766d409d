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

// client does not reuse connections, so that a killed host cannot be told
// from one that was never reached by a stale connection.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// request is one request of a caller.
type request struct {
	host     netip.AddrPort
	service  string
	method   string
	path     string
	key      string
	body     string
	deadline time.Duration
}

// answer is what the caller got.
type answer struct {
	status  int
	outcome string
	reason  string
	retry   string
	id      string
	body    string
	took    time.Duration
	err     error
}

func (r request) do() answer {
	if r.deadline == 0 {
		r.deadline = 2 * time.Second
	}
	// The caller waits a little longer than its deadline, so that a late
	// answer shows as one.
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+2*time.Second)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/call/%s%s", r.host, r.service, r.path)
	req, err := http.NewRequestWithContext(ctx, r.method, url, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Agate-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err, outcome: "none", took: time.Since(begun)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err, outcome: "none", took: time.Since(begun)}
	}
	return answer{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Agate-Outcome"),
		reason:  resp.Header.Get("Agate-Reason"),
		retry:   resp.Header.Get("Retry-After"),
		id:      resp.Header.Get("Agate-Request"),
		body:    string(body),
		took:    time.Since(begun),
	}
}

// parse reads HOST SERVICE METHOD PATH [key=K] [body=B] [deadline=D].
func parse(ts *testscript.TestScript, args []string) request {
	need(ts, args, 4, "HOST SERVICE METHOD PATH [key=K] [body=B] [deadline=D]")
	opts := options(args[4:])
	r := request{
		host:    of(ts).entry(ts, args[0]).caller,
		service: args[1],
		method:  args[2],
		path:    args[3],
		key:     opts["key"],
		body:    opts["body"],
	}
	if opts["deadline"] != "" {
		r.deadline = span(ts, opts["deadline"])
	}
	return r
}

// doCall sends a request and keeps the answer; as=NAME names it. With
// retry=LIMIT it comes back while the answer is "in progress", as a caller does
// whose purchase is answered but not yet recorded.
func doCall(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	r := parse(ts, args)
	s.last = r.do()
	if limit := options(args)["retry"]; limit != "" {
		end := time.Now().Add(span(ts, limit))
		for s.last.status == http.StatusConflict && time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
			s.last = r.do()
		}
	}
	ts.Logf("%+v", s.last)
	ts.Setenv("REQUEST", s.last.id)
	if name := options(args)["as"]; name != "" {
		s.answers[name] = s.last
	}
}

// doSend sends a request in the background; await waits for its answer.
func doSend(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 5, "send NAME HOST SERVICE METHOD PATH ...")
	s := of(ts)
	r := parse(ts, args[1:])
	got := make(chan answer, 1)
	s.pending[args[0]] = got
	go func() { got <- r.do() }()
}

func doAwait(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	for _, name := range args {
		s.last = <-s.pending[name]
		s.answers[name] = s.last
		ts.Logf("%s: %+v", name, s.last)
	}
}

// wireHealth is the body of an entry host's GET /healthz.
type wireHealth struct {
	Ready     bool   `json:"ready"`
	Revision  uint64 `json:"revision"`
	Upstreams int    `json:"upstreams"`
}

func health(h host) (wireHealth, error) {
	var out wireHealth
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

// load is callers that follow look-ups and send reads all the time.
type load struct {
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// only is the host that all callers use, if there is one.
	only []netip.AddrPort

	mu       sync.Mutex
	answered int
	failures []string
}

// doLoad starts callers: load WORKERS [to=HOST]. They follow look-ups, or all
// use one host.
func doLoad(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1, "load WORKERS")
	s := of(ts)
	ctx, cancel := context.WithCancel(context.Background())
	s.load = &load{cancel: cancel}
	if to := options(args[1:])["to"]; to != "" {
		s.load.only = []netip.AddrPort{s.entry(ts, to).caller}
	}
	for w := range number(ts, args[0]) {
		s.load.workers.Go(func() { s.load.run(ctx, w, s.callers()) })
	}
}

func (l *load) stop() {
	l.cancel()
	l.workers.Wait()
}

// run is one caller. It keeps a look-up's answer for its lifetime and goes to
// the second host when the first does not accept a connection.
func (l *load) run(ctx context.Context, n int, all []netip.AddrPort) {
	var hosts []netip.AddrPort
	var expires time.Time
	for ctx.Err() == nil {
		switch {
		case l.only != nil:
			hosts = l.only
		case time.Now().After(expires):
			hosts, expires = lookup(ctx, all, fmt.Sprintf("10.%d.0.%d", n%len(places)+1, n+1))
		}
		a := answer{err: fmt.Errorf("no host")}
		for _, h := range hosts {
			a = request{host: h, service: "quotes", method: "GET", path: "/quotes/1", deadline: time.Second}.do()
			if a.err == nil {
				break
			}
		}
		if ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		if a.status == http.StatusOK && a.took <= time.Second {
			l.answered++
		} else {
			l.failures = append(l.failures, fmt.Sprintf("%v: %s %d %s %s %v %v", time.Now().Format("05.000"), a.id, a.status, a.outcome, a.reason, a.took, a.err))
		}
		l.mu.Unlock()
	}
}

// lookup asks the first entry host that answers.
func lookup(ctx context.Context, all []netip.AddrPort, from string) ([]netip.AddrPort, time.Time) {
	for _, at := range all {
		url := fmt.Sprintf("http://%s/v1/lookup?service=quotes&client=%s", at, from)
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
		age, bad := strconv.Atoi(strings.TrimPrefix(resp.Header.Get("Cache-Control"), "max-age="))
		if err != nil || bad != nil || len(body.Hosts) == 0 {
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

// doUnload stops the callers and checks their failures: unload [failures<=N].
func doUnload(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	s.load.stop()
	limit := 0
	if len(args) > 0 {
		limit = number(ts, strings.TrimPrefix(args[0], "failures<="))
	}
	ts.Logf("answered %d, failed %d", s.load.answered, len(s.load.failures))
	if len(s.load.failures) > limit || s.load.answered == 0 {
		s.showLogs(ts)
		ts.Fatalf("answered %d, failures: %s", s.load.answered, strings.Join(s.load.failures, "\n"))
	}
}
