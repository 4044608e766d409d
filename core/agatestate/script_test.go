package agatestate_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
)

// A script consists of lines "TIME COMMAND key=value... -> VERDICT
// key=value...". TIME is the state time since the start. Each command gets the
// next log index. seen= defaults to the index of the previous command. "#"
// starts a comment. Other lines are:
//
//	config key=value...             start again with a new machine of this Config
//	snapshot                        replace the machine by one restored from its snapshot
//	suspects [since=INDEX] -> LIST  compare SuspectsSince
//	fleet [since=INDEX] -> LIST     compare Fleet
//	kept -> NUMBER                  compare the number of upstreams that are kept
//	members -> LIST                 compare the upstreams that get requests, with address and service
//
// "TIME flood id=PREFIX many=NUMBER key=value..." announces upstreams with different ids, and
// with different addresses unless it names one. It has no result.
//
// A document lists the services that the configuration names, separated by commas. Without
// one, it names all services but "unnamed".

// args holds the key=value words of a script line.
type args map[string]string

func parseArgs(words []string) args {
	a := args{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		a[k] = v
	}
	return a
}

func (a args) or(key, def string) string {
	if v, ok := a[key]; ok {
		return v
	}
	return def
}

func (a args) number(key string, def int) int {
	n, err := strconv.Atoi(a.or(key, strconv.Itoa(def)))
	if err != nil {
		panic(err)
	}
	return n
}

func (a args) duration(key, def string) time.Duration {
	d, err := time.ParseDuration(a.or(key, def))
	if err != nil {
		panic(err)
	}
	return d
}

func (a args) token() (t agatestate.Token) {
	copy(t[:], a["token"])
	return t
}

func (a args) payload() agatestate.PayloadHash { return sha256.Sum256([]byte(a.or("payload", "p"))) }

func (a args) fingerprints() (fps []agatestate.Fingerprint) {
	for _, p := range strings.Split(a["fingerprint"], ",") {
		fps = append(fps, sha256.Sum256([]byte(p)))
	}
	return fps
}

// upstream returns an announcement; addr= is the last byte of its IPv4 address.
func (a args) upstream() agatestate.Upstream {
	return agatestate.Upstream{
		ID:          a["id"],
		Service:     a.or("service", "labels"),
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(a.number("addr", 1))}), 80),
		Domain:      a.or("domain", "centro-1"),
		Slots:       a.number("slots", 3),
		StartedAtMs: int64(a.number("start", 1)),
		Sequence:    uint64(a.number("seq", 0)),
		Draining:    a.or("draining", "false") == "true",
		Gone:        a.or("gone", "false") == "true",
		WarmupLeft:  a.duration("cold", "0s"),
		Expired:     a.or("timed-out", "false") == "true",
	}
}

// flood returns announcements of many upstreams.
func (a args) flood() (out []agatestate.Command) {
	var ups []agatestate.Upstream
	for i := range a.number("many", 1) {
		up := a.upstream()
		up.ID += strconv.Itoa(i)
		if _, ok := a["addr"]; !ok {
			up.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(1 + i>>16), byte(i >> 8), byte(i)}), 80)
		}
		ups = append(ups, up)
	}
	for chunk := range slices.Chunk(ups, agatestate.MaxUpstreams) {
		out = append(out, agatestate.Command{Announce: &agatestate.Announce{Upstreams: chunk}})
	}
	return out
}

