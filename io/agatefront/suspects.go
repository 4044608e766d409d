package agatefront

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"agategate/core/agatestate"
	"agategate/core/agatesuspect"
	"agategate/io/agateclient"
	"agategate/io/agatewire"
)

const (
	// reportTimeout limits the submission of a command on suspects.
	reportTimeout = 3 * time.Second
	// maxFingerprints limits the size of each map of fingerprints. A full map is
	// cleared.
	maxFingerprints = 32768
	// refusalPeriod is how long a request is refused after the second crash
	// attributed to it. It is limited because a request that was in flight
	// during two unrelated crashes must not be refused for ever. Each further crash
	// doubles it, up to maxRefusalDoublings times, so that a request that crashes
	// every upstream reaches five of them in ten minutes.
	refusalPeriod       = 30 * time.Second
	maxRefusalDoublings = 4
	// clearInterval is the minimum time between two commands that clear the
	// same suspect.
	clearInterval = 2 * time.Second
)

// upstreamProcess is a process of an upstream. An upstream that starts again under its id
// is another process, and a second crash is no repeated report of the first one.
type upstreamProcess struct {
	upstream    string
	startedAtMs int64 // 0 if it is not known
}

// name returns a name for the tracker.
func (p upstreamProcess) name() string {
	return p.upstream + "@" + strconv.FormatInt(p.startedAtMs, 10)
}

// suspects tracks requests that may crash upstreams. It is safe for concurrent
// use.
type suspects struct {
	mu      sync.Mutex
	tracker *agatesuspect.Tracker
	// answered holds requests that an upstream has answered, which are
	// harmless.
	answered map[agatesuspect.Fingerprint]struct{}
	crashes  map[agatesuspect.Fingerprint]crashes
	// lastCleared is when this host last asked the control group to clear a request.
	lastCleared map[agatesuspect.Fingerprint]time.Time
	// harmless holds the suspects of the control group that an upstream has answered,
	// until the group has cleared them.
	harmless map[agatesuspect.Fingerprint]struct{}
}

// crashes is what a host knows of the crashes attributed to a request.
type crashes struct {
	at time.Time // when this host learned of the last one
	// index is that of the newest record of the control group, and refused whether it
	// has two crashes, its maximum.
	index   uint64
	refused bool
	// own and reported count the crashes beyond the first two, as seen by this host and
	// by the control group. Both may count the same ones.
	own, reported int
}

// refusal returns how long a request is refused after the last crash.
func (c crashes) refusal() time.Duration {
	return refusalPeriod << min(max(c.own, c.reported), maxRefusalDoublings)
}

func newSuspects() *suspects {
	return &suspects{
		tracker:     agatesuspect.New(agatesuspect.Config{}),
		answered:    make(map[agatesuspect.Fingerprint]struct{}),
		crashes:     make(map[agatesuspect.Fingerprint]crashes),
		lastCleared: make(map[agatesuspect.Fingerprint]time.Time),
		harmless:    make(map[agatesuspect.Fingerprint]struct{}),
	}
}

// refusedFor returns for how much longer a request is refused because upstreams
// crashed on it. Zero means that it may run.
func (s *suspects) refusedFor(now time.Time, p agatesuspect.Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, harmless := s.answered[p]; harmless || s.tracker.Check(p) != agatesuspect.Refused {
		return 0
	}
	c := s.crashes[p]
	return max(0, c.at.Add(c.refusal()).Sub(now))
}

// setCrashesLocked records what this host knows of the crashes of a request. mu must be
// held.
func (s *suspects) setCrashesLocked(p agatesuspect.Fingerprint, c crashes) {
	if len(s.crashes) >= maxFingerprints {
		clear(s.crashes)
	}
	s.crashes[p] = c
}

// start records that a request is in flight at an upstream until done is called.
func (s *suspects) start(p agatesuspect.Fingerprint, process upstreamProcess) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := process.name()
	s.tracker.Start(p, name)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tracker.Finish(p, name)
	}
}

// recordAnswer records that an upstream answered a request.
func (s *suspects) recordAnswer(p agatesuspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answered) >= maxFingerprints {
		clear(s.answered)
	}
	s.answered[p] = struct{}{}
	delete(s.crashes, p)
}

// recordCrash records that an upstream crashed. It returns the requests in flight
// at it that no upstream has answered before.
func (s *suspects) recordCrash(now time.Time, process upstreamProcess) []agatesuspect.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := process.name()
	refused := map[agatesuspect.Fingerprint]bool{} // before this crash
	for _, p := range s.tracker.InFlight(name) {
		refused[p] = s.tracker.Check(p) == agatesuspect.Refused
	}
	fingerprints := slices.DeleteFunc(s.tracker.UpstreamDied(name), func(p agatesuspect.Fingerprint) bool {
		_, harmless := s.answered[p]
		return harmless
	})
	for _, p := range fingerprints {
		c := s.crashes[p]
		c.at = now
		if refused[p] {
			c.own++
		}
		s.setCrashesLocked(p, c)
	}
	return fingerprints
}

