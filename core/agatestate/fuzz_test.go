package agatestate_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/core/agatestate"
)

// TestMain sets the defaults of the seed and the length of the randomized
// tests; flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "300", "rapid.steps": "100",
		"rapid.shrinktime": "2s",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	startMs = 1e12 // state time at the start of the tests, Unix ms
	holdMs  = 1000 // default tombstone hold
	graceMs = 5000 // default grace
)

// keyState is the expected state of one key.
type keyState struct {
	token        agatestate.Token // of the granted claim, unless released or expired
	retainFrom   int64            // state time at which the record becomes unknown or its answer was recorded; the retention counts from it
	body         []byte           // of the first recorded answer
	ran          bool             // recorded, but too large
	changedIndex uint64           // log index of the last change of a live record
	refusedIndex uint64           // log index of the last "not run"
	refusedAt    int64            // state time of the last "not run"
}

// oracle runs a machine and a second replica, which is restored from a snapshot
// from time to time, and checks each result against the rules.
type oracle struct {
	cfg        agatestate.Config
	m, replica *agatestate.Machine
	index      uint64
	now        int64
	keys       map[string]*keyState
	changes    map[string]agatestate.Result
	docs       map[string]string
	rev        uint64
	deaths     map[byte]map[string]bool
}

func (o *oracle) apply(t *rapid.T, c agatestate.Command) agatestate.Result {
	o.index++
	c.Now = o.now - rapid.Int64Range(0, 300).Draw(t, "lag")
	b := agatestate.Encode(c)
	out := o.m.Apply(o.index, b)
	assert.Assert(t, bytes.Equal(out, o.replica.Apply(o.index, b)), "the replicas differ")
	r, err := agatestate.DecodeResult(out)
	assert.NilError(t, err)
	assert.Assert(t, r.Verdict != agatestate.Invalid)
	n := o.m.Counts()
	assert.Assert(t, n.Claimed+n.Done+n.Unknown <= o.cfg.MaxRecords && n.Bytes <= o.cfg.MaxBytes)
	return r
}

func token(n int) (t agatestate.Token) {
	t[0], t[1] = byte(n), 1
	return t
}

// checkVerdict checks a verdict on a key against the earlier results for that
// key.
func (o *oracle) checkVerdict(t *rapid.T, key string, c *agatestate.Claim, r agatestate.Result) {
	s := o.keys[key]
	now := o.m.Now().UnixMilli()
	if s.token != (agatestate.Token{}) && now >= s.retainFrom+o.cfg.Retention.Milliseconds() {
		*s = keyState{changedIndex: s.changedIndex, refusedIndex: s.refusedIndex, refusedAt: s.refusedAt}
	}
	switch {
	case r.Verdict == agatestate.Granted:
		free := s.token == agatestate.Token{}
		assert.Assert(t, free || s.token == c.Token && s.body == nil, "a second token was granted")
		if free {
			assert.Assert(t, s.refusedIndex == 0 || c.SeenIndex >= s.refusedIndex, "a copy of a refused request was granted")
			assert.Assert(t, c.SeenIndex >= s.changedIndex, "a claim older than a dropped record was granted")
			assert.Assert(t, s.refusedIndex == 0 || now >= s.refusedAt+holdMs, "granted during the hold")
			s.token, s.changedIndex = c.Token, r.Index
			s.retainFrom = now + int64(c.Timeout/time.Millisecond) + graceMs
		}
		assert.Assert(t, now < s.retainFrom, "granted after the record turned unknown")
	case r.Verdict == agatestate.Done:
		assert.DeepEqual(t, r.Answer.Body, s.body)
	case r.Verdict == agatestate.InProgress:
		assert.Assert(t, s.token != agatestate.Token{} && s.body == nil && now < s.retainFrom)
	case r.Verdict == agatestate.Unknown:
		assert.Assert(t, s.token != agatestate.Token{} && (now >= s.retainFrom || r.Ran))
	case r.Verdict.NotRun():
		if r.Verdict != agatestate.Mismatch {
			assert.Assert(t, s.token == agatestate.Token{}, "a live record was refused")
			assert.Equal(t, r.RetryAfter, time.Second)
		}
		s.refusedIndex, s.refusedAt = r.Index, now
	default:
		t.Fatalf("verdict %v", r.Verdict)
	}
}