// command returns the command of a script line.
func command(verb string, a args, index uint64) agatestate.Command {
	service, key := a.or("service", "labels"), a.or("key", "k")
	switch verb {
	case "configure":
		return agatestate.Command{Configure: &agatestate.Configure{
			ChangeID: a["change"], Base: uint64(a.number("base", 0)),
			Document: []byte(a["doc"]), Operator: a.or("operator", "op"),
		}}
	case "claim":
		return agatestate.Command{Claim: &agatestate.Claim{
			Service: service, Key: key, PayloadHash: a.payload(), Holder: a.or("holder", "h"),
			Token: a.token(), Timeout: a.duration("timeout", "2s"),
			SeenIndex: uint64(a.number("seen", int(index)-1)),
		}}
	case "finish":
		return agatestate.Command{Finish: &agatestate.Finish{
			Service: service, Key: key, Token: a.token(),
			Answer: agatestate.Answer{Status: 200, Body: []byte(a["body"])},
		}}
	case "release":
		return agatestate.Command{Release: &agatestate.Release{Service: service, Key: key, PayloadHash: a.payload(), Token: a.token()}}
	case "refuse":
		return agatestate.Command{Refuse: &agatestate.Refuse{Service: service, Key: key, PayloadHash: a.payload()}}
	case "expire":
		return agatestate.Command{Expire: &agatestate.Expire{Limit: a.number("limit", 0)}}
	case "death":
		return agatestate.Command{Death: &agatestate.Death{
			Host: a.or("host", "h"), Upstream: a["upstream"],
			Incarnation: uint64(a.number("incarnation", 1)), Fingerprints: a.fingerprints(),
		}}
	case "clear-suspects":
		return agatestate.Command{ClearSuspects: &agatestate.ClearSuspects{Fingerprints: a.fingerprints()}}
	case "probe":
		return agatestate.Command{Probe: &agatestate.Probe{
			Fingerprint: a.fingerprints()[0], Upstream: a["upstream"], Incarnation: uint64(a.number("incarnation", 1)),
			Holder: "h", Token: a.token(), Timeout: a.duration("timeout", "2s"),
		}}
	case "limits":
		return agatestate.Command{Limits: &agatestate.Limits{
			Retention: a.duration("retention", "24h"), MaxRecords: a.number("records", 0),
			MaxBytes: a.number("bytes", 1<<20), MaxAnswerBytes: a.number("answer", 1<<10),
		}}
	case "announce":
		return agatestate.Command{Announce: &agatestate.Announce{Upstreams: []agatestate.Upstream{a.upstream()}}}
	case "evacuate":
		return agatestate.Command{Evacuate: &agatestate.Evacuate{Domain: a["domain"], On: a.or("on", "true") == "true"}}
	case "end-probe":
		outcomes := map[string]agatestate.ProbeOutcome{
			"survived": agatestate.Survived, "died": agatestate.Died, "not-started": agatestate.Inconclusive,
		}
		return agatestate.Command{EndProbe: &agatestate.EndProbe{
			Fingerprint: a.fingerprints()[0], Token: a.token(), Outcome: outcomes[a["outcome"]],
		}}
	}
	panic("unknown command " + verb)
}

// describe renders the verdict and those fields of a result that the script
// line names.
func describe(r agatestate.Result, want args) string {
	s := r.Verdict.String()
	for _, f := range []struct{ key, value string }{
		{"retry", r.RetryAfter.String()},
		{"revision", fmt.Sprint(r.Revision)},
		{"change", r.ChangeID},
		{"operator", r.Operator},
		{"count", fmt.Sprint(r.Count)},
		{"ran", fmt.Sprint(r.Ran)},
	} {
		if _, ok := want[f.key]; ok {
			s += " " + f.key + "=" + f.value
		}
	}
	if _, ok := want["body"]; ok && r.Answer != nil {
		s += " body=" + string(r.Answer.Body)
	}
	return s
}

func config(a args) agatestate.Config {
	return agatestate.Config{
		MaxRecords: a.number("records", 0), MaxBytes: a.number("bytes", 0), MaxAnswerBytes: a.number("answer", 0),
		MaxChanges: a.number("changes", 0), MaxSuspects: a.number("suspects", 0),
		Services: services,
	}
}

// services reports which services a document names.
func services(doc []byte) func(string) bool {
	if len(doc) == 0 {
		return func(service string) bool { return service != "unnamed" }
	}
	named := strings.Split(string(doc), ",")
	return func(service string) bool { return slices.Contains(named, service) }
}

// Each script guards one group of rules of the state machine. Its comments
// state the rules that the lines below them check.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runScript(t, file) })
	}
}