// merge applies the suspects of a control replica's reply. A reply without
// suspects and index carries no update. merge returns the suspects that an
// upstream has answered, for the host to have them cleared. It returns them again until
// they are, because a suspect that another crash follows, or whose clearing is lost, is
// not sent again.
func (s *suspects) merge(now time.Time, reply *agatewire.WatchReply) []agatestate.Fingerprint {
	list := agateclient.FromWireSuspects(reply.Suspects)
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Full {
		clear(s.harmless) // those that are left are in the list
	}
	for _, r := range list {
		s.mergeLocked(now, r)
	}
	if len(list) > 0 || reply.Index > 0 {
		s.tracker.Merge(list, reply.Index)
	}
	return s.takeHarmlessLocked(now)
}

// mergeLocked applies the record of one suspect. mu must be held.
func (s *suspects) mergeLocked(now time.Time, r agatesuspect.Record) {
	if r.Deaths == 0 {
		delete(s.harmless, r.Fingerprint)
		delete(s.crashes, r.Fingerprint)
		return
	}
	if c := s.crashes[r.Fingerprint]; r.Index > c.index { // else it is sent once more
		if r.Deaths > 1 && c.refused {
			c.reported++
		}
		c.at, c.index, c.refused = now, r.Index, r.Deaths > 1
		s.setCrashesLocked(r.Fingerprint, c)
	}
	_, answered := s.answered[r.Fingerprint]
	if !answered || r.Index <= s.tracker.Index() {
		return // an old record may have been cleared since
	}
	if len(s.harmless) >= maxFingerprints {
		clear(s.harmless)
	}
	s.harmless[r.Fingerprint] = struct{}{}
}

// takeHarmlessLocked returns the harmless suspects whose clearing is due and records that
// it is asked for. mu must be held.
func (s *suspects) takeHarmlessLocked(now time.Time) (due []agatestate.Fingerprint) {
	if len(s.lastCleared) >= maxFingerprints {
		clear(s.lastCleared)
	}
	for f := range s.harmless {
		if len(due) == agatestate.MaxFingerprints {
			break // the rest follows with the next reply
		}
		if now.Sub(s.lastCleared[f]) > clearInterval {
			s.lastCleared[f] = now
			due = append(due, agateclient.ToStateFingerprint(f))
		}
	}
	return due
}

// index returns the log index up to which the control group's suspects are known.
func (s *suspects) index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Index()
}

// reportCrash reports the requests that were in flight at a crashed upstream to
// the control group.
func (f *Front) reportCrash(process upstreamProcess) {
	fingerprints := f.suspects.recordCrash(time.Now(), process)
	if len(fingerprints) == 0 {
		return
	}
	f.log.Warn("upstream died", "kind", "suspect", "choice", process.upstream, "born", process.startedAtMs, "prints", len(fingerprints), "first", fingerprints[0])
	f.submit(agatestate.Command{Death: newDeath(f.cfg.Name, process, fingerprints)})
}

// newDeath returns the report of a crash.
func newDeath(host string, process upstreamProcess, fingerprints []agatesuspect.Fingerprint) *agatestate.Death {
	death := &agatestate.Death{Host: host, Upstream: process.upstream, Incarnation: uint64(process.startedAtMs)}
	for _, p := range fingerprints {
		death.Fingerprints = append(death.Fingerprints, agateclient.ToStateFingerprint(p))
	}
	return death
}

// clearSuspects has the control group clear suspects that an upstream has
// answered.
func (f *Front) clearSuspects(fingerprints []agatestate.Fingerprint) {
	if len(fingerprints) == 0 {
		return
	}
	f.log.Info("suspects answered by an upstream", "kind", "suspect", "prints", len(fingerprints))
	f.submit(agatestate.Command{ClearSuspects: &agatestate.ClearSuspects{Fingerprints: fingerprints}})
}

// submit sends a command to the control group in the background.
func (f *Front) submit(cmd agatestate.Command) {
	f.wg.Go(func() {
		ctx, cancel := context.WithTimeout(f.ctx, reportTimeout)
		defer cancel()
		client := agateclient.New(agateclient.Config{Replicas: f.control.replicas(), Dialer: f.dialer, Sender: f.sender})
		if _, outcome := client.Submit(ctx, agatestate.Encode(cmd)); outcome != agateclient.Applied {
			f.log.Warn("suspect command not applied", "kind", "suspect", "outcome", int(outcome))
		}
	})
}

// sender returns the sender field of messages to the control group.
func (f *Front) sender() *agatewire.Sender {
	return &agatewire.Sender{Host: f.cfg.Name, Epoch: f.epoch, Revision: f.control.revision()}
}
