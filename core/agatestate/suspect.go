package agatestate

import (
	"cmp"
	"container/list"
	"slices"
)

// finalDeaths is the number of deaths after which a fingerprint is refused
// for good.
const finalDeaths = 2

// Suspect is the view of one fingerprint.
type Suspect struct {
	Print Fingerprint
	// Deaths is 0 (cleared), 1 (suspect) or 2 (refused for good).
	Deaths int
	// Index is the log index of the last change.
	Index uint64
}

// Delta is what changed about suspects since an index.
type Delta struct {
	// Suspects are in the order of their index.
	Suspects []Suspect
	// Index is the newest index, for the next call.
	Index uint64
	// Full says that Suspects is the whole list and that fingerprints that
	// it does not name are no suspects.
	Full bool
}

// death is one death of an upstream.
type death struct {
	Upstream    string
	Incarnation uint64
}

// suspect is one fingerprint.
type suspect struct {
	print  Fingerprint
	deaths int
	// counted are the last deaths, so that several hosts' reports of one
	// death count once, also after the suspect was cleared.
	counted []death
	index   uint64
	at      int64 // state time of the last change
	probe   *probe
	elem    *list.Element
}

// probe is an outstanding probe.
type probe struct {
	token  Token
	holder string
	death  death // the upstream that runs it
	until  int64 // state time
}

// suspects are the fingerprints. Both lists are in the order of the last
// change: live ones with deaths, and cleared ones.
type suspects struct {
	prints  map[Fingerprint]*suspect
	live    *list.List
	cleared *list.List
	probes  map[string]*suspect // by upstream
	newest  uint64              // index of the last change of any suspect
	dropped uint64              // newest index among dropped fingerprints
}

func newSuspects() suspects {
	return suspects{
		prints:  map[Fingerprint]*suspect{},
		live:    list.New(),
		cleared: list.New(),
		probes:  map[string]*suspect{},
	}
}

// SuspectsSince returns the suspects that changed after an index. Index 0
// asks for the whole list.
func (m *Machine) SuspectsSince(index uint64) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &m.suspects
	d := Delta{Index: s.newest, Full: index == 0 || index < s.dropped}
	if d.Full {
		index = 0
	} else {
		d.Suspects = appendSince(d.Suspects, s.cleared, index)
	}
	d.Suspects = appendSince(d.Suspects, s.live, index)
	slices.SortStableFunc(d.Suspects, func(a, b Suspect) int { return cmp.Compare(a.Index, b.Index) })
	return d
}

// appendSince appends the suspects of a list whose index is higher, in the
// list's order.
func appendSince(to []Suspect, l *list.List, index uint64) []Suspect {
	from := len(to)
	for e := l.Back(); e != nil; e = e.Prev() {
		s := e.Value.(*suspect)
		if s.index <= index {
			break
		}
		to = append(to, Suspect{Print: s.print, Deaths: s.deaths, Index: s.index})
	}
	slices.Reverse(to[from:])
	return to
}

func (m *Machine) death(c *Death) Result {
	d := death{c.Upstream, c.Incarnation}
	changed, lost := 0, 0
	for _, p := range c.Prints {
		s := m.suspects.prints[p]
		if s == nil {
			s = m.addSuspect(p)
		}
		switch {
		case s == nil:
			lost++
		case m.count(s, d):
			changed++
		}
	}
	if lost > 0 {
		return Result{Verdict: Full, Count: changed}
	}
	return Result{Verdict: Counted, Count: changed}
}

