package agateops_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"agategate/core/agateinventory"
	"agategate/internal/agatebuffer"
	"agategate/internal/agateserve"
	"agategate/io/agateops"
)

// Guards against incompatible changes of statuses, headers and bodies, which
// tools rely on.
func TestExchanges(t *testing.T) {
	ar, err := txtar.ParseFile("testdata/http.txtar")
	assert.NilError(t, err)
	handler := agateops.New(newGroup().replica("control-1", func() string { return "" }))
	for _, f := range ar.Files {
		request, want, ok := strings.Cut(string(f.Data), "=>\n")
		assert.Assert(t, ok, f.Name)
		got := exchange(handler, request)
		status, parts, _ := strings.Cut(want, "\n")
		assert.Equal(t, strings.Fields(got)[1], status, "%s: %s", f.Name, got)
		for line := range strings.Lines(parts) {
			assert.Assert(t, strings.Contains(got, strings.TrimSpace(line)), "%s: no %s in %s", f.Name, line, got)
		}
	}
}

// exchange sends a request of the script and returns the status line, headers
// and body of the reply.
func exchange(handler http.Handler, request string) string {
	line, rest, _ := strings.Cut(request, "\n")
	method, path, _ := strings.Cut(line, " ")
	header := http.Header{}
	for strings.HasPrefix(rest, "> ") {
		line, rest, _ = strings.Cut(rest[2:], "\n")
		key, val, _ := strings.Cut(line, ": ")
		header.Set(key, val)
	}
	req := httptest.NewRequest(method, path, strings.NewReader(rest))
	req.Header = header
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, req)
	var b bytes.Buffer
	fmt.Fprintf(&b, "status %d\n", w.Code)
	_ = w.Header().Write(&b)
	b.Write(w.Body.Bytes())
	return b.String()
}

func outcomeOf(t *testing.T, err error) agateops.Outcome {
	t.Helper()
	if err == nil {
		return agateops.Done
	}
	var call *agateops.CallError
	assert.Assert(t, errors.As(err, &call), "%v", err)
	return call.Outcome
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func change(id string, base uint64) agateops.ChangeRequest {
	return agateops.ChangeRequest{ChangeID: id, Base: base, Document: []byte(document)}
}

// Guards against a follower that does not redirect the client to the leader.
func TestClientFollowsLeader(t *testing.T) {
	g := newGroup()
	a, b := g.start(t, "a"), g.start(t, "b")
	g.leader = b.Listener.Addr().String()
	rev, err := g.client(t, a, b).Apply(withTimeout(t, 10*time.Second), change("c1", 0))
	assert.NilError(t, err)
	assert.Equal(t, rev.Revision, uint64(1))
	resp, err := http.DefaultTransport.RoundTrip(httptest.NewRequest("GET", a.URL+"/v1/status?x=1", nil))
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 307)
	assert.Equal(t, resp.Header.Get("Location"), b.URL+"/v1/status?x=1")
	assert.Equal(t, resp.Header.Get("Agate-Leader"), g.leader)
	assert.Equal(t, resp.Header.Get("Agate-Outcome"), "not-run")
}

// Guards against endless redirects between replicas that name each other as
// leader, and against waiting for a leader past the deadline.
func TestClientWithoutLeader(t *testing.T) {
	g := newGroup()
	a := g.start(t, "a")
	g.leader = "?"
	_, err := g.client(t, a).Apply(withTimeout(t, 900*time.Millisecond), change("c1", 0))
	assert.Equal(t, outcomeOf(t, err), agateops.NotRun)
	var hops atomic.Int32
	loop := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hops.Add(1)
		http.Redirect(w, r, "http://"+r.Host+r.URL.Path, http.StatusTemporaryRedirect)
	}))
	defer loop.Close()
	c, err := agateops.NewClient(agateops.ClientConfig{Hosts: []string{loop.URL}, RetryDelay: time.Minute})
	assert.NilError(t, err)
	_, err = c.Config(withTimeout(t, 10*time.Second))
	assert.Equal(t, outcomeOf(t, err), agateops.NotRun)
	assert.Equal(t, hops.Load(), int32(3))
}

