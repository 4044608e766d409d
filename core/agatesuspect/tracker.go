// Package agatesuspect detects poison requests, which crash the upstreams
// processing them. A request that was in flight when an upstream's process died
// is a suspect and may then only be sent as a probe, which never shares an
// upstream with another suspect. After two such deaths it is refused.
//
// # Usage
//
//	t := agatesuspect.New(agatesuspect.Config{})
//	f := agatesuspect.NewFingerprint("labels", "POST", "/labels", key, body)
//	if t.Check(f) == agatesuspect.Clear && t.Start(f, upstream) {
//		... // send the request
//		t.Finish(f, upstream)
//	}
//	for _, f := range t.UpstreamDied(upstream) {
//		... // report to the control group that f was in flight when the upstream died
//	}
package agatesuspect

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// Defaults of a Config.
const (
	DefaultMaxInFlight = 1 << 16
	DefaultMaxRecords  = 1 << 14
)

const refuseAfterDeaths = 2

// Verdict states whether and how a request may be sent.
type Verdict uint8

// The verdicts.
const (
	// Clear means that the request may be sent normally.
	Clear Verdict = iota
	// Suspect means that one upstream died while processing the request; it
	// may only be sent as a probe.
	Suspect
	// Refused means that two or more upstreams died while processing the
	// request; it must not be sent.
	Refused
)

// String returns the name of the verdict as used in logs.
func (v Verdict) String() string {
	return [...]string{"clear", "suspect", "refused"}[v]
}

// Record is the state of one fingerprint at one index of the control group's
// replicated log. A record is cleared when the control group resets its deaths to
// 0, for example because an upstream has answered the request.
type Record struct {
	Fingerprint Fingerprint
	// Deaths is the number of upstream deaths since the record was last cleared.
	Deaths int
	// Index orders the records of one fingerprint. A death that the control
	// group has not committed yet carries the last log index known to the host
	// that reports it.
	Index uint64
	// ClearedIndex is the log index at which the record was last cleared, or 0
	// if it never was. It lets a receiver that missed the clearing accept a
	// lower death count.
	ClearedIndex uint64
}

// Config configures a Tracker.
type Config struct {
	// MaxInFlight is the maximum number of requests tracked at a time. The
	// default is 65536.
	MaxInFlight int
	// MaxRecords is the maximum number of records kept. The default is 16384.
	// Records without deaths are evicted first, then those with one death, then
	// those of refused requests; within each group, the lowest index goes first.
	MaxRecords int
}

// Tracker holds the requests in flight at one entry host and the host's copy of
// the suspect records. It is not safe for concurrent use.
type Tracker struct {
	cfg           Config
	inFlight      map[string]map[Fingerprint]int // requests in flight, by upstream
	inFlightCount int
	records       map[Fingerprint]Record
	index         uint64 // log index up to which records are complete
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	if cfg.MaxRecords <= 0 {
		cfg.MaxRecords = DefaultMaxRecords
	}
	return &Tracker{
		cfg:      cfg,
		inFlight: map[string]map[Fingerprint]int{},
		records:  map[Fingerprint]Record{},
	}
}

// Start records that a request is about to be sent to an upstream. The name
// must identify the incarnation (process) of the upstream. Start returns false
// and records nothing if MaxInFlight requests are tracked already.
func (t *Tracker) Start(f Fingerprint, upstream string) bool {
	if t.inFlightCount >= t.cfg.MaxInFlight {
		return false
	}
	inFlight := t.inFlight[upstream]
	if inFlight == nil {
		inFlight = map[Fingerprint]int{}
		t.inFlight[upstream] = inFlight
	}
	inFlight[f]++
	t.inFlightCount++
	return true
}

// Finish records the end of a request at an upstream that is alive. It does
// nothing if the request is not in flight at that upstream.
func (t *Tracker) Finish(f Fingerprint, upstream string) {
	inFlight := t.inFlight[upstream]
	if inFlight[f] == 0 {
		return
	}
	t.inFlightCount--
	inFlight[f]--
	if inFlight[f] == 0 {
		delete(inFlight, f)
	}
	if len(inFlight) == 0 {
		delete(t.inFlight, upstream)
	}
}

// InFlight returns the fingerprints in flight at an upstream, in no order.
func (t *Tracker) InFlight(upstream string) []Fingerprint {
	return slices.Collect(maps.Keys(t.inFlight[upstream]))
}

// UpstreamDied records the end of an upstream's process. It counts one death for
// each fingerprint in flight at that upstream and returns these fingerprints in
// ascending order. Another call returns only those started since.
func (t *Tracker) UpstreamDied(upstream string) []Fingerprint {
	inFlight := t.inFlight[upstream]
	delete(t.inFlight, upstream)
	var out []Fingerprint
	for f, n := range inFlight {
		t.inFlightCount -= n
		out = append(out, f)
	}
	slices.SortFunc(out, compareFingerprints)
	for _, f := range out {
		r := t.records[f]
		r.Fingerprint = f
		r.Deaths++
		r.Index = max(r.Index, t.index)
		t.records[f] = r
	}
	t.evict()
	return out
}

// Check returns the verdict on a request from the records known to this host.
func (t *Tracker) Check(f Fingerprint) Verdict {
	switch deaths := t.records[f].Deaths; {
	case deaths >= refuseAfterDeaths:
		return Refused
	case deaths > 0:
		return Suspect
	}
	return Clear
}

// Merge merges records received from the control group or from a peer. It is
// idempotent and independent of the order of calls as long as MaxRecords is not
// exceeded. A death count only rises, unless the record was cleared at a later
// index. upTo is the log index up to which the records are complete once list is
// merged. It is 0 for the records of a peer, which are never complete.
func (t *Tracker) Merge(list []Record, upTo uint64) {
	for _, r := range list {
		t.merge(r)
	}
	t.index = max(t.index, upTo)
	t.evict()
}

// merge replaces a record unless the existing one is newer. It keeps the higher
// death count, unless the record was cleared after the index of the existing one:
// r is the clearing itself (no deaths) or a record after it.
func (t *Tracker) merge(r Record) {
	old := t.records[r.Fingerprint]
	if r.Index < old.Index {
		return
	}
	cleared := r.Index > old.Index && (r.Deaths == 0 || r.ClearedIndex > old.Index)
	if !cleared {
		r.Deaths = max(r.Deaths, old.Deaths)
	}
	r.ClearedIndex = max(r.ClearedIndex, old.ClearedIndex)
	t.records[r.Fingerprint] = r
}

// Index returns the log index up to which the records of the control group are
// complete.
func (t *Tracker) Index() uint64 { return t.index }

// Since returns the records at or after an index, sorted by index, to be sent
// to a peer. Records at the index itself are included because deaths that are
// not committed yet carry the last log index known to this host.
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

// evict enforces MaxRecords. It makes room for another eighth of MaxRecords each
// time, which amortizes the cost of sorting over many insertions.
func (t *Tracker) evict() {
	if len(t.records) <= t.cfg.MaxRecords {
		return
	}
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(min(a.Deaths, refuseAfterDeaths), min(b.Deaths, refuseAfterDeaths)), compareRecords(a, b))
	})
	excess := len(all) - t.cfg.MaxRecords + t.cfg.MaxRecords/8
	for _, r := range all[:excess] {
		delete(t.records, r.Fingerprint)
	}
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), compareFingerprints(a.Fingerprint, b.Fingerprint))
}

func compareFingerprints(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) }
