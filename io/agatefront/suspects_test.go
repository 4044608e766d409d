package agatefront

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/core/agatestate"
	"agategate/core/agatesuspect"
	"agategate/io/agateclient"
	"agategate/io/agatewire"
)

func fingerprint(b byte) agatesuspect.Fingerprint {
	var p agatesuspect.Fingerprint
	p[0] = b
	return p
}

// record returns a reply with one suspect.
func record(index uint64, p agatesuspect.Fingerprint, deaths uint32) *agatewire.WatchReply {
	return &agatewire.WatchReply{
		Index:    index,
		Suspects: []*agatewire.Suspect{{Print: p[:], Deaths: deaths, Index: index}},
	}
}

// Guards against the refusal of a request that upstreams answer. A frequent
// request is in flight at most crashes, and a host that has just started does not
// know that it is harmless (seed 145 of TestSoak).
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	p := fingerprint(1)

	fresh := newSuspects()
	assert.Equal(t, len(fresh.merge(now, record(5, p, 2))), 0)
	assert.Assert(t, fresh.refusedFor(now, p) > 0)

	old := newSuspects()
	old.recordAnswer(p)
	assert.Equal(t, len(old.merge(now, record(5, p, 2))), 1, "the control group must be asked to clear the request")
	assert.Equal(t, len(old.merge(now, record(6, p, 2))), 0, "the request must not be cleared twice within clearInterval")
	assert.Equal(t, old.refusedFor(now, p), time.Duration(0))

	// The control group's update reaches the fresh host.
	fresh.merge(now, record(7, p, 0))
	assert.Equal(t, fresh.refusedFor(now, p), time.Duration(0))
}

// Guards against a harmless request that hosts without an answer to it refuse, because it
// crashed again, apparently, within clearInterval, or because its clearing was lost.
func TestClearingIsRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	p := fingerprint(3)
	s := newSuspects()
	s.recordAnswer(p)
	assert.Equal(t, len(s.merge(now, record(5, p, 2))), 1)
	assert.Equal(t, len(s.merge(now.Add(time.Second), record(7, p, 1))), 0)
	heartbeat := &agatewire.WatchReply{}
	later := now.Add(clearInterval + time.Second)
	assert.Equal(t, len(s.merge(later, heartbeat)), 1, "the record at index 7 is not sent again")
	assert.Equal(t, len(s.merge(later, heartbeat)), 0)
	s.merge(later, record(8, p, 0))
	s.merge(later, record(6, p, 2)) // from a replica that lags behind
	assert.Equal(t, len(s.merge(later.Add(2*clearInterval), heartbeat)), 0, "it has been cleared")
}

// Guards against a request that is refused for ever because no host that saw it
// answered is left, and against a wrong Retry-After time.
func TestRefusalEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	p := fingerprint(2)
	s := newSuspects()
	for _, upstream := range []string{"u1", "u2"} {
		crash(t, s, now, p, upstreamProcess{upstream, 1})
	}
	after := s.refusedFor(now.Add(10*time.Second), p)
	assert.Equal(t, after, refusalPeriod-10*time.Second)
	assert.Equal(t, s.refusedFor(now.Add(10*time.Second+after), p), time.Duration(0))
	// The next crash starts a new refusal period.
	later := now.Add(refusalPeriod + time.Second)
	crash(t, s, later, p, upstreamProcess{"u3", 1})
	assert.Equal(t, s.refusedFor(later, p), 2*refusalPeriod)
}

// crash plays a request that an upstream's process crashes on.
func crash(t *testing.T, s *suspects, now time.Time, p agatesuspect.Fingerprint, process upstreamProcess) {
	t.Helper()
	s.start(p, process)
	assert.DeepEqual(t, s.recordCrash(now, process), []agatesuspect.Fingerprint{p})
}

// crashGroup is a control group and the hosts that it tells of crashes.
type crashGroup struct {
	machine *agatestate.Machine
	index   uint64
	hosts   []*suspects
}

func newCrashGroup(hosts int) *crashGroup {
	g := &crashGroup{machine: agatestate.New(agatestate.Config{})}
	for range hosts {
		g.hosts = append(g.hosts, newSuspects())
	}
	return g
}

// report applies the report of a host and tells all hosts, two times.
func (g *crashGroup) report(now time.Time, process upstreamProcess, list []agatesuspect.Fingerprint) {
	g.index++
	g.machine.Apply(g.index, agatestate.Encode(agatestate.Command{Now: now.UnixMilli(), Death: newDeath("entry-1", process, list)}))
	for _, s := range g.hosts {
		for range 2 {
			d := g.machine.SuspectsSince(0)
			s.merge(now, &agatewire.WatchReply{Index: d.Index, Full: d.Full, Suspects: agateclient.ToWireSuspects(d.Suspects)})
		}
	}
}

// Guards against a request that crashes one upstream again and again, as each second crash
// of an upstream that starts again under its id looks like another report of the first
// one, and as nothing makes hosts refuse the request for longer (review/5).
func TestCrashesOfRestartedUpstream(t *testing.T) {
	const contact, hosts = 3 * time.Second, 4
	begin, p := time.Unix(1000, 0), fingerprint(2)
	g := newCrashGroup(hosts)
	var crashed []time.Duration
	for now := time.Duration(0); now < 10*time.Minute; now += 5600 * time.Millisecond { // the caller sends it again
		s := g.hosts[int(now/(5600*time.Millisecond))%hosts]
		if s.refusedFor(begin.Add(now), p) > 0 {
			continue
		}
		process := upstreamProcess{"u1", now.Milliseconds() + 1}
		crash(t, s, begin.Add(now), p, process)
		crashed = append(crashed, now)
		g.report(begin.Add(now), process, []agatesuspect.Fingerprint{p})
	}
	late := 0
	for _, at := range crashed {
		if len(crashed) > 2 && at > crashed[2]+contact {
			late++
		}
	}
	assert.Check(t, late <= 3, "%d retries reached the upstream after it had crashed three times: at %v", late, crashed)
}

// Guards against a harmless request that is refused for longer than one period, because it
// was in flight when several upstreams ended for other reasons.
func TestUnrelatedCrashes(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		begin, p := time.Unix(1000, 0), fingerprint(2)
		g := newCrashGroup(3)
		refusedSince := time.Duration(-1)
		for now := time.Duration(0); now < 10*time.Minute; now += 500 * time.Millisecond {
			at, s := begin.Add(now), g.hosts[rng.IntN(3)]
			if s.refusedFor(at, p) > 0 {
				if refusedSince < 0 {
					refusedSince = now
				}
				assert.Assert(t, now-refusedSince <= refusalPeriod, "seed %d: refused from %v to %v", seed, refusedSince, now)
				continue
			}
			refusedSince = -1
			process := upstreamProcess{"u1", now.Milliseconds() + 1}
			if rng.IntN(20) == 0 {
				s.start(p, process)
				g.report(at, process, s.recordCrash(at, process))
				continue
			}
			s.recordAnswer(p)
		}
	}
}