// Guards against a change that is applied twice when its reply was lost: the
// resent request must get the stored result.
func TestClientResendsUnknownResult(t *testing.T) {
	g := newGroup()
	lost := dropReply(t, agateops.New(g.replica("a", func() string { return "" })))
	b := g.start(t, "b")
	rev, err := g.client(t, lost, b).Apply(withTimeout(t, 10*time.Second), change("c1", 0))
	assert.NilError(t, err)
	assert.Equal(t, rev.Revision, uint64(1))
	assert.Equal(t, g.accepted, 1)
	fails := 2
	g.alterResult = func(_ string, r agateops.ChangeResult) agateops.ChangeResult {
		if fails--; fails >= 0 {
			r.Reply = agateops.Reply{Outcome: agateops.Unknown, Reason: "the majority did not answer in time"}
		}
		return r
	}
	rev, err = g.client(t, b).Apply(withTimeout(t, 20*time.Second), change("c2", 1))
	assert.NilError(t, err)
	assert.Equal(t, rev.Revision, uint64(2))
	assert.Equal(t, g.accepted, 2)
}

// Guards against reporting NotRun for a change that an earlier attempt may have
// applied. Attempts that reached no replica are NotRun.
func TestClientReportsUnknown(t *testing.T) {
	g := newGroup()
	lost := dropReply(t, agateops.New(g.replica("a", func() string { return "" })))
	b := g.start(t, "b")
	g.down["b"] = true
	_, err := g.client(t, lost, b).Apply(withTimeout(t, 900*time.Millisecond), change("c1", 0))
	assert.Equal(t, outcomeOf(t, err), agateops.Unknown)
	g.down["a"] = true
	_, err = g.client(t, b).Apply(withTimeout(t, 900*time.Millisecond), change("c2", 0))
	assert.Equal(t, outcomeOf(t, err), agateops.NotRun)
	closed := httptest.NewServer(nil)
	closed.Close()
	_, err = g.client(t, closed).Apply(withTimeout(t, 300*time.Millisecond), change("c3", 0))
	assert.Equal(t, outcomeOf(t, err), agateops.NotRun)
}

// Guards against lost updates: of two changes based on the same revision one
// must win, and the conflict must identify the winner.
func TestOperatorsRace(t *testing.T) {
	g := newGroup()
	a := g.start(t, "a")
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		c := g.client(t, a)
		wg.Go(func() { _, errs[i] = c.Apply(withTimeout(t, 10*time.Second), change(fmt.Sprint("c", i), 0)) })
	}
	wg.Wait()
	won, lost := 0, 1
	if errs[0] != nil {
		won, lost = 1, 0
	}
	assert.NilError(t, errs[won])
	var call *agateops.CallError
	assert.Assert(t, errors.As(errs[lost], &call))
	assert.Equal(t, call.Outcome, agateops.Conflict)
	assert.Equal(t, call.ChangeID, fmt.Sprint("c", won))
	assert.Equal(t, call.Revision, uint64(1))
}

// Guards against lost drains: concurrent drains must all take effect, whether or
// not the group stores the results of conflicting changes.
func TestConcurrentDrains(t *testing.T) {
	for _, forgetConflicts := range []bool{false, true} {
		g := newGroup()
		g.forgetConflicts = forgetConflicts
		a := g.start(t, "a")
		_, err := g.client(t, a).Apply(withTimeout(t, 10*time.Second), change("c0", 0))
		assert.NilError(t, err)
		var wg sync.WaitGroup
		for i := range 5 {
			c := g.client(t, a)
			wg.Go(func() {
				_, err := c.Drain(withTimeout(t, 10*time.Second), agateops.DrainRequest{
					Kind: agateinventory.DrainUpstream, Name: fmt.Sprint("labels-", i), ChangeID: fmt.Sprint("d", i),
				})
				assert.Check(t, err)
			})
		}
		wg.Wait()
		inv, problems := agateinventory.Parse("f", g.current.Document)
		assert.Equal(t, len(problems), 0)
		assert.Equal(t, len(inv.Drains), 5)
	}
}

// Guards against a resent drain that drains again after an undrain: it must get
// the stored result.
func TestResentDrain(t *testing.T) {
	for _, forgetConflicts := range []bool{false, true} {
		g := newGroup()
		g.forgetConflicts = forgetConflicts
		c := g.client(t, g.start(t, "a"))
		ctx := withTimeout(t, 10*time.Second)
		_, err := c.Apply(ctx, change("c0", 0))
		assert.NilError(t, err)
		drain := agateops.DrainRequest{Kind: agateinventory.DrainDomain, Name: "centro-a", ChangeID: "d1"}
		conflicted := false
		// Force a conflict, so that the drain uses a second change id.
		g.beforeApply = func() {
			if !conflicted {
				conflicted = true
				g.apply(agateops.ChangeRequest{ChangeID: "x", Base: g.current.Revision, Document: g.current.Document})
			}
		}
		first, err := c.Drain(ctx, drain)
		assert.NilError(t, err)
		undrain := drain
		undrain.ChangeID = "u1"
		_, err = c.Undrain(ctx, undrain)
		assert.NilError(t, err)
		again, err := c.Drain(ctx, drain)
		assert.NilError(t, err)
		assert.Equal(t, again.Revision, first.Revision)
		assert.Assert(t, !strings.Contains(string(g.current.Document), "drain"))
	}
}

// Guards against resending a membership change, which carries no change id,
// after an unknown result.
func TestMembershipChangeIsSentOnce(t *testing.T) {
	var sent atomic.Int32
	lost := dropReply(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sent.Add(1) }))
	c, err := agateops.NewClient(agateops.ClientConfig{Hosts: []string{lost.URL}, RetryDelay: time.Millisecond})
	assert.NilError(t, err)
	_, err = c.ChangeMember(withTimeout(t, time.Second), agateops.MemberRequest{Action: agateops.Remove, ID: 3})
	assert.Equal(t, outcomeOf(t, err), agateops.Unknown)
	assert.Equal(t, sent.Load(), int32(1))
}

// Guards against accepting malformed control host addresses.
func TestClientRefusesAddresses(t *testing.T) {
	for _, host := range []string{"", "ftp://a", "http://", "http://a/path", ":/x"} {
		_, err := agateops.NewClient(agateops.ClientConfig{Hosts: []string{host}})
		assert.Assert(t, err != nil, host)
	}
	_, err := agateops.NewClient(agateops.ClientConfig{})
	assert.Assert(t, err != nil)
}

// Guards against exhaustion of a control host by slow clients, large bodies and
// many connections.
func TestServerLimits(t *testing.T) {
	g := newGroup()
	cfg := g.replica("a", func() string { return "" })
	cfg.MaxBodyBytes = 100 << 10
	account := agatebuffer.New(agatebuffer.Config{Bytes: 64 << 10, Holders: 1})
	srv, err := agateserve.Start(agateserve.Config{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: agateops.New(cfg),
		HeaderTimeout: 200 * time.Millisecond, ReadTimeout: 400 * time.Millisecond, MaxConns: 2, Account: account,
	})
	assert.NilError(t, err)
	defer srv.Close()
	status := func(request string) string {
		conn, err := net.Dial("tcp", srv.Address().String())
		assert.NilError(t, err)
		defer conn.Close()
		fmt.Fprint(conn, request)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return strings.TrimSpace(line)
	}
	put := "PUT /v1/config HTTP/1.1\r\nHost: a\r\nAgate-Change: c\r\nIf-Match: 0\r\n"
	assert.Equal(t, status(put+"Content-Length: 200000\r\n\r\n"+strings.Repeat("#", 2000)), "HTTP/1.1 413 Request Entity Too Large")
	assert.Equal(t, status("GET /v1/status HTTP/1.1\r\nHost: a\r\nX: "), "")
	dial := func(request string) net.Conn {
		conn, err := net.Dial("tcp", srv.Address().String())
		assert.NilError(t, err)
		fmt.Fprint(conn, request)
		return conn
	}
	// A slow upload keeps no other one out, and ends at its timeout.
	slow := dial(put + "Content-Length: 100\r\n\r\n#")
	defer slow.Close()
	assert.Equal(t, status(put+"Content-Length: 1\r\n\r\n!"), "HTTP/1.1 422 Unprocessable Entity")
	reply, _ := io.ReadAll(slow)
	assert.Assert(t, len(reply) == 0 || strings.HasPrefix(string(reply), "HTTP/1.1 400"), "%s", reply)
	// An upload for which there is no memory is refused, and one beside it is not.
	large := put + "Content-Length: 100000\r\n\r\n" + strings.Repeat("#", 99999)
	slow = dial(large)
	defer slow.Close()
	assert.Equal(t, status(large), "HTTP/1.1 503 Service Unavailable")
	assert.Equal(t, status("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 200 OK")
	// Beyond the limit of connections, the oldest one without a request is closed.
	oldest := dial("")
	defer oldest.Close()
	eventually(t, func() bool { return srv.OpenConns() == 1 })
	defer dial("").Close()
	eventually(t, func() bool { return srv.OpenConns() == 2 })
	assert.Equal(t, status("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"), "HTTP/1.1 200 OK")
	_, err = oldest.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Assert(t, srv.OpenConns() <= 2)
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); {
		assert.Assert(t, time.Now().Before(end), "the condition does not hold")
	}
}
