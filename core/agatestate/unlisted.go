package agatestate

import (
	"cmp"
	"slices"
)

// An upstream may announce a service before a plan names it. It is kept, so that hosts can
// use it as soon as a plan does, but until then it has no rights: it yields its id and its
// address to any upstream of a service that the plan in force names, gets no claim and no
// ordinal, and takes no room that such an upstream needs. Hosts are not told of it: it is
// unlisted. An upstream that was listed once stays listed when a plan drops its service,
// because hosts may still use the plan before that one, or return to it. It yields to those
// that the plan names, but not to those that no plan has named.

// maxUnlisted bounds the unlisted upstreams that are kept beside a plan. Those beyond it
// are taken with their first heartbeat after a plan names their service.
const maxUnlisted = 4096

// Member is an upstream that the control group keeps.
type Member struct {
	Upstream
	// Named means that the configuration in force names the service.
	Named bool
}

// Members returns all upstreams that are kept, also those of which hosts are not told.
func (m *Machine) Members() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]Member, 0, len(m.fleet.upstreams))
	for _, e := range m.fleet.upstreams {
		out = append(out, Member{Upstream: m.withWarmupLeft(e), Named: m.names(e.upstream.Service)})
	}
	return out
}

// Evacuated returns the evacuated failure domains.
func (m *Machine) Evacuated() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.fleet.evacuated)
}

// Names reports whether the configuration in force names a service.
func (m *Machine) Names(service string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.names(service)
}

// readServices reads which services the current configuration names.
func (m *Machine) readServices() {
	if m.cfg.Services == nil {
		m.names = func(string) bool { return true }
		return
	}
	m.names = m.cfg.Services(m.config.current.Document)
}

// rank orders upstreams by their right to an id or an address: one of a lower rank holds
// no place against one of a higher rank.
type rank uint8

const (
	unlistedRank rank = iota
	// droppedRank is that of a listed upstream whose service the configuration no longer
	// names.
	droppedRank
	namedRank
)

func (m *Machine) rankOf(e *fleetEntry) rank {
	switch {
	case m.names(e.upstream.Service):
		return namedRank
	case m.fleet.isUnlisted(e):
		return unlistedRank
	}
	return droppedRank
}

// rankOfAnnouncement returns the rank of an announcement. One of a dropped service has the
// rank of the member that it is about.
func (m *Machine) rankOfAnnouncement(up *Upstream) rank {
	known := m.fleet.upstreams[up.ID]
	switch {
	case m.names(up.Service):
		return namedRank
	case known != nil && known.upstream.samePlace(up):
		return m.rankOf(known)
	}
	return unlistedRank
}

// updateServices lists the upstreams of the services that a new configuration names, and
// drops the claims of those that it does not name.
func (m *Machine) updateServices() {
	m.readServices()
	f := &m.fleet
	for _, e := range f.sortedUnlisted() {
		if e.upstream.Gone || !m.names(e.upstream.Service) {
			continue
		}
		delete(f.unlisted, e.upstream.ID)
		e.upstream = m.withWarmupLeft(e)
		m.assignOrdinal(e, 0)
		m.markChanged(e)
	}
	f.trimUnlisted(maxUnlisted)
	for key := range f.claims {
		if !m.names(key.Service) {
			delete(f.claims, key)
		}
	}
}

// makeRoom reports whether there is room for a new upstream. One whose service is named
// takes that of an unlisted one if there is no other.
func (m *Machine) makeRoom(up *Upstream) bool {
	f := &m.fleet
	if m.names(up.Service) {
		if len(f.upstreams) >= MaxMembers && len(f.unlisted) > 0 {
			f.trimUnlisted(len(f.unlisted) - 1)
		}
		return len(f.upstreams) < MaxMembers
	}
	beforePlan := m.config.current.Revision == 0
	return len(f.upstreams) < MaxMembers && (beforePlan || len(f.unlisted) < maxUnlisted)
}

// trimUnlisted deletes the unlisted upstreams that changed last until n are left.
func (f *fleet) trimUnlisted(n int) {
	if len(f.unlisted) <= n {
		return
	}
	for _, e := range f.sortedUnlisted()[n:] {
		f.remove(e)
	}
}

// remove deletes an upstream that hosts need not be told of.
func (f *fleet) remove(e *fleetEntry) {
	if f.addresses[e.upstream.Address] == e {
		delete(f.addresses, e.upstream.Address)
	}
	delete(f.upstreams, e.upstream.ID)
	delete(f.unlisted, e.upstream.ID)
	delete(f.gone, e.upstream.ID)
}

// sortedUnlisted returns the unlisted upstreams in the order of their last change.
func (f *fleet) sortedUnlisted() []*fleetEntry {
	out := make([]*fleetEntry, 0, len(f.unlisted))
	for _, e := range f.unlisted {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *fleetEntry) int {
		return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	return out
}
