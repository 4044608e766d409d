package agatestate

import (
	"cmp"
	"container/list"
	"slices"
)

// finalDeaths is the number of deaths after which a fingerprint is refused until
// it is cleared or SuspectRetention has passed since its last change. Entry hosts
// may stop refusing it earlier.
const finalDeaths = 2

// Suspect is a copy of the state of one fingerprint, as returned by
// Machine.SuspectsSince.
type Suspect struct {
	Fingerprint Fingerprint
	// Deaths is 0 (cleared), 1 (suspect) or 2 (refused).
	Deaths int
	// Index is the log index of the last change.
	Index uint64
	// ClearedIndex is the log index at which Deaths was last set to 0, or 0 if it never
	// was. A host that has not received that change learns of it by a later one.
	ClearedIndex uint64
}

// SuspectDelta holds the changes of the suspects after a log index.
type SuspectDelta struct {
	// Suspects is ordered by Index.
	Suspects []Suspect
	// Index is the newest index, to be passed to the next call.
	Index uint64
	// Full means that Suspects is the complete list: fingerprints not in it are
	// not suspects.
	Full bool
}

// upstreamProcess identifies a process of an upstream. The names of its fields
// are part of the snapshot encoding and must not change.
type upstreamProcess struct {
	Upstream    string
	Incarnation uint64
}

// suspect is the state of one fingerprint.
type suspect struct {
	fingerprint Fingerprint
	deaths      int
	// countedDeaths holds the last deaths counted, so that reports of one death
	// by several hosts count once, also after the suspect was cleared.
	countedDeaths []upstreamProcess
	index         uint64
	// clearedIndex is the index of the last clearing. It only serves entry hosts and is
	// not in snapshots, see restoredClearedIndex.
	clearedIndex uint64
	changedAt    int64 // state time of the last change, Unix ms
	probe        *probe
	elem         *list.Element
}

// probe is a probe in progress.
type probe struct {
	token     Token
	holder    string
	process   upstreamProcess // runs the probe
	expiresAt int64           // state time, Unix ms
}

// suspects holds the fingerprints. Both lists are ordered by the last change:
// withDeaths has the fingerprints with deaths, cleared those without.
type suspects struct {
	byFingerprint    map[Fingerprint]*suspect
	withDeaths       *list.List
	cleared          *list.List
	probesByUpstream map[string]*suspect
	newestIndex      uint64 // index of the last change of any suspect
	droppedIndex     uint64 // highest index of a deleted fingerprint
}

func newSuspects() suspects {
	return suspects{
		byFingerprint:    map[Fingerprint]*suspect{},
		withDeaths:       list.New(),
		cleared:          list.New(),
		probesByUpstream: map[string]*suspect{},
	}
}

// SuspectsSince returns the suspects that changed after a log index; 0 returns
// the complete list.
func (m *Machine) SuspectsSince(index uint64) SuspectDelta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &m.suspects
	d := SuspectDelta{Index: s.newestIndex, Full: index == 0 || index < s.droppedIndex}
	if d.Full {
		index = 0
	} else {
		d.Suspects = appendSince(d.Suspects, s.cleared, index)
	}
	d.Suspects = appendSince(d.Suspects, s.withDeaths, index)
	slices.SortStableFunc(d.Suspects, func(a, b Suspect) int { return cmp.Compare(a.Index, b.Index) })
	return d
}

// appendSince appends the suspects of a list that changed after index, in list
// order.
func appendSince(to []Suspect, l *list.List, index uint64) []Suspect {
	from := len(to)
	for e := l.Back(); e != nil; e = e.Prev() {
		s := e.Value.(*suspect)
		if s.index <= index {
			break
		}
		to = append(to, Suspect{Fingerprint: s.fingerprint, Deaths: s.deaths, Index: s.index, ClearedIndex: s.clearedIndex})
	}
	slices.Reverse(to[from:])
	return to
}

func (m *Machine) death(c *Death) Result {
	d := upstreamProcess{c.Upstream, c.Incarnation}
	changed, rejected := 0, 0
	for _, fp := range c.Fingerprints {
		s := m.suspects.byFingerprint[fp]
		if s == nil {
			s = m.addSuspect(fp)
		}
		switch {
		case s == nil:
			rejected++
		case m.countDeath(s, d):
			changed++
		}
	}
	if rejected > 0 {
		return Result{Verdict: Full, Count: changed}
	}
	return Result{Verdict: Counted, Count: changed}
}

func (m *Machine) clearSuspects(c *ClearSuspects) Result {
	changed := 0
	for _, fp := range c.Fingerprints {
		s := m.suspects.byFingerprint[fp]
		if s == nil || s.deaths == 0 {
			continue
		}
		if s.probe != nil {
			m.endProbe(s)
		}
		m.setDeaths(s, 0)
		changed++
	}
	return Result{Verdict: Counted, Count: changed}
}

// addSuspect adds a fingerprint without deaths and returns it, or nil if there
// is no room. Cleared fingerprints are deleted to make room; suspects are kept
// for their whole retention.
func (m *Machine) addSuspect(fp Fingerprint) *suspect {
	s := &m.suspects
	if len(s.byFingerprint) >= m.cfg.MaxSuspects {
		oldest := s.cleared.Front()
		if oldest == nil {
			return nil
		}
		m.dropCleared(oldest.Value.(*suspect))
	}
	added := &suspect{fingerprint: fp}
	s.byFingerprint[fp] = added
	added.elem = s.cleared.PushBack(added)
	return added
}