// actions returns the actions of the test. rapid selects them in the order of
// their names, so a renamed one changes the runs of a seed.
func (o *oracle) actions() map[string]func(*rapid.T) {
	keys := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
	tokens := rapid.IntRange(1, 8)
	payload := func(t *rapid.T) (p agatestate.PayloadHash) {
		p[0] = byte(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "payload"))
		return p
	}
	return map[string]func(*rapid.T){
		"sleep": func(t *rapid.T) {
			o.now += rapid.SampledFrom([]int64{1, 400, 1100, 7000, 60_000, 3_600_000}).Draw(t, "ms")
		},
		"claim": func(t *rapid.T) {
			c := &agatestate.Claim{
				Service: "s", Key: keys.Draw(t, "key"), PayloadHash: payload(t), Holder: "h",
				Timeout:   time.Duration(rapid.IntRange(1, 3).Draw(t, "deadline")) * time.Second,
				SeenIndex: o.index - min(o.index, rapid.Uint64Range(0, 12).Draw(t, "lag")),
			}
			c.Token = token(int(o.index))
			if old := o.keys[c.Key].token; old != (agatestate.Token{}) && rapid.Bool().Draw(t, "repeat") {
				c.Token = old
			}
			o.checkVerdict(t, c.Key, c, o.apply(t, agatestate.Command{Claim: c}))
		},
		"refuse": func(t *rapid.T) {
			c := &agatestate.Refuse{Service: "s", Key: keys.Draw(t, "key"), PayloadHash: payload(t)}
			o.checkVerdict(t, c.Key, nil, o.apply(t, agatestate.Command{Refuse: c}))
		},
		"release": func(t *rapid.T) {
			c := &agatestate.Release{Service: "s", Key: keys.Draw(t, "key"), Token: token(tokens.Draw(t, "token"))}
			s := o.keys[c.Key]
			if s.token != (agatestate.Token{}) && rapid.Bool().Draw(t, "own") {
				c.Token = s.token
			}
			r := o.apply(t, agatestate.Command{Release: c})
			if c.Token == s.token && s.body == nil && r.Verdict == agatestate.Refused {
				kept := o.m.Now().UnixMilli() < s.retainFrom+o.cfg.Retention.Milliseconds()
				assert.Assert(t, !s.ran || !kept, "an action that ran was released")
				*s = keyState{changedIndex: s.changedIndex, refusedIndex: s.refusedIndex, refusedAt: s.refusedAt}
			}
			o.checkVerdict(t, c.Key, nil, r)
		},
		"finish": func(t *rapid.T) {
			key := keys.Draw(t, "key")
			s := o.keys[key]
			c := &agatestate.Finish{Service: "s", Key: key, Token: token(tokens.Draw(t, "token"))}
			c.Answer.Body = rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "body")
			if s.token != (agatestate.Token{}) && rapid.Bool().Draw(t, "own") {
				c.Token = s.token
			}
			r := o.apply(t, agatestate.Command{Finish: c})
			if r.Verdict != agatestate.Recorded {
				return
			}
			assert.Equal(t, c.Token, s.token, "another token's answer was recorded")
			assert.Equal(t, r.Ran, r.Ran || len(c.Answer.Body) > o.cfg.MaxAnswerBytes)
			if s.ran {
				return // a repeated Finish changes nothing
			}
			s.retainFrom, s.changedIndex, s.ran = o.m.Now().UnixMilli(), r.Index, r.Ran
			if !r.Ran {
				s.body = c.Answer.Body
			}
		},
		"configure": o.configure,
		"death":     o.death,
		"restart": func(t *rapid.T) {
			a, err := o.m.Snapshot()
			assert.NilError(t, err)
			b, err := o.replica.Snapshot()
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(a, b), "equal states gave different snapshots")
			o.replica = restored(t, o.cfg, o.m)
		},
	}
}

