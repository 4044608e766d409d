package agatestate

import (
	"cmp"
	"slices"
)

// Ordinals are stable positions of upstreams: the upstreams of a service in a failure
// domain are numbered from 1, and a new one takes the lowest number that none in use
// has. An upstream that replaces another one thus gets its number, whatever their ids,
// and entry hosts that order upstreams by number move only the objects of the one that
// was replaced.

// updateOrdinals numbers the upstreams in the order of their ids when a configuration that
// asks for ordinals comes into force, and removes the numbers when one that does not ask
// for them follows.
func (m *Machine) updateOrdinals() {
	before := m.ordinals
	m.ordinals = m.usesOrdinals()
	if m.ordinals == before {
		return
	}
	var entries []*fleetEntry
	for _, e := range m.fleet.upstreams {
		if !e.upstream.Gone {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *fleetEntry) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	for _, e := range entries {
		m.assignOrdinal(e, 0)
		m.markChanged(e)
	}
}

func (m *Machine) usesOrdinals() bool {
	return m.cfg.UsesOrdinals != nil && m.cfg.UsesOrdinals(m.config.current.Document)
}

// assignOrdinal numbers an upstream if ordinals are in use. It keeps the previous number
// unless another upstream has it by now.
func (m *Machine) assignOrdinal(e *fleetEntry, previous int) {
	e.upstream.Ordinal = 0
	if !m.ordinals || e.upstream.Gone || m.fleet.isUnlisted(e) {
		return
	}
	used := map[int]bool{}
	for _, other := range m.fleet.upstreams {
		u := &other.upstream
		if other != e && !u.Gone && !u.Draining && u.Service == e.upstream.Service && u.Domain == e.upstream.Domain {
			used[u.Ordinal] = true
		}
	}
	if previous > 0 && !used[previous] {
		e.upstream.Ordinal = previous
		return
	}
	n := 1
	for used[n] {
		n++
	}
	e.upstream.Ordinal = n
}
