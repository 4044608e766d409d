package agateshift

import (
	"math"
	"time"
)

const (
	// initialLoadShare is the load that an idle destination may get at first,
	// as a fraction of its capacity.
	initialLoadShare = 0.05
	// minInitialLoad is the lower bound of that load in requests/s.
	minInitialLoad = 2.0
	// rampDoublingTime is the minimum time in which the load of a destination
	// may double.
	rampDoublingTime = time.Second
)

// unlistedReportTTL is how long the last report of a host that is not, or no
// longer, in the inventory counts.
const unlistedReportTTL = time.Minute

type destinationKey struct {
	service string
	region  string
}

// destination is a service in a region that receives overflow.
type destination struct {
	key     destinationKey
	flows   []*flow
	reports map[string]*report
	// granted is the sum of the flows' grantedRequests.
	granted float64
	// capacity is the lowest reported capacity in requests/s, or 0 if none is
	// known.
	capacity float64
	// load is the reported load without overflow, and unreportedLoad the
	// assumed load from the region's hosts without a report, in requests/s.
	load           float64
	unreportedLoad float64
	// rampLimit is the total load that the destination may have now; see
	// updateRamp.
	rampLimit     float64
	rampUpdatedAt time.Time
	// allocatedAt is when refresh and the allocation last ran.
	allocatedAt time.Time
}

// report is the latest report of one host about a destination.
type report struct {
	capacity   float64
	load       float64
	measuredAt time.Time
}

func (d *destination) addReport(now time.Time, host string, r LoadReport) {
	latest := &report{capacity: r.Capacity, load: r.Demand, measuredAt: now.Add(-max(r.Age, 0))}
	if r.Capacity == UnknownCapacity {
		latest.capacity = math.Inf(1) // no bound; refresh handles the case that all are unknown
	}
	if old := d.reports[host]; old != nil {
		if latest.measuredAt.Before(old.measuredAt) {
			return
		}
		d.load -= old.load
	}
	d.reports[host] = latest
	d.load += latest.load
	d.capacity = min(d.capacity, latest.capacity)
	if d.capacity == 0 {
		d.allocatedAt = time.Time{} // have the next grant refresh the capacity
	}
}

// refresh recomputes capacity and load from the reports. Missing data counts as
// load: a host that stopped reporting keeps its last reported load, and a host
// of the region that never reported is assumed to use an equal share of the
// capacity.
func (d *destination) refresh(now time.Time, hosts *hosts, maxReportAge time.Duration) {
	d.load, d.capacity = 0, math.Inf(1)
	reporting := 0
	for name, r := range d.reports {
		region, listed := hosts.regionOf[name]
		age := now.Sub(r.measuredAt)
		if !listed && age > unlistedReportTTL {
			delete(d.reports, name)
			continue
		}
		if listed && region == d.key.region {
			reporting++
		}
		d.load += r.load
		if age <= maxReportAge {
			d.capacity = min(d.capacity, r.capacity)
		}
	}
	if math.IsInf(d.capacity, 1) {
		d.capacity = 0
	}
	d.unreportedLoad = 0
	if n := hosts.countByRegion[d.key.region]; n > reporting {
		d.unreportedLoad = d.capacity * float64(n-reporting) / float64(n)
	}
}

// headroom returns the total overflow that the destination can serve, in
// requests/s, and the limit that determines it: "ramp" or "headroom".
func (d *destination) headroom(now time.Time, target float64) (float64, string) {
	room := d.capacity*target - d.load - d.unreportedLoad
	if rampRoom := d.updateRamp(now) - d.load; rampRoom < room {
		return rampRoom, "ramp"
	}
	return room, "headroom"
}

// updateRamp updates and returns rampLimit, the total load that the destination
// may have now. The limit starts at a small fraction of the capacity, doubles
// at most once per second, and stays within twice the current load, so that a
// destination that became idle is ramped up from the start again.
func (d *destination) updateRamp(now time.Time) float64 {
	initial := max(d.capacity*initialLoadShare, minInitialLoad)
	load := d.load + d.granted
	// The exponent is bounded so that the product stays finite.
	doubled := d.rampLimit * math.Exp2(min(now.Sub(d.rampUpdatedAt).Seconds()/rampDoublingTime.Seconds(), 60))
	d.rampLimit = max(min(doubled, 2*load), initial, load)
	d.rampUpdatedAt = now
	return d.rampLimit
}
