package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agateinventory"
	"agategate/io/agatedemo"
	"agategate/io/agateentry"
	"agategate/io/agateops"
	"agategate/io/agatesettings"
)

// reference is a row of a table of statuses in docs/api.md. Empty cells were
// left out of the table or not given.
type reference struct {
	endpoint string
	status   string
	outcome  string
	reasons  string
	retry    string
	hit      bool
}

// readReference returns the rows of the callers' interface.
func readReference(t *testing.T) []*reference {
	t.Helper()
	data, err := os.ReadFile("../docs/api.md")
	assert.NilError(t, err)
	_, page, ok := strings.Cut(string(data), "\n## Entry: callers\n")
	assert.Assert(t, ok)
	page, _, _ = strings.Cut(page, "\n## ")
	var rows []*reference
	var endpoint string
	var columns []string
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "### `") {
			endpoint = strings.Trim(strings.Fields(line)[2], "`")
			endpoint, _, _ = strings.Cut(endpoint, "?")
		}
		if !strings.HasPrefix(line, "|") {
			columns = nil
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		switch {
		case columns == nil:
			columns = cells
		case columns[0] == "status" && !strings.HasPrefix(cells[0], "--"):
			rows = append(rows, row(endpoint, columns, cells))
		}
	}
	return rows
}

func row(endpoint string, columns, cells []string) *reference {
	r := &reference{endpoint: endpoint}
	for i, c := range columns {
		switch strings.Trim(c, "`") {
		case "status":
			r.status = cells[i]
		case "Agate-Outcome":
			r.outcome = strings.Trim(cells[i], "`")
		case "Agate-Reason":
			r.reasons = cells[i]
		case "Retry-After":
			r.retry = cells[i]
		}
	}
	return r
}

// allows reports whether a reply is one that a row describes.
func (r *reference) allows(path string, got reply) bool {
	if !strings.HasPrefix(path, strings.TrimSuffix(r.endpoint, "SERVICE/PATH")) || r.outcome != got.outcome {
		return false
	}
	if r.status != "any" && r.status != strconv.Itoa(got.status) {
		return false
	}
	if got.reason != "" && !strings.Contains(r.reasons, "`"+got.reason+"`") {
		return false
	}
	return (got.retry != "") == (r.retry == "yes")
}

// reply is what a case of the data file got.
type reply struct {
	status  int
	outcome string
	reason  string
	retry   string
	id      string
	fields  string
}

// apiHosts are the hosts that the data file names.
type apiHosts struct {
	system *agatedemo.System
	hosts  map[string]netip.AddrPort
	// slow has an item when an upstream has received a request that it does
	// not answer.
	slow  chan struct{}
	later chan error
}

// TestCallersInterface guards against a reference page that differs from the
// code: each row of its tables is produced by a running system, and each reply
// of the data file is allowed by a row.
func TestCallersInterface(t *testing.T) {
	rows := readReference(t)
	assert.Assert(t, len(rows) >= 25, "only %d rows were found", len(rows))
	h := startAPI(t)
	data, err := os.ReadFile("testdata/api/callers.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		h.run(t, rows, line)
	}
	for _, r := range rows {
		assert.Check(t, r.hit, "no reply for the documented row %+v", *r)
	}
}

func (h *apiHosts) run(t *testing.T, rows []*reference, line string) {
	t.Helper()
	if line == "stop control" {
		for _, c := range h.system.Controls {
			c.Kill()
		}
		return
	}
	if rest, ok := strings.CutPrefix(line, "later "); ok {
		h.awaitSlow(t, strings.Fields(rest))
		return
	}
	line, again := strings.CutPrefix(line, "until ")
	ask, want, ok := strings.Cut(line, " -> ")
	assert.Assert(t, ok, line)
	words := strings.Fields(ask)
	got, err := h.send(words)
	for end := time.Now().Add(startTime); again && err == nil && time.Now().Before(end) && !strings.HasPrefix(want, strconv.Itoa(got.status)); {
		time.Sleep(20 * time.Millisecond)
		got, err = h.send(words)
	}
	assert.NilError(t, err, line)
	checkReply(t, line, strings.Fields(want), got)
	path := words[2]
	known := false
	for _, r := range rows {
		if r.allows(path, got) {
			r.hit = true
			known = true
		}
	}
	assert.Check(t, known, "docs/api.md describes no such reply: %s: %+v", line, got)
}

