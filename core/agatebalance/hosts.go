package agatebalance

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hostRetention is how long a host that is missing from the list still counts
// among those that share a limit. A control replica that starts, or loses its
// streams, lists few hosts until they are back.
const hostRetention = 3 * time.Second

// hosts are the entry hosts among which this one divides what all may use together.
// A host counts from the first list that names it, and for hostRetention after the
// last one, so shares shrink at once and grow late.
type hosts struct {
	names   []string             // sorted; all that count
	missing map[string]time.Time // those that the current list lacks, and since when
}

// SetHosts sets the names of the entry hosts that are alive, including this one.
// Until it is called, cold upstreams get no requests.
func (t *Table) SetHosts(now time.Time, names []string) {
	h := &t.hosts
	if h.missing == nil {
		h.missing = map[string]time.Time{}
	}
	for _, name := range h.names {
		if _, known := h.missing[name]; !known && !slices.Contains(names, name) {
			h.missing[name] = now
		}
	}
	for _, name := range names {
		delete(h.missing, name)
	}
	t.countHosts(append(slices.Clone(names), slices.Collect(maps.Keys(h.missing))...))
}

// ExpireHosts removes the hosts that have been missing from the list for
// hostRetention. It reports whether there were any.
func (t *Table) ExpireHosts(now time.Time) (changed bool) {
	h := &t.hosts
	if len(h.missing) == 0 {
		return false
	}
	expired := func(name string) bool {
		at, missing := h.missing[name]
		return missing && now.Sub(at) >= hostRetention
	}
	names := slices.DeleteFunc(slices.Clone(h.names), expired)
	if len(names) == len(h.names) {
		return false
	}
	maps.DeleteFunc(h.missing, func(name string, _ time.Time) bool { return expired(name) })
	t.countHosts(names)
	return true
}

func (t *Table) countHosts(names []string) {
	slices.Sort(names)
	t.hosts.names = slices.Compact(names)
	for _, u := range t.upstreams {
		u.hostRank = t.hostRank(u)
	}
}

// numHosts is the number of hosts that count, at least 1.
func (t *Table) numHosts() int { return max(1, len(t.hosts.names)) }

// hostRank is the rank of this host in an order of all hosts that is specific to
// the upstream and that all hosts compute alike. Only the first maxColdHosts may
// send to the upstream while it is cold, and the first ones share a limit that it
// names. The rank is -1 if this host is not in the list of SetHosts.
func (t *Table) hostRank(u *upstream) int {
	own, found := hashScore(t.cfg.Host, u.info.ID), false
	rank := 0
	for _, h := range t.hosts.names {
		if h == t.cfg.Host {
			found = true
			continue
		}
		if hashScore(h, u.info.ID) < own {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// hashScore hashes two names to a number in [0, 1).
func hashScore(a, b string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a) // a Digest never returns an error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(b)
	h := d.Sum64()
	return float64(h>>11) / (1 << 53)
}
