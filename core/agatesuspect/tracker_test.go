package agatesuspect

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain sets a fixed default seed; the command line can override it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func fingerprintOf(name string) Fingerprint {
	var f Fingerprint
	copy(f[:], name)
	return f
}

// Guards against wrong verdicts after upstream deaths, clearings, and records
// that arrive late, repeatedly or out of order. It runs testdata/deaths.txt.
func TestDeaths(t *testing.T) {
	data, err := os.ReadFile("testdata/deaths.txt")
	assert.NilError(t, err)
	var tr *Tracker
	for i, line := range strings.Split(string(data), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		at := fmt.Sprintf("testdata/deaths.txt:%d: %s", i+1, line)
		words := strings.Fields(line)
		switch words[0] {
		case "new":
			words = append(words, "0", "0")
			tr = New(Config{MaxRecords: parseInt(t, words[1]), MaxInFlight: parseInt(t, words[2])})
		case "run":
			assert.Equal(t, tr.Start(fingerprintOf(words[1]), words[2]), len(words) == 3, at)
		case "done":
			tr.Finish(fingerprintOf(words[1]), words[2])
		case "died":
			got := []string{"died", words[1], "->"}
			for _, f := range tr.UpstreamDied(words[1]) {
				got = append(got, strings.TrimRight(string(f[:]), "\x00"))
			}
			assert.DeepEqual(t, got, words)
		case "index":
			tr.Merge(nil, uint64(parseInt(t, words[1])))
		case "merge":
			tr.Merge([]Record{{fingerprintOf(words[1]), parseInt(t, words[2]), uint64(parseInt(t, words[3])), uint64(parseInt(t, words[4]))}}, 0)
		case "check":
			assert.Equal(t, tr.Check(fingerprintOf(words[1])).String(), words[2], at)
		default:
			t.Fatal(at)
		}
	}
}

func parseInt(t *testing.T, s string) int {
	n, err := strconv.Atoi(s)
	assert.NilError(t, err)
	return n
}

// Guards against hosts whose records never converge after lost, duplicated and
// reordered messages, and against a death that is dropped before the log clears
// it.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawLog(t)
		latest := map[Fingerprint]Record{}
		for _, r := range history {
			latest[r.Fingerprint] = r
		}
		tr := New(Config{})
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			r := rapid.SampledFrom(history).Draw(t, "record")
			tr.Merge([]Record{r}, 0)
			have := tr.records[r.Fingerprint]
			if have.Index < r.Index || (have.Index == r.Index && have.Deaths < r.Deaths) {
				t.Fatalf("%+v was merged and %+v kept", r, have)
			}
		}
		var delta []Record
		for _, r := range latest {
			delta = append(delta, r)
		}
		tr.Merge(delta, uint64(len(history)))
		for f, r := range latest {
			if got := tr.records[f]; got != r {
				t.Fatalf("kept %+v instead of %+v", got, r)
			}
		}
		if tr.Index() != uint64(len(history)) {
			t.Fatalf("index %d", tr.Index())
		}
	})
}

// drawLog generates a log of deaths and clearings and returns the record that
// each entry produces.
func drawLog(t *rapid.T) []Record {
	state := map[Fingerprint]Record{}
	var out []Record
	for i := range rapid.IntRange(1, 20).Draw(t, "entries") {
		f := fingerprintOf(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "fingerprint"))
		r := state[f]
		r.Fingerprint, r.Index = f, uint64(i+1)
		if rapid.IntRange(0, 2).Draw(t, "clear") == 0 {
			r.Deaths, r.ClearedIndex = 0, r.Index
		} else {
			r.Deaths++
		}
		state[f] = r
		out = append(out, r)
	}
	return out
}

// Guards against different requests that share a fingerprint, so that one is
// refused for the deaths that the other caused.
func TestNewFingerprint(t *testing.T) {
	body := []byte("b")
	a := NewFingerprint("s", "GET", "/p", "", body)
	assert.Equal(t, a, NewFingerprint("s", "GET", "/p", "", body))
	assert.Equal(t, NewFingerprint("s", "GET", "/p", "k", body), NewFingerprint("s", "POST", "/q", "k", nil))
	seen := map[Fingerprint]int{a: -1}
	for i, f := range []Fingerprint{
		NewFingerprint("t", "GET", "/p", "", body),
		NewFingerprint("s", "GE", "T/p", "", body),
		NewFingerprint("s", "GET", "/q", "", body),
		NewFingerprint("s", "GET", "/p", "", nil),
		NewFingerprint("s", "", "", "k", nil),
		NewFingerprint("t", "", "", "k", nil),
		NewFingerprint("sk", "", "", "s", nil),
		NewFingerprint("s", "", "", "ks", nil),
	} {
		other, dup := seen[f]
		assert.Assert(t, !dup, "%d and %d", i, other)
		seen[f] = i
	}
	assert.Equal(t, len(a.String()), 2*FingerprintSize)
}

// Guards against uncommitted deaths that are not sent to peers: they carry the
// last known log index and must be included.
func TestSince(t *testing.T) {
	tr := New(Config{})
	tr.Merge([]Record{{fingerprintOf("b"), 1, 4, 0}, {fingerprintOf("a"), 1, 3, 0}, {fingerprintOf("c"), 1, 4, 0}}, 4)
	tr.Start(fingerprintOf("d"), "u")
	tr.UpstreamDied("u")
	got := tr.Since(4)
	assert.Equal(t, len(got), 3)
	assert.Equal(t, got[2], Record{Fingerprint: fingerprintOf("d"), Deaths: 1, Index: 4})
}