// awaitSlow sends a request in the background and waits until an upstream has
// it.
func (h *apiHosts) awaitSlow(t *testing.T, words []string) {
	t.Helper()
	for len(h.slow) > 0 {
		<-h.slow
	}
	go func() {
		_, err := h.send(words)
		h.later <- err
	}()
	select {
	case <-h.slow:
	case err := <-h.later:
		t.Fatalf("no upstream received the request: %v", err)
	case <-time.After(startTime):
		t.Fatal("no upstream received the request")
	}
}

func checkReply(t *testing.T, line string, want []string, got reply) {
	t.Helper()
	assert.Equal(t, len(want), 5, line)
	have := []string{strconv.Itoa(got.status), got.outcome, got.reason, got.retry, got.fields}
	for i, w := range want {
		value := have[i]
		if value == "" {
			value = "-"
		}
		assert.Check(t, w == value || w == "*", "%s: got %v", line, have)
	}
	// Every reply to a call that was read names its request.
	if strings.Contains(line, "/v1/call/") && got.status != http.StatusRequestHeaderFieldsTooLarge {
		assert.Check(t, regexp.MustCompile(`^[0-9a-f]{24}$`).MatchString(got.id), "%s: request %q", line, got.id)
	}
}

// endless is a body whose end never comes.
type endless struct{ ctx context.Context }

func (e endless) Read([]byte) (int, error) { <-e.ctx.Done(); return 0, e.ctx.Err() }

func (h *apiHosts) send(words []string) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	var body io.Reader
	header := http.Header{}
	for _, w := range words[3:] {
		if text, ok := strings.CutPrefix(w, "body="); ok {
			body = strings.NewReader(text)
			continue
		}
		if text, ok := strings.CutPrefix(w, "size="); ok {
			n, err := strconv.Atoi(text)
			if err != nil {
				return reply{}, err
			}
			body = io.Reader(endless{ctx})
			if n >= 0 {
				body = bytes.NewReader(bytes.Repeat([]byte(" "), n))
			}
			continue
		}
		name, value, _ := strings.Cut(w, ":")
		if value == "*" {
			value = strings.Repeat("x", 9000)
		}
		header.Set(name, value)
	}
	req, err := http.NewRequestWithContext(ctx, words[1], fmt.Sprintf("http://%s%s", h.hosts[words[0]], words[2]), body)
	if err != nil {
		return reply{}, err
	}
	req.Header = header
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Agate-Outcome"),
		reason:  resp.Header.Get("Agate-Reason"),
		retry:   resp.Header.Get("Retry-After"),
		id:      resp.Header.Get("Agate-Request"),
		fields:  fieldsOf(text),
	}, err
}

// fieldsOf lists the fields of a JSON object, or nothing for another body.
func fieldsOf(body []byte) string {
	var object map[string]any
	if json.Unmarshal(body, &object) != nil {
		return ""
	}
	var names []string
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// startAPI starts a system with the two hosts and their upstreams.
func startAPI(t *testing.T) *apiHosts {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTime)
	defer cancel()
	s, err := agatedemo.StartSystem(ctx, agatedemo.SystemConfig{Controls: 1, Entries: 2, Upstreams: 1})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	h := &apiHosts{
		system: s,
		hosts:  make(map[string]netip.AddrPort),
		slow:   make(chan struct{}, 64),
		later:  make(chan error, 1),
	}
	h.addService(ctx, t)
	strict := h.startHost(t, "strict", s.EntrySettings(0).Replicas)
	h.startHost(t, "starting", []netip.AddrPort{closedAddress(t)})
	h.awaitReady(ctx, t, strict)
	h.startUpstreams(ctx, t)
	return h
}

// addService adds the service whose upstreams end by a request.
func (h *apiHosts) addService(ctx context.Context, t *testing.T) {
	t.Helper()
	inv := h.system.Inventory()
	inv.Services = append(inv.Services, agateinventory.Service{
		Name: "crashes", Regions: inv.Services[0].Regions, Deadline: 4 * time.Second,
		Reads: []agateinventory.Operation{{Method: "GET", Path: "/quotes/*"}},
	})
	inv.Services[0].Reads = append(inv.Services[0].Reads, agateinventory.Operation{Method: "POST", Path: "/quotes/*"})
	_, err := h.system.Operator().Apply(ctx, agateops.ChangeRequest{ChangeID: "services", Base: 1, Document: agateinventory.Format(inv)})
	assert.NilError(t, err)
}

func closedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func (h *apiHosts) startHost(t *testing.T, name string, replicas []netip.AddrPort) *agateentry.Entry {
	t.Helper()
	settings := h.system.EntrySettings(0)
	settings.Name = name
	settings.Replicas = replicas
	settings.CallerAddr, settings.PeerAddr, settings.Admin = closedAddress(t), closedAddress(t), closedAddress(t)
	settings.Limit = agatesettings.EntryLimit{Queue: 8, Body: 4096, Reply: 4096, Header: 4096, Connections: 64}
	settings.Wait.Body = 300 * time.Millisecond
	settings.Wait.Control = 300 * time.Millisecond
	settings.Wait.Answer = 100 * time.Millisecond
	e, err := agateentry.Start(agateentry.Config{Settings: settings})
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	h.hosts[name] = settings.CallerAddr
	return e
}

func (h *apiHosts) awaitReady(ctx context.Context, t *testing.T, e *agateentry.Entry) {
	t.Helper()
	for e.Revision() < 2 || !e.Ready() {
		assert.NilError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
}

// startUpstreams starts one upstream for quotes and labels that answers as the
// path says, and two that end by a request.
func (h *apiHosts) startUpstreams(ctx context.Context, t *testing.T) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(h.answer))
	t.Cleanup(server.CloseClientConnections)
	addr := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	go h.announce(t.Context(), addr)
	for i := range 2 {
		u, err := agatedemo.StartUpstream(agatedemo.UpstreamConfig{
			ID: fmt.Sprintf("crashes-%d", i), Service: "crashes", Region: "centro", Domain: "centro-a",
			Address: netip.MustParseAddrPort("127.0.0.1:0"), CrashPath: "/quotes/crash", Entries: []netip.AddrPort{h.hosts["strict"]},
		})
		assert.NilError(t, err)
		t.Cleanup(u.Kill)
	}
	for _, path := range []string{"quotes/quotes/ok", "labels/labels", "crashes/quotes/ok"} {
		method := map[bool]string{true: "POST", false: "GET"}[path == "labels/labels"]
		for n := 0; ; n++ {
			got, err := h.send([]string{"strict", method, "/v1/call/" + path, fmt.Sprintf("Idempotency-Key:known-%d", n), "body=x"})
			if err == nil && got.outcome == "run" {
				break
			}
			assert.NilError(t, ctx.Err(), "%s: %+v", path, got)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// answer is the upstream.
func (h *apiHosts) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a request cut short ends below too
	body := `{"upstream":"u"}`
	switch r.URL.Path[strings.LastIndex(r.URL.Path, "/"):] {
	case "/labels":
		w.WriteHeader(http.StatusCreated)
	case "/error":
		w.WriteHeader(http.StatusInternalServerError)
	case "/shed":
		w.Header().Set("Agate-Shed", "before-execution")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/large":
		body = strings.Repeat("x", 8192)
	case "/broken":
		panic(http.ErrAbortHandler)
	case "/slow":
		h.slow <- struct{}{}
		<-r.Context().Done()
	}
	_, _ = io.WriteString(w, body) // the entry host may be gone
}

// apiUpstreams is the number of identities under which the upstream announces
// itself for each service. One that fails gets no new work for a while, so
// each failure needs others.
const apiUpstreams = 16

// announce keeps the upstreams known.
func (h *apiHosts) announce(ctx context.Context, addr netip.AddrPort) {
	for n := 1; ctx.Err() == nil; n++ {
		for _, service := range []string{"quotes", "labels"} {
			for i := range apiUpstreams {
				body := fmt.Sprintf(`body={"id":"%s-%d","incarnation":1,"sequence":%d,"service":%q,"region":"centro","domain":"centro-a","address":%q,"slots":8,"connections":400,"load":0,"state":"up"}`, service, i, n, service, addr)
				_, _ = h.send([]string{"strict", "POST", "/v1/announce", body}) // repeated
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}