func (o *oracle) configure(t *rapid.T) {
	c := &agatestate.Configure{
		ChangeID: fmt.Sprint(rapid.IntRange(0, 50).Draw(t, "change")),
		Base:     rapid.Uint64Range(o.rev-min(o.rev, 1), o.rev+1).Draw(t, "base"),
		Document: []byte{byte(rapid.IntRange(1, 2).Draw(t, "doc"))},
	}
	r := o.apply(t, agatestate.Command{Configure: c})
	r.Index = 0
	if first, known := o.changes[c.ChangeID]; known {
		if o.docs[c.ChangeID] != string(c.Document) {
			first = agatestate.Result{Verdict: agatestate.Reused}
		}
		assert.DeepEqual(t, r, first)
		return
	}
	accept := c.Base == o.rev
	assert.Equal(t, r.Verdict == agatestate.Accepted, accept)
	if accept {
		o.rev++
	}
	assert.Equal(t, r.Revision, o.rev)
	assert.Equal(t, o.m.Config().Revision, o.rev)
	o.changes[c.ChangeID] = r
	o.docs[c.ChangeID] = string(c.Document)
}

// death checks that a fingerprint counts each death of an upstream once.
func (o *oracle) death(t *rapid.T) {
	p := rapid.Byte().Draw(t, "print")
	c := &agatestate.Death{Upstream: rapid.SampledFrom([]string{"u", "v"}).Draw(t, "upstream"), Fingerprints: []agatestate.Fingerprint{{p}}}
	r := o.apply(t, agatestate.Command{Death: c})
	if o.deaths[p] == nil {
		o.deaths[p] = map[string]bool{}
	}
	fresh := !o.deaths[p][c.Upstream]
	o.deaths[p][c.Upstream] = true
	if o.m.Now().UnixMilli() > startMs+int64(time.Hour/time.Millisecond) {
		return // the fingerprint may have been deleted
	}
	assert.Equal(t, r.Count == 1, fresh)
}

// Guards against a second run of an action, a false "not run", a lost answer, a
// configuration revision that decreases, and replicas that diverge.
func TestMachineAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := agatestate.Config{MaxRecords: 4, MaxBytes: 4000, MaxAnswerBytes: 16, Retention: 2 * time.Hour}
		o := &oracle{cfg: cfg, m: agatestate.New(cfg), replica: agatestate.New(cfg), now: startMs}
		o.keys = map[string]*keyState{}
		for _, k := range []string{"a", "b", "c", "d", "e", "f"} {
			o.keys[k] = &keyState{}
		}
		o.changes = map[string]agatestate.Result{}
		o.docs = map[string]string{}
		o.deaths = map[byte]map[string]bool{}
		t.Repeat(o.actions())
	})
}

// Guards against a corrupt or truncated snapshot that replaces the state.
func TestDamagedSnapshot(t *testing.T) {
	m := agatestate.New(agatestate.Config{})
	m.Apply(1, agatestate.Encode(command("configure", args{"change": "c", "doc": "d"}, 1)))
	m.Apply(2, agatestate.Encode(command("claim", args{"token": "A"}, 2)))
	m.Apply(3, agatestate.Encode(command("death", args{"upstream": "u", "fingerprint": "a"}, 3)))
	whole, err := m.Snapshot()
	assert.NilError(t, err)
	n := agatestate.New(agatestate.Config{})
	for i := range whole {
		bad := bytes.Clone(whole)
		bad[i] ^= 1 << (i % 8)
		assert.ErrorIs(t, n.Restore(bad), agatestate.ErrSnapshot)
		assert.ErrorIs(t, n.Restore(whole[:i]), agatestate.ErrSnapshot)
	}
	assert.Equal(t, n.Index(), uint64(0))
	assert.NilError(t, n.Restore(whole))
	assert.Equal(t, n.Counts(), m.Counts())
}

