package agatecontrol

import (
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
)

// A script has lines "SECONDS host NAME REGION ready|starting" for a
// heartbeat, "SECONDS lost NAME" for the end of a stream, and "SECONDS entries
// REGION -> NAME..." for the hosts that a caller of the region is told, where
// no names mean that the directory gives no answer. NAME may be a range, as in
// "a1..a9". "SECONDS beat SECONDS" repeats the last heartbeat of every host
// each half second of the span.
type presenceScript struct {
	p     presence
	hosts map[string]watcher
	begun time.Time
}

// A script guards the list that callers get: hosts that are gone are not on
// it, and after all hosts were lost the first ones that come back are not
// given the work of all.
func TestPresence(t *testing.T) {
	files, err := filepath.Glob("testdata/presence/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			s := &presenceScript{hosts: map[string]watcher{}, begun: time.Now()}
			for n, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				if strings.TrimSpace(line) != "" {
					s.step(t, line, fmt.Sprintf("%s:%d", file, n+1))
				}
			}
		})
	}
}

func (s *presenceScript) step(t *testing.T, line, at string) {
	do, want, _ := strings.Cut(line, "->")
	words := strings.Fields(do)
	now := s.at(t, words[0])
	switch words[1] {
	case "host":
		for _, name := range nameRange(t, words[2]) {
			w := watcher{name: name, region: words[3], ready: words[4] == "ready", at: now, caller: netip.MustParseAddrPort("127.0.0.1:80")}
			s.hosts[name] = w
			s.p.add(w)
		}
	case "beat":
		for end := s.at(t, words[2]); !now.After(end); now = now.Add(500 * time.Millisecond) {
			for _, w := range s.hosts {
				w.at = now
				s.p.add(w)
			}
			s.p.names(now)
		}
	case "lost":
		for _, name := range nameRange(t, words[2]) {
			s.p.lost(name, 0)
			delete(s.hosts, name)
		}
	case "entries":
		var got, wanted []string
		for _, w := range s.p.entries(now, words[2]) {
			got = append(got, w.name)
		}
		for _, word := range strings.Fields(want) {
			wanted = append(wanted, nameRange(t, word)...)
		}
		assert.Equal(t, strings.Join(got, " "), strings.Join(wanted, " "), at)
	default:
		t.Fatalf("%s: unknown word %q", at, words[1])
	}
}

// Guards against hosts of a large region that no caller is ever told, and
// against lists that change without a change of the hosts, since callers close
// their connections to hosts that are not named any more.
func TestCallersShareLargeRegion(t *testing.T) {
	const hosts, most, callers = 200, 64, 50
	var all []watcher
	for i := range hosts {
		all = append(all, watcher{name: fmt.Sprintf("entry-%d", i)})
	}
	named := map[string]int{}
	for i := range callers {
		caller := fmt.Sprintf("10.0.0.%d", i)
		list := part(all, caller, most)
		assert.Equal(t, len(list), most)
		fewer := part(all[:hosts-1], caller, most)
		moved := 0
		for _, h := range list {
			named[h.name]++
			if !slices.ContainsFunc(fewer, func(o watcher) bool { return o.name == h.name }) {
				moved++
			}
		}
		assert.Assert(t, moved <= 1, "one host that leaves changes one place")
	}
	assert.Equal(t, len(named), hosts)
	for name, n := range named {
		assert.Assert(t, n <= 3*callers*most/hosts, "%s is named %d times", name, n)
	}
	assert.Equal(t, len(part(all[:most], "10.0.0.1", most)), most)
}

func (s *presenceScript) at(t *testing.T, text string) time.Time {
	seconds, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return s.begun.Add(time.Duration(seconds * float64(time.Second)))
}

// nameRange returns the names of a range such as "a1..a9", or the name itself.
func nameRange(t *testing.T, text string) []string {
	first, last, ok := strings.Cut(text, "..")
	if !ok {
		return []string{text}
	}
	from, err := strconv.Atoi(first[1:])
	assert.NilError(t, err)
	to, err := strconv.Atoi(last[1:])
	assert.NilError(t, err)
	var out []string
	for n := from; n <= to; n++ {
		out = append(out, first[:1]+strconv.Itoa(n))
	}
	return out
}
