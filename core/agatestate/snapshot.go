package agatestate

import (
	"bytes"
	"cmp"
	"container/list"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrSnapshot is wrapped by errors about a snapshot that is damaged or of
// an unknown version.
var ErrSnapshot = errors.New("agatestate: bad snapshot")

// A snapshot is the magic, the version, a sequence of CBOR items (head,
// changes, records, cleared and live suspects, upstreams) and the xxHash64 of all that.
const (
	snapshotMagic   = "AGST"
	snapshotVersion = 1
	snapshotHead    = len(snapshotMagic) + 1
	snapshotSum     = 8
)

type (
	snapHead struct {
		Index     uint64     `cbor:"1,keyasint"`
		Now       int64      `cbor:"2,keyasint"`
		Config    snapConfig `cbor:"3,keyasint"`
		Floor     uint64     `cbor:"4,keyasint"`
		FloorHold int64      `cbor:"5,keyasint"`
		Newest    uint64     `cbor:"6,keyasint"`
		Dropped   uint64     `cbor:"7,keyasint"`
		Changes   int        `cbor:"8,keyasint"`
		Records   int        `cbor:"9,keyasint"`
		Cleared   int        `cbor:"10,keyasint"`
		Live      int        `cbor:"11,keyasint"`
		Limits    wireLimits `cbor:"12,keyasint"`
		Fleet     snapFleet  `cbor:"13,keyasint"`
	}
	snapFleet struct {
		Rows      int      `cbor:"1,keyasint"`
		Index     uint64   `cbor:"2,keyasint"`
		Dropped   uint64   `cbor:"3,keyasint"`
		Evacuated []string `cbor:"4,keyasint"`
	}
	snapRow struct {
		Upstream wireUpstream `cbor:"1,keyasint"`
		Index    uint64       `cbor:"2,keyasint"`
		At       int64        `cbor:"3,keyasint"`
	}
	snapConfig struct {
		Revision uint64 `cbor:"1,keyasint"`
		Document []byte `cbor:"2,keyasint"`
		Change   string `cbor:"3,keyasint"`
		Operator string `cbor:"4,keyasint"`
		At       int64  `cbor:"5,keyasint"`
	}
	snapChange struct {
		ID       string   `cbor:"1,keyasint"`
		Document [32]byte `cbor:"2,keyasint"`
		Verdict  Verdict  `cbor:"3,keyasint"`
		Revision uint64   `cbor:"4,keyasint"`
		Change   string   `cbor:"5,keyasint"`
		Operator string   `cbor:"6,keyasint"`
		At       int64    `cbor:"7,keyasint"`
	}
	snapRecord struct {
		Service string      `cbor:"1,keyasint"`
		Key     string      `cbor:"2,keyasint"`
		Payload Payload     `cbor:"3,keyasint"`
		State   state       `cbor:"4,keyasint"`
		Holder  string      `cbor:"5,keyasint"`
		Epoch   uint64      `cbor:"6,keyasint"`
		Token   Token       `cbor:"7,keyasint"`
		Answer  *wireAnswer `cbor:"8,keyasint"`
		Ran     bool        `cbor:"9,keyasint"`
		Created uint64      `cbor:"10,keyasint"`
		Touched uint64      `cbor:"11,keyasint"`
		Hold    int64       `cbor:"12,keyasint"`
		Due     int64       `cbor:"13,keyasint"`
	}
	snapSuspect struct {
		Print   Fingerprint `cbor:"1,keyasint"`
		Deaths  int         `cbor:"2,keyasint"`
		Counted []death     `cbor:"3,keyasint"`
		Index   uint64      `cbor:"4,keyasint"`
		At      int64       `cbor:"5,keyasint"`
		Probe   *snapProbe  `cbor:"6,keyasint"`
	}
	snapProbe struct {
		Token  Token  `cbor:"1,keyasint"`
		Holder string `cbor:"2,keyasint"`
		Death  death  `cbor:"3,keyasint"`
		Until  int64  `cbor:"4,keyasint"`
	}
)

// Snapshot returns the whole state. Equal states give equal bytes.
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
	if err := enc.Encode(m.head()); err != nil {
		return err
	}
	for e := m.register.queue.Front(); e != nil; e = e.Next() {
		if err := enc.Encode(e.Value.(*change).snap()); err != nil {
			return err
		}
	}
	for _, r := range m.actions.byCreation() {
		if err := enc.Encode(r.snap()); err != nil {
			return err
		}
	}
	for _, l := range []*list.List{m.suspects.cleared, m.suspects.live} {
		for e := l.Front(); e != nil; e = e.Next() {
			if err := enc.Encode(e.Value.(*suspect).snap()); err != nil {
				return err
			}
		}
	}
	for _, row := range m.fleet.sorted() {
		if err := enc.Encode(snapRow{wireUpstream(row.up), row.index, row.at}); err != nil {
			return err
		}
	}
	return nil
}

// sorted returns the rows by identity.
func (f *fleet) sorted() []*fleetRow {
	rows := slices.Collect(maps.Values(f.rows))
	slices.SortFunc(rows, func(x, y *fleetRow) int { return cmp.Compare(x.up.ID, y.up.ID) })
	return rows
}

func (m *Machine) head() snapHead {
	cur := &m.register.current
	h := snapHead{
		Index:     m.index,
		Now:       m.now,
		Floor:     m.actions.floor,
		FloorHold: m.actions.floorHold,
		Newest:    m.suspects.newest,
		Dropped:   m.suspects.dropped,
		Changes:   m.register.queue.Len(),
		Records:   len(m.actions.records),
		Cleared:   m.suspects.cleared.Len(),
		Live:      m.suspects.live.Len(),
		Limits:    wireLimits(m.limits()),
		Fleet:     snapFleet{len(m.fleet.rows), m.fleet.index, m.fleet.dropped, m.fleet.evacuated},
	}
	if cur.Revision > 0 {
		h.Config = snapConfig{cur.Revision, cur.Document, cur.Change, cur.Operator, cur.At.UnixMilli()}
	}
	return h
}