// Guards against bytes that are not a valid command but cause a panic or change
// the state.
func TestMalformedCommand(t *testing.T) {
	good := agatestate.Encode(command("claim", args{"token": "A"}, 1))
	two := agatestate.Command{Expire: &agatestate.Expire{}, Refuse: &agatestate.Refuse{Service: "s", Key: "k"}}
	bad := [][]byte{nil, {}, {1}, {9}, good[1:], good[:len(good)-1], append(bytes.Clone(good), 0), agatestate.Encode(two)}
	bad = append(bad, agatestate.Encode(command("claim", args{}, 1)), agatestate.Encode(agatestate.Command{}))
	m := agatestate.New(agatestate.Config{})
	for i, b := range bad {
		r, err := agatestate.DecodeResult(m.Apply(uint64(i+1), b))
		assert.NilError(t, err)
		assert.Equal(t, r.Verdict, agatestate.Invalid)
		_, err = agatestate.SetClock(b, time.UnixMilli(5))
		assert.ErrorIs(t, err, agatestate.ErrMalformed)
	}
	assert.Equal(t, m.Counts(), agatestate.Counts{})
	stamped, err := agatestate.SetClock(good, time.UnixMilli(5))
	assert.NilError(t, err)
	c, err := agatestate.Decode(stamped)
	assert.NilError(t, err)
	assert.Equal(t, c.Now, int64(5))
}

// Guards against snapshots that depend on the history of the expiry queue
// instead of the state: one of two machines deletes one tombstone more than the
// other.
func TestSnapshotOfEqualStates(t *testing.T) {
	var snaps [2][]byte
	for i, first := range [][]byte{nil, agatestate.Encode(command("refuse", args{"key": "x"}, 1))} {
		m := agatestate.New(agatestate.Config{})
		m.Apply(1, first)
		for j := uint64(2); j < 10; j++ {
			a := args{"key": fmt.Sprint(j), "token": "A", "timeout": fmt.Sprintf("%dm", 2+j*7%11)}
			m.Apply(j, agatestate.Encode(command("claim", a, j)))
		}
		m.Apply(10, agatestate.Encode(command("refuse", args{"key": "y"}, 10)))
		m.Apply(11, agatestate.Encode(agatestate.Command{Now: 70_000, Expire: &agatestate.Expire{}}))
		assert.Equal(t, m.Counts().Refused, 0)
		var err error
		snaps[i], err = m.Snapshot()
		assert.NilError(t, err)
	}
	assert.Assert(t, bytes.Equal(snaps[0], snaps[1]))
}

// BenchmarkSnapshot measures snapshots with many action records.
func BenchmarkSnapshot(b *testing.B) {
	for _, records := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) { benchmarkSnapshot(b, records) })
	}
}

func benchmarkSnapshot(b *testing.B, records int) {
	m := agatestate.New(agatestate.Config{})
	for i := uint64(1); i <= uint64(records); i++ {
		m.Apply(i, agatestate.Encode(command("claim", args{"key": fmt.Sprintf("%036d", i), "token": "A"}, i)))
	}
	assert.Equal(b, m.Counts().Claimed, records)
	for b.Loop() {
		s, err := m.Snapshot()
		assert.NilError(b, err)
		b.ReportMetric(float64(len(s))/float64(records), "bytes/record")
	}
}

func BenchmarkApply(b *testing.B) {
	m := agatestate.New(agatestate.Config{})
	index := uint64(0)
	for b.Loop() {
		index += 2
		a := args{"key": fmt.Sprintf("%036d", index), "token": "A", "body": "0123456789"}
		m.Apply(index-1, agatestate.Encode(command("claim", a, index)))
		m.Apply(index, agatestate.Encode(command("finish", a, index)))
	}
}
