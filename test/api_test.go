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

// docRow is a row of a status table in docs/api.md. A field is empty if the table
// has no such column or the cell is empty. The field covered is set once a response
// has matched the row.
type docRow struct {
	endpoint   string
	status     string
	outcome    string
	reasons    string
	retryAfter string
	covered    bool
}

// readDocRows returns the rows that docs/api.md lists for the callers' interface.
func readDocRows(t *testing.T) []*docRow {
	t.Helper()
	data, err := os.ReadFile("../docs/api.md")
	assert.NilError(t, err)
	_, page, ok := strings.Cut(string(data), "\n## Entry: callers\n")
	assert.Assert(t, ok)
	page, _, _ = strings.Cut(page, "\n## ")
	var rows []*docRow
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
			rows = append(rows, parseDocRow(endpoint, columns, cells))
		}
	}
	return rows
}

func parseDocRow(endpoint string, columns, cells []string) *docRow {
	r := &docRow{endpoint: endpoint}
	for i, c := range columns {
		switch strings.Trim(c, "`") {
		case "status":
			r.status = cells[i]
		case "Agate-Outcome":
			r.outcome = strings.Trim(cells[i], "`")
		case "Agate-Reason":
			r.reasons = cells[i]
		case "Retry-After":
			r.retryAfter = cells[i]
		}
	}
	return r
}

// allows reports whether the row describes a response to a request for path.
func (r *docRow) allows(path string, got apiResponse) bool {
	if !strings.HasPrefix(path, strings.TrimSuffix(r.endpoint, "SERVICE/PATH")) || r.outcome != got.outcome {
		return false
	}
	if r.status != "any" && r.status != strconv.Itoa(got.status) {
		return false
	}
	if got.reason != "" && !strings.Contains(r.reasons, "`"+got.reason+"`") {
		return false
	}
	return (got.retryAfter != "") == (r.retryAfter == "yes")
}

// apiResponse holds the parts of an HTTP response that the test compares. The field
// jsonFields lists the field names of a JSON body.
type apiResponse struct {
	status     int
	outcome    string
	reason     string
	retryAfter string
	requestID  string
	jsonFields string
}

// apiFixture is a running system with the hosts that the data file names.
type apiFixture struct {
	system *agatedemo.System
	// hosts maps the names of entry hosts to their caller addresses.
	hosts map[string]netip.AddrPort
	// slowRequests receives an item whenever the upstream receives a request
	// that it does not answer.
	slowRequests     chan struct{}
	backgroundResult chan error
}

// TestCallersInterface guards against differences between the reference page and
// the code. Each row of the page's tables must occur in a running system, and
// each response to a request of the data file must match a row.
func TestCallersInterface(t *testing.T) {
	rows := readDocRows(t)
	assert.Assert(t, len(rows) >= 25, "found only %d rows in docs/api.md", len(rows))
	f := startAPI(t)
	data, err := os.ReadFile("testdata/api/callers.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		f.runLine(t, rows, line)
	}
	for _, r := range rows {
		assert.Check(t, r.covered, "no response matched the documented row %+v", *r)
	}
}

// runLine executes a line of testdata/api/callers.txt.
func (f *apiFixture) runLine(t *testing.T, rows []*docRow, line string) {
	t.Helper()
	if line == "stop control" {
		for _, c := range f.system.Controls {
			c.Kill()
		}
		return
	}
	if rest, ok := strings.CutPrefix(line, "background "); ok {
		f.sendInBackground(t, strings.Fields(rest))
		return
	}
	line, repeat := strings.CutPrefix(line, "retry ")
	requestText, want, ok := strings.Cut(line, " -> ")
	assert.Assert(t, ok, line)
	words := strings.Fields(requestText)
	got, err := f.send(words)
	for end := time.Now().Add(waitTimeout); repeat && err == nil && time.Now().Before(end) && !strings.HasPrefix(want, strconv.Itoa(got.status)); {
		time.Sleep(20 * time.Millisecond)
		got, err = f.send(words)
	}
	assert.NilError(t, err, line)
	checkResponse(t, line, strings.Fields(want), got)
	path := words[2]
	documented := false
	for _, r := range rows {
		if r.allows(path, got) {
			r.covered = true
			documented = true
		}
	}
	assert.Check(t, documented, "no row of docs/api.md describes the response: %s: %+v", line, got)
}

