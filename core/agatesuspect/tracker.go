// Package agatesuspect recognises requests that crash the upstreams that run
// them. A request that was in flight when an upstream died is a suspect: it
// may then run only as a probe. After its second death it is refused.
//
// # Usage
//
//	t := agatesuspect.New(agatesuspect.Config{})
//	f := agatesuspect.Print("labels", "POST", "/labels", key, body)
//	if t.Check(f) == agatesuspect.Clear && t.Running(f, upstream) {
//		... // send the request
//		t.Done(f, upstream)
//	}
//	for _, f := range t.Died(upstream) {
//		... // report the death of f to the control group
//	}
package agatesuspect

import (
	"bytes"
	"cmp"
	"slices"
)

// Defaults of a Config.
const (
	DefaultInFlight = 1 << 16
	DefaultSuspects = 1 << 14
)

// refusedAt is the number of deaths after which a request is not run again.
const refusedAt = 2

// Verdict says how a request may run.
type Verdict uint8

// The verdicts.
const (
	// Clear: the request may run.
	Clear Verdict = iota
	// Suspect: one upstream died while it ran; it may run as a probe only.
	Suspect
	// Refused: two upstreams died while it ran; it must not run.
	Refused
)

// String returns the name of the verdict as used in logs.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "refused"}[v]
}

// Record is what is known about one fingerprint at one index of the control
// group's log.
type Record struct {
	Print Fingerprint
	// Deaths is the number of deaths since the last clearing.
	Deaths int
	// Index orders records of one fingerprint. A death that the control group
	// has not recorded yet has the index up to which its reporter knew the log.
	Index uint64
	// Cleared is the index of the last clearing, or 0 if there was none. With
	// it, a receiver that missed the clearing still accepts a lower count.
	Cleared uint64
}

// Config holds the bounds of a Tracker.
type Config struct {
	// InFlight is the number of requests tracked at a time; default 65536.
	InFlight int
	// Suspects is the number of records kept; default 16384. Beyond it,
	// records with the fewest deaths and then the lowest index go first.
	Suspects int
}

// Tracker holds the requests in flight at one entry host and its copy of the
// suspects. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	running map[string]map[Fingerprint]int
	total   int
	records map[Fingerprint]Record
	index   uint64
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	if cfg.InFlight <= 0 {
		cfg.InFlight = DefaultInFlight
	}
	if cfg.Suspects <= 0 {
		cfg.Suspects = DefaultSuspects
	}
	return &Tracker{
		cfg:     cfg,
		running: map[string]map[Fingerprint]int{},
		records: map[Fingerprint]Record{},
	}
}

// Running notes that a request is about to be sent to an upstream, which is
// named together with its incarnation. It returns false, and notes nothing, if
// InFlight requests are tracked already.
func (t *Tracker) Running(f Fingerprint, upstream string) bool {
	if t.total >= t.cfg.InFlight {
		return false
	}
	prints := t.running[upstream]
	if prints == nil {
		prints = map[Fingerprint]int{}
		t.running[upstream] = prints
	}
	prints[f]++
	t.total++
	return true
}

// Done notes the end of a request at an upstream that is alive. It does
// nothing if the request is not in flight there.
func (t *Tracker) Done(f Fingerprint, upstream string) {
	prints := t.running[upstream]
	if prints[f] == 0 {
		return
	}
	t.total--
	prints[f]--
	if prints[f] == 0 {
		delete(prints, f)
	}
	if len(prints) == 0 {
		delete(t.running, upstream)
	}
}

// Died notes the end of an upstream's process. It returns the fingerprints in
// flight there, in ascending order, and counts one death for each. Calling it
// again returns only what was noted as running since.
func (t *Tracker) Died(upstream string) []Fingerprint {
	prints := t.running[upstream]
	delete(t.running, upstream)
	var out []Fingerprint
	for f, n := range prints {
		t.total -= n
		out = append(out, f)
	}
	slices.SortFunc(out, comparePrints)
	for _, f := range out {
		r := t.records[f]
		r.Print = f
		r.Deaths++
		r.Index = max(r.Index, t.index)
		t.records[f] = r
	}
	t.evict()
	return out
}

// Check returns how a request may run, as far as this host knows.
func (t *Tracker) Check(f Fingerprint) Verdict {
	switch deaths := t.records[f].Deaths; {
	case deaths >= refusedAt:
		return Refused
	case deaths > 0:
		return Suspect
	}
	return Clear
}

// Merge takes in records of the control group or of a peer, in any order and
// any number of times. Deaths only rise, unless a later index cleared them.
// upTo is the log index up to which list completes what is known; for records
// of a peer, which are never complete, it is 0.
func (t *Tracker) Merge(list []Record, upTo uint64) {
	for _, r := range list {
		t.merge(r)
	}
	t.index = max(t.index, upTo)
	t.evict()
}

func (t *Tracker) merge(r Record) {
	old := t.records[r.Print]
	if r.Index < old.Index {
		return
	}
	cleared := r.Index > old.Index && (r.Deaths == 0 || r.Cleared > old.Index)
	if !cleared {
		r.Deaths = max(r.Deaths, old.Deaths)
	}
	r.Cleared = max(r.Cleared, old.Cleared)
	t.records[r.Print] = r
}

// Index returns the log index up to which the records of the control group are
// complete.
func (t *Tracker) Index() uint64 { return t.index }

// Since returns the records at or after an index, by index, for a peer.
// Records at the index itself are included, because unrecorded deaths have
// the index up to which the log is known.
func (t *Tracker) Since(index uint64) []Record {
	var out []Record
	for _, r := range t.records {
		if r.Index >= index {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareRecords)
	return out
}

// evict keeps the number of records within its bound. It drops an eighth at a
// time, so that the cost of sorting is spread over many insertions.
func (t *Tracker) evict() {
	if len(t.records) <= t.cfg.Suspects {
		return
	}
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(min(a.Deaths, refusedAt), min(b.Deaths, refusedAt)), compareRecords(a, b))
	})
	excess := len(all) - t.cfg.Suspects + t.cfg.Suspects/8
	for _, r := range all[:excess] {
		delete(t.records, r.Print)
	}
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), comparePrints(a.Print, b.Print))
}

func comparePrints(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }
