package agatestate

import (
	"bytes"
	"cmp"
	"container/list"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrSnapshot is wrapped by errors about a snapshot that is corrupt or of an
// unknown version.
var ErrSnapshot = errors.New("agatestate: bad snapshot")

// A snapshot consists of the magic, the version, a sequence of CBOR items
// (header, changes, records, cleared and live suspects, upstreams) and the
// xxHash64 of all preceding bytes.
const (
	snapshotMagic     = "AGST"
	snapshotVersion   = 1
	snapshotPrefixLen = len(snapshotMagic) + 1
	snapshotSumLen    = 8
)

type (
	snapHeader struct {
		Index               uint64     `cbor:"1,keyasint"`
		Now                 int64      `cbor:"2,keyasint"`
		Config              snapConfig `cbor:"3,keyasint"`
		FloorIndex          uint64     `cbor:"4,keyasint"`
		FloorHoldUntil      int64      `cbor:"5,keyasint"`
		NewestSuspectIndex  uint64     `cbor:"6,keyasint"`
		DroppedSuspectIndex uint64     `cbor:"7,keyasint"`
		NumChanges          int        `cbor:"8,keyasint"`
		NumRecords          int        `cbor:"9,keyasint"`
		NumCleared          int        `cbor:"10,keyasint"`
		NumWithDeaths       int        `cbor:"11,keyasint"`
		Limits              wireLimits `cbor:"12,keyasint"`
		Fleet               snapFleet  `cbor:"13,keyasint"`
	}
	snapFleet struct {
		NumUpstreams int      `cbor:"1,keyasint"`
		Index        uint64   `cbor:"2,keyasint"`
		DroppedIndex uint64   `cbor:"3,keyasint"`
		Evacuated    []string `cbor:"4,keyasint"`
		NumClaims    int      `cbor:"5,keyasint,omitempty"`
	}
	snapUpstream struct {
		Upstream  wireUpstream `cbor:"1,keyasint"`
		Index     uint64       `cbor:"2,keyasint"`
		ChangedAt int64        `cbor:"3,keyasint"`
		Displaced bool         `cbor:"4,keyasint,omitempty"`
		Defended  int64        `cbor:"5,keyasint,omitempty"`
		Unlisted  bool         `cbor:"6,keyasint,omitempty"`
	}
	snapClaim struct {
		ID          string         `cbor:"1,keyasint"`
		Address     netip.AddrPort `cbor:"2,keyasint"`
		Service     string         `cbor:"3,keyasint"`
		StartedAtMs int64          `cbor:"4,keyasint"`
		Sequence    uint64         `cbor:"5,keyasint"`
		Since       int64          `cbor:"6,keyasint"`
		LastAt      int64          `cbor:"7,keyasint"`
	}
	snapConfig struct {
		Revision   uint64 `cbor:"1,keyasint"`
		Document   []byte `cbor:"2,keyasint"`
		ChangeID   string `cbor:"3,keyasint"`
		Operator   string `cbor:"4,keyasint"`
		AcceptedAt int64  `cbor:"5,keyasint"`
	}
	snapChange struct {
		ID           string   `cbor:"1,keyasint"`
		DocumentHash [32]byte `cbor:"2,keyasint"`
		Verdict      Verdict  `cbor:"3,keyasint"`
		Revision     uint64   `cbor:"4,keyasint"`
		ChangeID     string   `cbor:"5,keyasint"`
		Operator     string   `cbor:"6,keyasint"`
		RecordedAt   int64    `cbor:"7,keyasint"`
	}
	snapRecord struct {
		Service      string      `cbor:"1,keyasint"`
		Key          string      `cbor:"2,keyasint"`
		PayloadHash  PayloadHash `cbor:"3,keyasint"`
		State        state       `cbor:"4,keyasint"`
		Holder       string      `cbor:"5,keyasint"`
		Epoch        uint64      `cbor:"6,keyasint"`
		Token        Token       `cbor:"7,keyasint"`
		Answer       *wireAnswer `cbor:"8,keyasint"`
		Ran          bool        `cbor:"9,keyasint"`
		CreatedIndex uint64      `cbor:"10,keyasint"`
		ChangedIndex uint64      `cbor:"11,keyasint"`
		HoldUntil    int64       `cbor:"12,keyasint"`
		Due          int64       `cbor:"13,keyasint"`
	}
	snapSuspect struct {
		Fingerprint   Fingerprint       `cbor:"1,keyasint"`
		Deaths        int               `cbor:"2,keyasint"`
		CountedDeaths []upstreamProcess `cbor:"3,keyasint"`
		Index         uint64            `cbor:"4,keyasint"`
		ChangedAt     int64             `cbor:"5,keyasint"`
		Probe         *snapProbe        `cbor:"6,keyasint"`
	}
	snapProbe struct {
		Token     Token           `cbor:"1,keyasint"`
		Holder    string          `cbor:"2,keyasint"`
		Process   upstreamProcess `cbor:"3,keyasint"`
		ExpiresAt int64           `cbor:"4,keyasint"`
	}
)

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var buf bytes.Buffer
	buf.WriteString(snapshotMagic)
	buf.WriteByte(snapshotVersion)
	if err := m.writeItems(&buf); err != nil {
		return nil, fmt.Errorf("agatestate: snapshot: %w", err)
	}
	sum := xxhash.Sum64(buf.Bytes())
	return binary.BigEndian.AppendUint64(buf.Bytes(), sum), nil
}