// sendInBackground sends a request in the background and waits until an upstream
// has received it.
func (f *apiFixture) sendInBackground(t *testing.T, words []string) {
	t.Helper()
	for len(f.slowRequests) > 0 {
		<-f.slowRequests
	}
	go func() {
		_, err := f.send(words)
		f.backgroundResult <- err
	}()
	select {
	case <-f.slowRequests:
	case err := <-f.backgroundResult:
		t.Fatalf("no upstream received the request: %v", err)
	case <-time.After(waitTimeout):
		t.Fatal("no upstream received the request")
	}
}

func checkResponse(t *testing.T, line string, want []string, got apiResponse) {
	t.Helper()
	assert.Equal(t, len(want), 5, line)
	have := []string{strconv.Itoa(got.status), got.outcome, got.reason, got.retryAfter, got.jsonFields}
	for i, w := range want {
		value := have[i]
		if value == "" {
			value = "-"
		}
		assert.Check(t, w == value || w == "*", "%s: got %v", line, have)
	}
	// Every response to a call carries a request ID, except when the request's
	// header was too large to be read.
	if strings.Contains(line, "/v1/call/") && got.status != http.StatusRequestHeaderFieldsTooLarge {
		assert.Check(t, regexp.MustCompile(`^[0-9a-f]{24}$`).MatchString(got.requestID), "%s: request ID %q", line, got.requestID)
	}
}

// blockingBody is a request body whose reads block until ctx ends.
type blockingBody struct{ ctx context.Context }

func (e blockingBody) Read([]byte) (int, error) { <-e.ctx.Done(); return 0, e.ctx.Err() }