// countDeath adds a death to a fingerprint. It reports whether that death was
// not counted before.
func (m *Machine) countDeath(s *suspect, d upstreamProcess) bool {
	if slices.Contains(s.countedDeaths, d) {
		return false
	}
	s.countedDeaths = append(s.countedDeaths, d)
	if len(s.countedDeaths) > maxDeathsPerSuspect {
		s.countedDeaths = slices.Delete(s.countedDeaths, 0, 1)
	}
	if s.probe != nil && s.probe.process.Upstream == d.Upstream {
		m.endProbe(s)
	}
	m.setDeaths(s, min(s.deaths+1, finalDeaths))
	return true
}

// restoredClearedIndex returns the index of the last clearing as far as a snapshot
// tells. Versions that do not know clearedIndex refuse snapshots with unknown
// fields, so it is not stored there. A fingerprint with one death that was counted for
// more was cleared before that death, and no committed change lies between the two.
func (s *suspect) restoredClearedIndex() uint64 {
	switch {
	case s.deaths == 0:
		return s.index
	case s.deaths == 1 && len(s.countedDeaths) > 1:
		return s.index - 1
	}
	return 0
}

// setDeaths sets the number of deaths and moves the fingerprint to the end of
// its list.
func (m *Machine) setDeaths(s *suspect, deaths int) {
	all := &m.suspects
	all.listOf(s).Remove(s.elem)
	s.deaths = deaths
	s.index = m.index
	if deaths == 0 {
		s.clearedIndex = m.index
	}
	s.changedAt = m.now
	s.elem = all.listOf(s).PushBack(s)
	all.newestIndex = m.index
}

func (s *suspects) listOf(sus *suspect) *list.List {
	if sus.deaths == 0 {
		return s.cleared
	}
	return s.withDeaths
}

func (m *Machine) probe(c *Probe) Result {
	m.endExpiredProbes()
	s := m.suspects.byFingerprint[c.Fingerprint]
	if s == nil || s.deaths == 0 {
		return Result{Verdict: Clear}
	}
	if s.deaths >= finalDeaths {
		return Result{Verdict: Final}
	}
	if s.probe != nil && s.probe.token == c.Token {
		return Result{Verdict: Granted}
	}
	other := s
	if s.probe == nil {
		other = m.suspects.probesByUpstream[c.Upstream]
	}
	if other != nil {
		return Result{Verdict: InProgress, RetryAfter: min(duration(other.probe.expiresAt-m.now), maxRetryAfter)}
	}
	s.probe = &probe{
		token:     c.Token,
		holder:    c.Holder,
		process:   upstreamProcess{c.Upstream, c.Incarnation},
		expiresAt: m.now + millis(c.Timeout),
	}
	m.suspects.probesByUpstream[c.Upstream] = s
	return Result{Verdict: Granted}
}

func (m *Machine) finishProbe(c *EndProbe) Result {
	m.endExpiredProbes()
	s := m.suspects.byFingerprint[c.Fingerprint]
	if s == nil || s.probe == nil || s.probe.token != c.Token {
		return Result{Verdict: Missing}
	}
	d := s.probe.process
	m.endProbe(s)
	switch c.Outcome {
	case Survived:
		m.setDeaths(s, 0)
	case Died:
		m.countDeath(s, d)
	case Inconclusive:
	}
	return Result{Verdict: ProbeEnded}
}

// endExpiredProbes ends the probes whose timeout has passed. There is at most
// one probe per upstream, so the loop is short.
func (m *Machine) endExpiredProbes() {
	for _, s := range m.suspects.probesByUpstream {
		if s.probe.expiresAt <= m.now {
			m.endProbe(s)
		}
	}
}

func (m *Machine) endProbe(s *suspect) {
	delete(m.suspects.probesByUpstream, s.probe.process.Upstream)
	s.probe = nil
}

// expireSuspects applies the retention of fingerprints, in a bounded batch. A
// suspect is first cleared and deleted later, so that entry hosts learn of it.
func (m *Machine) expireSuspects() {
	all := &m.suspects
	for range maxDuePerCommand {
		e := all.withDeaths.Front()
		if e == nil || e.Value.(*suspect).changedAt+millis(m.cfg.SuspectRetention) > m.now {
			break
		}
		s := e.Value.(*suspect)
		if s.probe != nil {
			m.endProbe(s)
		}
		m.setDeaths(s, 0)
	}
	for range maxDuePerCommand {
		e := all.cleared.Front()
		if e == nil || e.Value.(*suspect).changedAt+millis(m.cfg.ClearedRetention) > m.now {
			break
		}
		m.dropCleared(e.Value.(*suspect))
	}
}

func (m *Machine) dropCleared(s *suspect) {
	all := &m.suspects
	all.cleared.Remove(s.elem)
	delete(all.byFingerprint, s.fingerprint)
	all.droppedIndex = max(all.droppedIndex, s.index)
}
