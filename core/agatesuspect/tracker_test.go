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

// TestMain fixes the seed; the command line can set another one.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func named(name string) Fingerprint {
	var f Fingerprint
	copy(f[:], name)
	return f
}

func TestDeaths(t *testing.T) {
	data, err := os.ReadFile("testdata/deaths.txt")
	assert.NilError(t, err)
	var tr *Tracker
	for i, line := range strings.Split(string(data), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		at := fmt.Sprintf("testdata/deaths.txt:%d: %s", i+1, line)
		f := strings.Fields(line)
		switch f[0] {
		case "new":
			f = append(f, "0", "0")
			tr = New(Config{Suspects: number(t, f[1]), InFlight: number(t, f[2])})
		case "run":
			assert.Equal(t, tr.Running(named(f[1]), f[2]), len(f) == 3, at)
		case "done":
			tr.Done(named(f[1]), f[2])
		case "died":
			got := []string{"died", f[1], "->"}
			for _, p := range tr.Died(f[1]) {
				got = append(got, strings.TrimRight(string(p[:]), "\x00"))
			}
			assert.DeepEqual(t, got, f)
		case "upto":
			tr.Merge(nil, uint64(number(t, f[1])))
		case "merge":
			tr.Merge([]Record{{named(f[1]), number(t, f[2]), uint64(number(t, f[3])), uint64(number(t, f[4]))}}, 0)
		case "check":
			assert.Equal(t, tr.Check(named(f[1])).String(), f[2], at)
		default:
			t.Fatal(at)
		}
	}
}

func number(t *testing.T, s string) int {
	n, err := strconv.Atoi(s)
	assert.NilError(t, err)
	return n
}

// Guards against hosts that disagree for good after lost, repeated and
// reordered messages, and against a death that is forgotten before the log
// clears it.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawLog(t)
		latest := map[Fingerprint]Record{}
		for _, r := range history {
			latest[r.Print] = r
		}
		tr := New(Config{})
		for range rapid.IntRange(0, 30).Draw(t, "messages") {
			r := rapid.SampledFrom(history).Draw(t, "record")
			tr.Merge([]Record{r}, 0)
			have := tr.records[r.Print]
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

// drawLog returns the record after each entry of a log of deaths and
// clearings.
func drawLog(t *rapid.T) []Record {
	state := map[Fingerprint]Record{}
	var out []Record
	for i := range rapid.IntRange(1, 20).Draw(t, "entries") {
		f := named(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "print"))
		r := state[f]
		r.Print, r.Index = f, uint64(i+1)
		if rapid.IntRange(0, 2).Draw(t, "clear") == 0 {
			r.Deaths, r.Cleared = 0, r.Index
		} else {
			r.Deaths++
		}
		state[f] = r
		out = append(out, r)
	}
	return out
}

// Guards against requests that share a fingerprint and are refused for each
// other's deaths.
func TestPrint(t *testing.T) {
	body := []byte("b")
	a := Print("s", "GET", "/p", "", body)
	assert.Equal(t, a, Print("s", "GET", "/p", "", body))
	assert.Equal(t, Print("s", "GET", "/p", "k", body), Print("s", "POST", "/q", "k", nil))
	seen := map[Fingerprint]int{a: -1}
	for i, f := range []Fingerprint{
		Print("t", "GET", "/p", "", body),
		Print("s", "GE", "T/p", "", body),
		Print("s", "GET", "/q", "", body),
		Print("s", "GET", "/p", "", nil),
		Print("s", "", "", "k", nil),
		Print("t", "", "", "k", nil),
		Print("sk", "", "", "s", nil),
		Print("s", "", "", "ks", nil),
	} {
		other, dup := seen[f]
		assert.Assert(t, !dup, "%d and %d", i, other)
		seen[f] = i
	}
	assert.Equal(t, len(a.String()), 2*Size)
}

func TestSince(t *testing.T) {
	tr := New(Config{})
	tr.Merge([]Record{{named("b"), 1, 4, 0}, {named("a"), 1, 3, 0}, {named("c"), 1, 4, 0}}, 4)
	tr.Running(named("d"), "u")
	tr.Died("u")
	got := tr.Since(4)
	assert.Equal(t, len(got), 3)
	assert.Equal(t, got[2], Record{Print: named("d"), Deaths: 1, Index: 4})
}