// send sends the request that words describe: HOST METHOD TARGET and options, as in
// testdata/api/callers.txt.
func (f *apiFixture) send(words []string) (apiResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
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
				return apiResponse{}, err
			}
			body = io.Reader(blockingBody{ctx})
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
	req, err := http.NewRequestWithContext(ctx, words[1], fmt.Sprintf("http://%s%s", f.hosts[words[0]], words[2]), body)
	if err != nil {
		return apiResponse{}, err
	}
	req.Header = header
	resp, err := client.Do(req)
	if err != nil {
		return apiResponse{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return apiResponse{
		status:     resp.StatusCode,
		outcome:    resp.Header.Get("Agate-Outcome"),
		reason:     resp.Header.Get("Agate-Reason"),
		retryAfter: resp.Header.Get("Retry-After"),
		requestID:  resp.Header.Get("Agate-Request"),
		jsonFields: jsonFieldNames(text),
	}, err
}

// jsonFieldNames returns the sorted field names of a JSON object, separated by
// commas. It returns an empty string for any other body.
func jsonFieldNames(body []byte) string {
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

// startAPI starts a system with the host "strict", which has small limits, and the
// host "starting", which reaches no control group. It waits until calls through
// "strict" succeed.
func startAPI(t *testing.T) *apiFixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	s, err := agatedemo.StartSystem(ctx, agatedemo.SystemConfig{Controls: 1, Entries: 2, Upstreams: 1})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	f := &apiFixture{
		system:           s,
		hosts:            make(map[string]netip.AddrPort),
		slowRequests:     make(chan struct{}, 64),
		backgroundResult: make(chan error, 1),
	}
	f.addService(ctx, t)
	strict := f.startHost(t, "strict", s.EntrySettings(0).Replicas)
	f.startHost(t, "starting", []netip.AddrPort{unusedAddr(t)})
	f.awaitReady(ctx, t, strict)
	f.startUpstreams(ctx, t)
	return f
}

// addService adds the service "crashes", whose upstreams crash on a request. It also
// declares POST /quotes/* a read of the service quotes, so that reads can have
// bodies.
func (f *apiFixture) addService(ctx context.Context, t *testing.T) {
	t.Helper()
	inv := f.system.Inventory()
	inv.Services = append(inv.Services, agateinventory.Service{
		Name: "crashes", Regions: inv.Services[0].Regions, Deadline: 4 * time.Second,
		Reads: []agateinventory.Operation{{Method: "GET", Path: "/quotes/*"}},
	})
	inv.Services[0].Reads = append(inv.Services[0].Reads, agateinventory.Operation{Method: "POST", Path: "/quotes/*"})
	_, err := f.system.Operator().Apply(ctx, agateops.ChangeRequest{ChangeID: "services", Base: 1, Document: agateinventory.Format(inv)})
	assert.NilError(t, err)
}

func unusedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

func (f *apiFixture) startHost(t *testing.T, name string, replicas []netip.AddrPort) *agateentry.Entry {
	t.Helper()
	settings := f.system.EntrySettings(0)
	settings.Name = name
	settings.Replicas = replicas
	settings.CallerAddr, settings.PeerAddr, settings.Admin = unusedAddr(t), unusedAddr(t), unusedAddr(t)
	// The sizes in bytes are so small that requests of callers.txt exceed them.
	settings.Limit = agatesettings.EntryLimit{Queue: 8, Body: 4096, Reply: 4096, Header: 4096, Connections: 64}
	settings.Wait.Body = 300 * time.Millisecond
	settings.Wait.Control = 300 * time.Millisecond
	settings.Wait.Answer = 100 * time.Millisecond
	e, err := agateentry.Start(agateentry.Config{Settings: settings})
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	f.hosts[name] = settings.CallerAddr
	return e
}

func (f *apiFixture) awaitReady(ctx context.Context, t *testing.T, e *agateentry.Entry) {
	t.Helper()
	for e.Revision() < 2 || !e.Ready() {
		assert.NilError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
}

// startUpstreams starts an upstream for quotes and labels, whose response depends
// on the path, and two upstreams that crash on a request. It waits until calls to
// all three services succeed.
func (f *apiFixture) startUpstreams(ctx context.Context, t *testing.T) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(f.serveUpstream))
	t.Cleanup(server.CloseClientConnections)
	addr := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	go f.announce(t.Context(), addr)
	for i := range 2 {
		u, err := agatedemo.StartUpstream(agatedemo.UpstreamConfig{
			ID: fmt.Sprintf("crashes-%d", i), Service: "crashes", Region: "centro", Domain: "centro-a",
			Address: netip.MustParseAddrPort("127.0.0.1:0"), CrashPath: "/quotes/crash", Entries: []netip.AddrPort{f.hosts["strict"]},
		})
		assert.NilError(t, err)
		t.Cleanup(u.Kill)
	}
	for _, path := range []string{"quotes/quotes/ok", "labels/labels", "crashes/quotes/ok"} {
		method := map[bool]string{true: "POST", false: "GET"}[path == "labels/labels"]
		for n := 0; ; n++ {
			got, err := f.send([]string{"strict", method, "/v1/call/" + path, fmt.Sprintf("Idempotency-Key:known-%d", n), "body=x"})
			if err == nil && got.outcome == "run" {
				break
			}
			assert.NilError(t, ctx.Err(), "%s: %+v", path, got)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// serveUpstream serves quotes and labels. The last part of the path selects the
// response or the failure.
func (f *apiFixture) serveUpstream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a truncated request body is handled like a complete one
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
		f.slowRequests <- struct{}{}
		<-r.Context().Done()
	}
	_, _ = io.WriteString(w, body) // fails if the entry host has closed the connection
}

// upstreamIDs is the number of upstream IDs that are announced for the test server,
// for each service. An ID whose request fails gets no requests for a while, so each
// failure in callers.txt uses up one.
const upstreamIDs = 16

// announce announces all upstream IDs every 200 ms until ctx ends.
func (f *apiFixture) announce(ctx context.Context, addr netip.AddrPort) {
	for n := 1; ctx.Err() == nil; n++ {
		for _, service := range []string{"quotes", "labels"} {
			for i := range upstreamIDs {
				body := fmt.Sprintf(`body={"id":"%s-%d","incarnation":1,"sequence":%d,"service":%q,"region":"centro","domain":"centro-a","address":%q,"slots":8,"connections":400,"load":0,"state":"up"}`, service, i, n, service, addr)
				_, _ = f.send([]string{"strict", "POST", "/v1/announce", body}) // a failed announcement is sent again in the next round
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}
