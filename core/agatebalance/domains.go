package agatebalance

import "time"

const (
	// minUnreachable is the number of upstreams of a failure domain that must be
	// unreachable, without any other of the domain having been heard since, for the
	// whole domain to be suspected.
	minUnreachable = 3
	// minSuspicion and maxSuspicion bound the time until a suspected domain is tried
	// again, which doubles with each trial that fails.
	minSuspicion = 500 * time.Millisecond
	maxSuspicion = 2 * time.Second
)

// domain is what this host knows about a failure domain as a whole. When a domain is
// lost, attempts to connect to its upstreams hang. Without a conclusion from several
// of them about the others, each of many hosts would find out about each upstream by
// a request that waits in vain.
type domain struct {
	unreachable  map[string]struct{} // upstreams that did not answer since any of the domain was last heard
	suspectUntil time.Time
	suspicion    time.Duration // current value between minSuspicion and maxSuspicion
}

// DomainChange tells that a failure domain is suspected from now on, or no longer.
type DomainChange struct {
	Domain    string
	Suspected bool
}

// TakeDomainChanges returns the changes since the last call.
func (t *Table) TakeDomainChanges() []DomainChange {
	changes := t.domainChanges
	t.domainChanges = nil
	return changes
}

// domainHeard records that an upstream responded or accepted a connection.
func (t *Table) domainHeard(u *upstream) {
	if t.domain(u).heard() {
		t.domainChanges = append(t.domainChanges, DomainChange{Domain: u.info.Domain})
	}
}

// domainUnreachable records that an upstream did not answer an attempt to connect.
func (t *Table) domainUnreachable(now time.Time, u *upstream) {
	if t.domain(u).recordUnreachable(now, u.info.ID) {
		t.domainChanges = append(t.domainChanges, DomainChange{Domain: u.info.Domain, Suspected: true})
		t.disrupt(now)
	}
}

func (t *Table) domain(u *upstream) *domain {
	d := t.domains[u.info.Domain]
	if d == nil {
		d = &domain{}
		t.domains[u.info.Domain] = d
	}
	return d
}

// suspected reports whether several upstreams were unreachable and none was heard
// since.
func (d *domain) suspected() bool { return len(d.unreachable) >= minUnreachable }

// avoided reports whether the upstreams of the domain are to be avoided now.
func (d *domain) avoided(now time.Time) bool { return d.suspected() && now.Before(d.suspectUntil) }

// heard records that an upstream of the domain responded or accepted a connection. It
// reports whether the domain was suspected.
func (d *domain) heard() (wasSuspected bool) {
	wasSuspected = d.suspected()
	if len(d.unreachable) > 0 {
		clear(d.unreachable)
	}
	d.suspicion = 0
	return wasSuspected
}

// recordUnreachable records that an upstream did not answer an attempt to connect. It
// reports whether the domain is suspected from now on.
func (d *domain) recordUnreachable(now time.Time, id string) (suspected bool) {
	if d.suspected() {
		return false
	}
	if d.unreachable == nil {
		d.unreachable = map[string]struct{}{}
	}
	d.unreachable[id] = struct{}{}
	if !d.suspected() {
		return false
	}
	d.avoid(now)
	return true
}

// start records that a request is sent to the domain. If the domain is suspected, this
// is a trial, and others avoid the domain until it has ended.
func (d *domain) start(now time.Time) {
	if d.suspected() && !now.Before(d.suspectUntil) {
		d.avoid(now)
	}
}

func (d *domain) avoid(now time.Time) {
	d.suspicion = min(maxSuspicion, max(minSuspicion, 2*d.suspicion))
	d.suspectUntil = now.Add(d.suspicion)
}

// down reports whether an upstream, or its whole failure domain, does not respond.
func (t *Table) down(now time.Time, u *upstream) bool {
	return u.down(now) || t.domain(u).avoided(now)
}