// byCreation returns the records in an order that does not depend on the
// layout of the queue.
func (a *actions) byCreation() []*record {
	rs := slices.Clone(a.queue)
	slices.SortFunc(rs, func(x, y *record) int { return cmp.Compare(x.created, y.created) })
	return rs
}

func (c *change) snap() snapChange {
	a := &c.answer
	return snapChange{c.id, c.document, a.Verdict, a.Revision, a.Change, a.Operator, c.at}
}

func (r *record) snap() snapRecord {
	return snapRecord{
		r.name.service, r.name.key, r.payload, r.state, r.holder, r.epoch, r.token,
		toWire(r.answer), r.ran, r.created, r.touched, r.hold, r.due,
	}
}

func (s *suspect) snap() snapSuspect {
	w := snapSuspect{s.print, s.deaths, s.counted, s.index, s.at, nil}
	if p := s.probe; p != nil {
		w.Probe = &snapProbe{p.token, p.holder, p.death, p.until}
	}
	return w
}

// Restore replaces the state by a snapshot. On an error, which wraps
// ErrSnapshot, the state is unchanged.
func (m *Machine) Restore(b []byte) error {
	items, err := open(b)
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
	m.register = n.register
	m.actions = n.actions
	m.suspects = n.suspects
	m.fleet = n.fleet
	m.setLimits(n.limits())
	return nil
}

// open checks the frame of a snapshot and returns its items.
func open(b []byte) ([]byte, error) {
	if len(b) < snapshotHead+snapshotSum || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return nil, fmt.Errorf("%w: no header", ErrSnapshot)
	}
	if v := b[snapshotHead-1]; v != snapshotVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrSnapshot, v, snapshotVersion)
	}
	end := len(b) - snapshotSum
	if xxhash.Sum64(b[:end]) != binary.BigEndian.Uint64(b[end:]) {
		return nil, fmt.Errorf("%w: checksum differs", ErrSnapshot)
	}
	return b[snapshotHead:end], nil
}

// next decodes the first item of *items and cuts it off.
func next[T any](items *[]byte) (T, error) {
	var v T
	rest, err := decoder.UnmarshalFirst(*items, &v)
	*items = rest
	return v, err
}

func (m *Machine) readItems(items []byte) error {
	h, err := next[snapHead](&items)
	if err != nil {
		return err
	}
	m.setHead(h)
	if err := each(h.Changes, &items, m.addChange); err != nil {
		return err
	}
	if err := each(h.Records, &items, m.addRecord); err != nil {
		return err
	}
	if err := each(h.Cleared+h.Live, &items, m.restoreSuspect); err != nil {
		return err
	}
	if err := each(h.Fleet.Rows, &items, m.restoreRow); err != nil {
		return err
	}
	if len(items) > 0 {
		return fmt.Errorf("%d bytes too many", len(items))
	}
	return nil
}

func each[T any](n int, items *[]byte, add func(T) error) error {
	for range n {
		v, err := next[T](items)
		if err != nil {
			return err
		}
		if err := add(v); err != nil {
			return err
		}
	}
	return nil
}

func (m *Machine) setHead(h snapHead) {
	m.index = h.Index
	m.now = h.Now
	if c := h.Config; c.Revision > 0 {
		m.register.current = Revisioned{c.Revision, c.Document, c.Change, c.Operator, time.UnixMilli(c.At)}
	}
	m.actions.floor = h.Floor
	m.actions.floorHold = h.FloorHold
	m.suspects.newest = h.Newest
	m.suspects.dropped = h.Dropped
	m.setLimits(Limits(h.Limits))
	m.fleet.index = h.Fleet.Index
	m.fleet.dropped = h.Fleet.Dropped
	m.fleet.evacuated = h.Fleet.Evacuated
}

func (m *Machine) restoreRow(w snapRow) error {
	row := &fleetRow{Upstream(w.Upstream), w.Index, w.At}
	m.fleet.rows[row.up.ID] = row
	if !row.up.Gone || row.up.Lapsed {
		m.fleet.addresses[row.up.Address] = row
	}
	return nil
}

func (m *Machine) addChange(w snapChange) error {
	c := &change{id: w.ID, document: w.Document, at: w.At}
	c.answer = Result{Verdict: w.Verdict, Revision: w.Revision, Change: w.Change, Operator: w.Operator}
	m.register.changes[c.id] = c
	m.register.queue.PushBack(c)
	return nil
}

func (m *Machine) addRecord(w snapRecord) error {
	r := &record{
		actionKey{w.Service, w.Key},
		w.Payload, w.State, w.Holder, w.Epoch, w.Token,
		fromWire(w.Answer), w.Ran, w.Created, w.Touched, w.Hold, w.Due, 0,
	}
	if r.state >= states || m.actions.records[r.name] != nil {
		return fmt.Errorf("record %q of %q is not valid", w.Key, w.Service)
	}
	m.insert(r)
	return nil
}

func (m *Machine) restoreSuspect(w snapSuspect) error {
	s := &suspect{print: w.Print, deaths: w.Deaths, counted: w.Counted, index: w.Index, at: w.At}
	if p := w.Probe; p != nil {
		s.probe = &probe{p.Token, p.Holder, p.Death, p.Until}
		m.suspects.probes[p.Death.Upstream] = s
	}
	m.suspects.prints[s.print] = s
	s.elem = m.suspects.listOf(s).PushBack(s)
	return nil
}