func (m *Machine) absolve(c *Absolve) Result {
	changed := 0
	for _, p := range c.Prints {
		s := m.suspects.prints[p]
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

// addSuspect returns a new fingerprint without deaths, or nil when there is
// no room. Cleared ones give way; suspects are never dropped early.
func (m *Machine) addSuspect(p Fingerprint) *suspect {
	s := &m.suspects
	if len(s.prints) >= m.cfg.Suspects {
		oldest := s.cleared.Front()
		if oldest == nil {
			return nil
		}
		m.dropCleared(oldest.Value.(*suspect))
	}
	added := &suspect{print: p}
	s.prints[p] = added
	added.elem = s.cleared.PushBack(added)
	return added
}

// count adds one death to a fingerprint and reports whether it is a new one.
func (m *Machine) count(s *suspect, d death) bool {
	if slices.Contains(s.counted, d) {
		return false
	}
	s.counted = append(s.counted, d)
	if len(s.counted) > maxCountedPerSuspect {
		s.counted = slices.Delete(s.counted, 0, 1)
	}
	if s.probe != nil && s.probe.death.Upstream == d.Upstream {
		m.endProbe(s)
	}
	m.setDeaths(s, min(s.deaths+1, finalDeaths))
	return true
}

// setDeaths changes a fingerprint and moves it to the end of its list.
func (m *Machine) setDeaths(s *suspect, deaths int) {
	l := &m.suspects
	l.listOf(s).Remove(s.elem)
	s.deaths = deaths
	s.index = m.index
	s.at = m.now
	s.elem = l.listOf(s).PushBack(s)
	l.newest = m.index
}

func (l *suspects) listOf(s *suspect) *list.List {
	if s.deaths == 0 {
		return l.cleared
	}
	return l.live
}

func (m *Machine) probe(c *Probe) Result {
	m.endLateProbes()
	s := m.suspects.prints[c.Print]
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
		other = m.suspects.probes[c.Upstream]
	}
	if other != nil {
		return Result{Verdict: InProgress, RetryAfter: min(duration(other.probe.until-m.now), maxRetryAfter)}
	}
	s.probe = &probe{
		token:  c.Token,
		holder: c.Holder,
		death:  death{c.Upstream, c.Incarnation},
		until:  m.now + millis(c.Timeout),
	}
	m.suspects.probes[c.Upstream] = s
	return Result{Verdict: Granted}
}

func (m *Machine) settle(c *Settle) Result {
	m.endLateProbes()
	s := m.suspects.prints[c.Print]
	if s == nil || s.probe == nil || s.probe.token != c.Token {
		return Result{Verdict: Missing}
	}
	d := s.probe.death
	m.endProbe(s)
	switch c.Outcome {
	case Survived:
		m.setDeaths(s, 0)
	case Died:
		m.count(s, d)
	case NotStarted:
	}
	return Result{Verdict: Settled}
}

// endLateProbes ends the probes whose timeout has passed. There is at most
// one probe for each upstream, so the walk is short.
func (m *Machine) endLateProbes() {
	for _, s := range m.suspects.probes {
		if s.probe.until <= m.now {
			m.endProbe(s)
		}
	}
}

func (m *Machine) endProbe(s *suspect) {
	delete(m.suspects.probes, s.probe.death.Upstream)
	s.probe = nil
}

// dropSuspects ends the retention of fingerprints, in a bounded batch. A
// suspect first counts as cleared, so that entry hosts learn of it.
func (m *Machine) dropSuspects() {
	l := &m.suspects
	for range dueLimit {
		e := l.live.Front()
		if e == nil || e.Value.(*suspect).at+millis(m.cfg.SuspectAge) > m.now {
			break
		}
		s := e.Value.(*suspect)
		if s.probe != nil {
			m.endProbe(s)
		}
		m.setDeaths(s, 0)
	}
	for range dueLimit {
		e := l.cleared.Front()
		if e == nil || e.Value.(*suspect).at+millis(m.cfg.ClearedAge) > m.now {
			break
		}
		m.dropCleared(e.Value.(*suspect))
	}
}

func (m *Machine) dropCleared(s *suspect) {
	l := &m.suspects
	l.cleared.Remove(s.elem)
	delete(l.prints, s.print)
	l.dropped = max(l.dropped, s.index)
}