func runScript(t *testing.T, file string) {
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	cfg := config(args{})
	m := agatestate.New(cfg)
	index := uint64(0)
	for i, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		do, want, checked := strings.Cut(line, "->")
		words := strings.Fields(do)
		if len(words) == 0 {
			continue
		}
		at := fmt.Sprintf("%s:%d: %s", file, i+1, line)
		switch words[0] {
		case "config":
			cfg = config(parseArgs(words[1:]))
			m = agatestate.New(cfg)
			continue
		case "snapshot":
			m = restored(t, cfg, m)
			continue
		case "suspects":
			assert.Equal(t, suspects(m, parseArgs(words[1:])), strings.TrimSpace(want), at)
			continue
		}
		if words[0] == "kept" {
			assert.Equal(t, strconv.Itoa(len(m.Members())), strings.TrimSpace(want), at)
			continue
		}
		if words[0] == "members" {
			assert.Equal(t, members(m), strings.TrimSpace(want), at)
			continue
		}
		if words[0] == "fleet" {
			assert.Equal(t, fleet(m, parseArgs(words[1:])), strings.TrimSpace(want), at)
			continue
		}
		now, err := time.ParseDuration(words[0])
		assert.NilError(t, err, at)
		if words[1] == "flood" {
			for _, c := range parseArgs(words[2:]).flood() {
				index++
				c.Now = startMs + now.Milliseconds()
				m.Apply(index, agatestate.Encode(c))
			}
			continue
		}
		assert.Assert(t, checked, at)
		index++
		c := command(words[1], parseArgs(words[2:]), index)
		c.Now = startMs + now.Milliseconds()
		r, err := agatestate.DecodeResult(m.Apply(index, agatestate.Encode(c)))
		assert.NilError(t, err, at)
		expected := strings.Fields(want)
		assert.Equal(t, describe(r, parseArgs(expected[1:])), strings.Join(expected, " "), at)
	}
}

// suspects renders SuspectsSince as "full" or "delta" and fingerprint:deaths
// words.
func suspects(m *agatestate.Machine, a args) string {
	d := m.SuspectsSince(uint64(a.number("since", 0)))
	s := map[bool]string{true: "full", false: "delta"}[d.Full]
	for _, p := range d.Suspects {
		for _, known := range []string{"a", "b", "c", "d", "e"} {
			if p.Fingerprint == sha256.Sum256([]byte(known)) {
				s += fmt.Sprintf(" %s:%d", known, p.Deaths)
			}
		}
	}
	return s
}

// fleet renders the changes since an index as "full" or "delta", one word per
// upstream, and the evacuated failure domains.
func fleet(m *agatestate.Machine, a args) string {
	d := m.Fleet(uint64(a.number("since", 0)))
	s := map[bool]string{true: "full", false: "delta"}[d.Full]
	slices.SortFunc(d.Upstreams, func(x, y agatestate.Upstream) int { return strings.Compare(x.ID, y.ID) })
	for _, u := range d.Upstreams {
		s += " " + u.ID
		switch {
		case u.Expired:
			s += ":timed-out"
		case u.Gone:
			s += ":gone"
		case u.Draining:
			s += ":draining"
		case u.WarmupLeft > 0:
			s += ":cold=" + u.WarmupLeft.String()
		}
	}
	for _, name := range d.Evacuated {
		s += " evacuated:" + name
	}
	return s
}

// members renders the upstreams that get requests as ID@ADDRESS/SERVICE words.
func members(m *agatestate.Machine) string {
	var out []string
	for _, u := range m.Members() {
		if !u.Gone && !u.Draining {
			out = append(out, fmt.Sprintf("%s@%d/%s", u.ID, u.Address.Addr().As4()[3], u.Service))
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// restored returns a machine restored from the snapshot of m. It checks that
// the snapshot of the new machine has the same bytes.
func restored(t interface {
	assert.TestingT
	Helper()
}, cfg agatestate.Config, m *agatestate.Machine,
) *agatestate.Machine {
	t.Helper()
	b, err := m.Snapshot()
	assert.NilError(t, err)
	n := agatestate.New(cfg)
	assert.NilError(t, n.Restore(b))
	again, err := n.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(b, again), "snapshot of the restored machine differs")
	assert.Equal(t, n.Counts(), m.Counts())
	return n
}