func (m *Machine) writeItems(buf *bytes.Buffer) error {
	enc := encoder.NewEncoder(buf)
	if err := enc.Encode(m.header()); err != nil {
		return err
	}
	for e := m.config.queue.Front(); e != nil; e = e.Next() {
		if err := enc.Encode(e.Value.(*change).snap()); err != nil {
			return err
		}
	}
	for _, r := range m.actions.byCreation() {
		if err := enc.Encode(r.snap()); err != nil {
			return err
		}
	}
	for _, l := range []*list.List{m.suspects.cleared, m.suspects.withDeaths} {
		for e := l.Front(); e != nil; e = e.Next() {
			if err := enc.Encode(e.Value.(*suspect).snap()); err != nil {
				return err
			}
		}
	}
	for _, e := range m.fleet.sortedByID() {
		if err := enc.Encode(snapUpstream{wireUpstream(e.upstream), e.index, e.changedAt, e.displaced, e.defendedAt, m.fleet.isUnlisted(e)}); err != nil {
			return err
		}
	}
	for _, c := range m.fleet.sortedClaims() {
		if err := enc.Encode(c.snap()); err != nil {
			return err
		}
	}
	return nil
}

// sortedByID returns the entries in the order of the upstream ids.
func (f *fleet) sortedByID() []*fleetEntry {
	entries := slices.Collect(maps.Values(f.upstreams))
	slices.SortFunc(entries, func(x, y *fleetEntry) int { return cmp.Compare(x.upstream.ID, y.upstream.ID) })
	return entries
}

func (m *Machine) header() snapHeader {
	cur := &m.config.current
	h := snapHeader{
		Index:               m.index,
		Now:                 m.now,
		FloorIndex:          m.actions.floorIndex,
		FloorHoldUntil:      m.actions.floorHoldUntil,
		NewestSuspectIndex:  m.suspects.newestIndex,
		DroppedSuspectIndex: m.suspects.droppedIndex,
		NumChanges:          m.config.queue.Len(),
		NumRecords:          len(m.actions.records),
		NumCleared:          m.suspects.cleared.Len(),
		NumWithDeaths:       m.suspects.withDeaths.Len(),
		Limits:              wireLimits(m.limits()),
		Fleet:               snapFleet{len(m.fleet.upstreams), m.fleet.index, m.fleet.droppedIndex, m.fleet.evacuated, len(m.fleet.claims)},
	}
	if cur.Revision > 0 {
		h.Config = snapConfig{cur.Revision, cur.Document, cur.ChangeID, cur.Operator, cur.AcceptedAt.UnixMilli()}
	}
	return h
}

// byCreation returns the records in the order of their creation, which does not
// depend on the layout of the queue.
func (a *actions) byCreation() []*record {
	rs := slices.Clone(a.queue)
	slices.SortFunc(rs, func(x, y *record) int { return cmp.Compare(x.createdIndex, y.createdIndex) })
	return rs
}

func (c *change) snap() snapChange {
	a := &c.result
	return snapChange{c.id, c.documentHash, a.Verdict, a.Revision, a.ChangeID, a.Operator, c.recordedAt}
}

func (r *record) snap() snapRecord {
	return snapRecord{
		r.key.service, r.key.key, r.payloadHash, r.state, r.holder, r.epoch, r.token,
		toWire(r.answer), r.ran, r.createdIndex, r.changedIndex, r.holdUntil, r.due,
	}
}

func (s *suspect) snap() snapSuspect {
	w := snapSuspect{s.fingerprint, s.deaths, s.countedDeaths, s.index, s.changedAt, nil}
	if p := s.probe; p != nil {
		w.Probe = &snapProbe{p.token, p.holder, p.process, p.expiresAt}
	}
	return w
}

// Restore replaces the state by that of a snapshot. Errors wrap ErrSnapshot and
// leave the state unchanged.
func (m *Machine) Restore(b []byte) error {
	items, err := unwrapSnapshot(b)
	if err != nil {
		return err
	}
	n := New(m.cfg)
	if err := n.readItems(items); err != nil {
		return fmt.Errorf("%w: %v", ErrSnapshot, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = n.index
	m.now = n.now
	m.config = n.config
	m.actions = n.actions
	m.suspects = n.suspects
	m.fleet = n.fleet
	m.readServices()
	m.ordinals = m.usesOrdinals()
	m.setLimits(n.limits())
	return nil
}

// unwrapSnapshot verifies the magic, the version and the checksum of a snapshot
// and returns its items.
func unwrapSnapshot(b []byte) ([]byte, error) {
	if len(b) < snapshotPrefixLen+snapshotSumLen || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return nil, fmt.Errorf("%w: too short or without the magic AGST", ErrSnapshot)
	}
	if v := b[snapshotPrefixLen-1]; v != snapshotVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrSnapshot, v, snapshotVersion)
	}
	end := len(b) - snapshotSumLen
	if xxhash.Sum64(b[:end]) != binary.BigEndian.Uint64(b[end:]) {
		return nil, fmt.Errorf("%w: checksum mismatch", ErrSnapshot)
	}
	return b[snapshotPrefixLen:end], nil
}

