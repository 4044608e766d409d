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

// A script has lines "SECONDS host NAME REGION ready|starting|unlinked" for a heartbeat,
// "SECONDS lost NAME" for the end of a stream, and "SECONDS entries REGION ->
// NAME..." for the hosts that a caller of the region is given, where no names
// mean that the caller gets no list. NAME may be a range, as in "a1..a9".
// "SECONDS heartbeats SECONDS" repeats the last heartbeat of every host each
// half second until the second time.
type presenceScript struct {
	p     presence
	hosts map[string]presentHost
	start time.Time
}

// Guards against lists for callers that name hosts which are gone, and against
// lists that, after all hosts were lost, name only the first ones that return
// and so give them the load of all.
func TestPresence(t *testing.T) {
	files, err := filepath.Glob("testdata/presence/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			s := &presenceScript{hosts: map[string]presentHost{}, start: time.Now()}
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
	command, want, _ := strings.Cut(line, "->")
	fields := strings.Fields(command)
	now := s.at(t, fields[0])
	switch fields[1] {
	case "host":
		for _, name := range nameRange(t, fields[2]) {
			w := presentHost{name: name, region: fields[3], ready: fields[4] != "starting", unlinked: fields[4] == "unlinked", lastHeartbeat: now, callerAddr: netip.MustParseAddrPort("127.0.0.1:80")}
			s.hosts[name] = w
			s.p.add(w)
		}
	case "heartbeats":
		for end := s.at(t, fields[2]); !now.After(end); now = now.Add(500 * time.Millisecond) {
			for _, w := range s.hosts {
				w.lastHeartbeat = now
				s.p.add(w)
			}
			s.p.names(now)
		}
	case "lost":
		for _, name := range nameRange(t, fields[2]) {
			s.p.remove(name, 0)
			delete(s.hosts, name)
		}
	case "entries":
		var got, wanted []string
		for _, w := range s.p.entries(now, fields[2]) {
			got = append(got, w.name)
		}
		for _, name := range strings.Fields(want) {
			wanted = append(wanted, nameRange(t, name)...)
		}
		assert.Equal(t, strings.Join(got, " "), strings.Join(wanted, " "), at)
	default:
		t.Fatalf("%s: unknown command %q", at, fields[1])
	}
}

// Guards against hosts of a large region that no caller is given, and against
// lists that change without a change of the hosts: callers close their
// connections to hosts that are no longer listed.
func TestCallersShareLargeRegion(t *testing.T) {
	const hosts, limit, callers = 200, 64, 50
	var all []presentHost
	for i := range hosts {
		all = append(all, presentHost{name: fmt.Sprintf("entry-%d", i)})
	}
	named := map[string]int{}
	for i := range callers {
		caller := fmt.Sprintf("10.0.0.%d", i)
		list := subset(all, caller, limit)
		assert.Equal(t, len(list), limit)
		fewer := subset(all[:hosts-1], caller, limit)
		moved := 0
		for _, h := range list {
			named[h.name]++
			if !slices.ContainsFunc(fewer, func(o presentHost) bool { return o.name == h.name }) {
				moved++
			}
		}
		assert.Assert(t, moved <= 1, "the removal of one host changes more than one entry")
	}
	assert.Equal(t, len(named), hosts)
	for name, n := range named {
		assert.Assert(t, n <= 3*callers*limit/hosts, "%s is named %d times", name, n)
	}
	assert.Equal(t, len(subset(all[:limit], "10.0.0.1", limit)), limit)
}

func (s *presenceScript) at(t *testing.T, text string) time.Time {
	seconds, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return s.start.Add(time.Duration(seconds * float64(time.Second)))
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
