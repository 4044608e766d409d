package agateshift

import (
	"math"
	"time"
)

const (
	// coldShare is the part of a destination's capacity with which a shift
	// into an idle destination starts.
	coldShare = 0.05
	// coldLeast is the least such start in requests/s.
	coldLeast = 2.0
	// coldDouble is the least time in which the load of a destination may
	// double.
	coldDouble = time.Second
)

// forgetTime is how long the demand of a host counts that is silent and not,
// or no longer, in the inventory.
const forgetTime = time.Minute

type destKey struct {
	service string
	region  string
}

// dest is a service in a region, as a destination of overflow.
type dest struct {
	key     destKey
	flows   []*flow
	reports map[string]*report
	// used sums what is granted and has not surely ended.
	used float64
	// capacity is the lowest that is reported, or 0 if none is known.
	capacity float64
	// own is the demand of hosts that reported, unknown that of the others.
	own     float64
	unknown float64
	// warm is the load that the destination may take now; see ramp.
	warm   float64
	warmAt time.Time
	// at is when the figures and the division were last made.
	at time.Time
}

// report is the latest that one host said about a destination.
type report struct {
	capacity float64
	own      float64
	at       time.Time
}

func (d *dest) report(now time.Time, host string, m Demand) {
	r := &report{capacity: m.Capacity, own: m.Own, at: now.Add(-max(m.Age, 0))}
	if m.Capacity == Unknown {
		r.capacity = math.Inf(1) // bounds nothing; see refresh for all unknown
	}
	if old := d.reports[host]; old != nil {
		if r.at.Before(old.at) {
			return
		}
		d.own -= old.own
	}
	d.reports[host] = r
	d.own += r.own
	d.capacity = min(d.capacity, r.capacity)
	if d.capacity == 0 {
		d.at = time.Time{} // the next division looks whether it is known now
	}
}

// refresh recomputes capacity and demand. What is not known counts as used: a
// host that stopped reporting has its last demand, and a host of the region
// that never reported has its fair share of the capacity.
func (d *dest) refresh(now time.Time, hosts *hosts, maxAge time.Duration) {
	d.own, d.capacity = 0, math.Inf(1)
	known := 0
	for name, r := range d.reports {
		region, listed := hosts.region[name]
		age := now.Sub(r.at)
		if !listed && age > forgetTime {
			delete(d.reports, name)
			continue
		}
		if listed && region == d.key.region {
			known++
		}
		d.own += r.own
		if age <= maxAge {
			d.capacity = min(d.capacity, r.capacity)
		}
	}
	if math.IsInf(d.capacity, 1) {
		d.capacity = 0
	}
	d.unknown = 0
	if n := hosts.count[d.key.region]; n > known {
		d.unknown = d.capacity * float64(n-known) / float64(n)
	}
}

// headroom returns how much overflow the destination can take in total, in
// requests/s, with the name of what limits it.
func (d *dest) headroom(now time.Time, target float64) (float64, string) {
	room := d.capacity*target - d.own - d.unknown
	if cold := d.ramp(now) - d.own; cold < room {
		return cold, "ramp"
	}
	return room, "headroom"
}

// ramp returns the load that the destination may have now, its own included.
// It doubles at most each second, starts at a small part of the capacity, and
// does not run ahead of twice the load that there is, so that a destination
// that was idle is cold again.
func (d *dest) ramp(now time.Time) float64 {
	start := max(d.capacity*coldShare, coldLeast)
	load := d.own + d.used
	grown := d.warm * math.Exp2(min(now.Sub(d.warmAt).Seconds()/coldDouble.Seconds(), 60))
	d.warm = max(min(grown, 2*load), start, load)
	d.warmAt = now
	return d.warm
}