// decodeNext decodes the first item of *items and removes it.
func decodeNext[T any](items *[]byte) (T, error) {
	var v T
	rest, err := decoder.UnmarshalFirst(*items, &v)
	*items = rest
	return v, err
}

func (m *Machine) readItems(items []byte) error {
	h, err := decodeNext[snapHeader](&items)
	if err != nil {
		return err
	}
	m.setHeader(h)
	if err := decodeEach(h.NumChanges, &items, m.restoreChange); err != nil {
		return err
	}
	if err := decodeEach(h.NumRecords, &items, m.restoreRecord); err != nil {
		return err
	}
	if err := decodeEach(h.NumCleared+h.NumWithDeaths, &items, m.restoreSuspect); err != nil {
		return err
	}
	if err := decodeEach(h.Fleet.NumUpstreams, &items, m.restoreUpstream); err != nil {
		return err
	}
	if err := decodeEach(h.Fleet.NumClaims, &items, m.restoreClaim); err != nil {
		return err
	}
	if len(items) > 0 {
		return fmt.Errorf("%d trailing bytes", len(items))
	}
	return nil
}

// decodeEach decodes n items and passes each to add.
func decodeEach[T any](n int, items *[]byte, add func(T) error) error {
	for range n {
		v, err := decodeNext[T](items)
		if err != nil {
			return err
		}
		if err := add(v); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) setHeader(h snapHeader) {
	m.index = h.Index
	m.now = h.Now
	if c := h.Config; c.Revision > 0 {
		m.config.current = ConfigRevision{c.Revision, c.Document, c.ChangeID, c.Operator, time.UnixMilli(c.AcceptedAt)}
	}
	m.actions.floorIndex = h.FloorIndex
	m.actions.floorHoldUntil = h.FloorHoldUntil
	m.suspects.newestIndex = h.NewestSuspectIndex
	m.suspects.droppedIndex = h.DroppedSuspectIndex
	m.setLimits(Limits(h.Limits))
	m.fleet.index = h.Fleet.Index
	m.fleet.droppedIndex = h.Fleet.DroppedIndex
	m.fleet.evacuated = h.Fleet.Evacuated
}

func (m *Machine) restoreUpstream(w snapUpstream) error {
	e := &fleetEntry{Upstream(w.Upstream), w.Index, w.ChangedAt, w.Displaced, w.Defended}
	m.fleet.upstreams[e.upstream.ID] = e
	m.fleet.recordGone(e)
	if w.Unlisted {
		m.fleet.unlisted[e.upstream.ID] = e
	}
	if !e.upstream.Gone || e.upstream.Expired {
		m.fleet.addresses[e.upstream.Address] = e
	}
	return nil
}

func (c *claim) snap() snapClaim {
	return snapClaim{c.key.ID, c.key.Address, c.key.Service, c.key.StartedAtMs, c.sequence, c.since, c.lastAt}
}

func (m *Machine) restoreClaim(w snapClaim) error {
	key := claimKey{w.ID, w.Address, w.Service, w.StartedAtMs}
	m.fleet.claims[key] = &claim{key: key, sequence: w.Sequence, since: w.Since, lastAt: w.LastAt}
	return nil
}

func (m *Machine) restoreChange(w snapChange) error {
	c := &change{id: w.ID, documentHash: w.DocumentHash, recordedAt: w.RecordedAt}
	c.result = Result{Verdict: w.Verdict, Revision: w.Revision, ChangeID: w.ChangeID, Operator: w.Operator}
	m.config.changes[c.id] = c
	m.config.queue.PushBack(c)
	return nil
}

func (m *Machine) restoreRecord(w snapRecord) error {
	r := &record{
		actionKey{w.Service, w.Key},
		w.PayloadHash, w.State, w.Holder, w.Epoch, w.Token,
		fromWire(w.Answer), w.Ran, w.CreatedIndex, w.ChangedIndex, w.HoldUntil, w.Due, 0,
	}
	if r.state >= numStates || m.actions.records[r.key] != nil {
		return fmt.Errorf("record of key %q of service %q has an invalid state or is a duplicate", w.Key, w.Service)
	}
	m.insertRecord(r)
	return nil
}

func (m *Machine) restoreSuspect(w snapSuspect) error {
	s := &suspect{fingerprint: w.Fingerprint, deaths: w.Deaths, countedDeaths: w.CountedDeaths, index: w.Index, changedAt: w.ChangedAt}
	s.clearedIndex = s.restoredClearedIndex()
	if p := w.Probe; p != nil {
		s.probe = &probe{p.Token, p.Holder, p.Process, p.ExpiresAt}
		m.suspects.probesByUpstream[p.Process.Upstream] = s
	}
	m.suspects.byFingerprint[s.fingerprint] = s
	s.elem = m.suspects.listOf(s).PushBack(s)
	return nil
}
