package agatestore

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"agategate/core/agatequorum"
)

// loader reads a data directory.
type loader struct {
	store     *Store
	segments  []uint64 // file numbers, contiguous
	snapshots []uint64 // file numbers
	obsolete  []string // files to delete
	snapshot  agatequorum.Snapshot
	hardState agatequorum.HardState
	// entries are the entries read so far. The log ends at lastIndex. Entries
	// below the first one are covered by a snapshot, or their segments have been
	// deleted.
	entries   []agatequorum.Entry
	lastIndex uint64
	// lastFrame is the offset of the last frame of the log in its segment.
	lastFrame int64
	// hasState reports whether any state has been stored in the directory.
	hasState bool
}

func corruptError(name string, off int64, format string, args ...any) error {
	return fmt.Errorf("%w: %s: offset %d: %s", ErrCorrupt, name, off, fmt.Sprintf(format, args...))
}

// load reads the directory, completes operations that a crash interrupted,
// and prepares the store for writes.
func (s *Store) load() (State, error) {
	l := &loader{store: s}
	if err := l.listFiles(); err != nil {
		return State{}, err
	}
	if len(l.segments)+len(l.snapshots) == 0 {
		return s.create()
	}
	if err := l.matchSnapshot(); err != nil {
		return State{}, err
	}
	if err := l.readSnapshot(); err != nil {
		return State{}, err
	}
	for _, number := range l.segments {
		if err := l.readSegment(number); err != nil {
			return State{}, err
		}
	}
	if err := l.checkContinuity(); err != nil {
		return State{}, err
	}
	l.initStore()
	if err := s.openForWrites(l); err != nil {
		return State{}, err
	}
	state := agatequorum.PersistentState{Fresh: !l.hasState, HardState: l.hardState, Snapshot: l.snapshot, Entries: l.entries}
	return State{Identity: s.identity, PersistentState: state}, nil
}

// create initializes an empty directory.
func (s *Store) create() (State, error) {
	s.identity = s.cfg.Identity()
	s.terms = termIndex{first: 1}
	f, size, err := s.newSegment(1, 0, 0, 0)
	if err != nil {
		return State{}, err
	}
	if _, err := s.renameTemp(logName(1)); err != nil {
		f.Close()
		return State{}, err
	}
	s.setActiveSegment(1, f, size)
	s.logger.Info("created data directory", "dir", s.cfg.Dir, "identity", s.identity)
	return State{Identity: s.identity, PersistentState: agatequorum.PersistentState{Fresh: true}}, nil
}

// listFiles finds the segments and snapshots. It uses the newest contiguous
// run of segments and treats older ones as left over from an interrupted
// deletion; checkContinuity verifies that no entry is missing.
func (l *loader) listFiles() error {
	files, err := os.ReadDir(l.store.cfg.Dir)
	if err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	for _, f := range files {
		name := f.Name()
		if strings.HasSuffix(name, tempSuffix) {
			l.obsolete = append(l.obsolete, name)
		}
		if n := fileNumber(name, logPrefix); n > 0 {
			l.segments = append(l.segments, n)
		}
		if n := fileNumber(name, snapshotPrefix); n > 0 {
			l.snapshots = append(l.snapshots, n)
		}
	}
	slices.Sort(l.segments)
	slices.Sort(l.snapshots)
	for i := len(l.segments) - 1; i > 0; i-- {
		if l.segments[i-1]+1 != l.segments[i] {
			for _, n := range l.segments[:i] {
				l.obsolete = append(l.obsolete, logName(n))
			}
			l.segments = l.segments[i:]
			break
		}
	}
	return nil
}

// fileNumber returns the number in the name of a segment or snapshot, or 0 if
// the name is not of that form.
func fileNumber(name, prefix string) uint64 {
	var n uint64
	if _, err := fmt.Sscanf(name, prefix+"%016x", &n); err != nil || fmt.Sprintf(nameFormat, prefix, n) != name {
		return 0
	}
	return n
}

// readFile returns the contents of a file of the data directory.
func (l *loader) readFile(name string) ([]byte, error) {
	b, err := os.ReadFile(l.store.path(name))
	if err != nil {
		return nil, fmt.Errorf("agatestore: %w", err)
	}
	return b, nil
}

// matchSnapshot verifies that the snapshot of the last segment exists. If a
// crash prevented the snapshot from being renamed into place, the segment
// contains no entries and is deleted.
func (l *loader) matchSnapshot() error {
	newest := uint64(0)
	if n := len(l.snapshots); n > 0 {
		newest = l.snapshots[n-1]
	}
	if n := len(l.segments); n > 1 && newest < l.segments[n-1] {
		name := logName(l.segments[n-1])
		b, err := l.readFile(name)
		if err != nil {
			return err
		}
		k, _, end, status := parseFrame(b, l.segments[n-1], 0)
		if status != frameValid || k != kindSegmentHeader || end != int64(len(b)) {
			return corruptError(name, 0, "the snapshot of the segment is missing")
		}
		l.obsolete = append(l.obsolete, name)
		l.segments = l.segments[:n-1]
	}
	if len(l.segments) == 0 {
		return corruptError(snapshotName(newest), 0, "the log segment of the snapshot is missing")
	}
	return nil
}

// readSnapshot reads the newest snapshot. Any damage to it is an error.
func (l *loader) readSnapshot() error {
	if len(l.snapshots) == 0 {
		return nil
	}
	newest := l.snapshots[len(l.snapshots)-1]
	for _, n := range l.snapshots[:len(l.snapshots)-1] {
		l.obsolete = append(l.obsolete, snapshotName(n))
	}
	name := snapshotName(newest)
	b, err := l.readFile(name)
	if err != nil {
		return err
	}
	k, body, end, status := parseFrame(b, newest, 0)
	if status != frameValid || k != kindSnapshot || end != int64(len(b)) {
		return corruptError(name, 0, "file is not exactly one valid snapshot frame")
	}
	var r snapshotRecord
	if err := decoder.Unmarshal(body, &r); err != nil {
		return corruptError(name, 0, "%v", err)
	}
	if r.Version != formatVersion {
		return fmt.Errorf("agatestore: %s has format version %d, want %d", name, r.Version, formatVersion)
	}
	l.store.identity = r.Identity
	l.snapshot, err = r.snapshot()
	if err != nil {
		return corruptError(name, 0, "%v", err)
	}
	return nil
}

// readSegment replays one segment. Only the last segment may end in a torn
// frame, which is truncated.
func (l *loader) readSegment(number uint64) error {
	name := logName(number)
	b, err := l.readFile(name)
	if err != nil {
		return err
	}
	seg := segment{number: number}
	off := int64(0)
	for off < int64(len(b)) {
		k, body, end, status := parseFrame(b, number, off)
		if status == frameTorn && number == l.segments[len(l.segments)-1] && off > 0 {
			l.store.logger.Warn("truncated an incomplete write at the end of the log", "file", name, "offset", off, "bytes", int64(len(b))-off)
			break
		}
		if status != frameValid {
			return corruptError(name, off, "invalid record")
		}
		if err := l.applyRecord(k, body, off == 0, &seg); err != nil {
			return corruptError(name, off, "%v", err)
		}
		l.lastFrame, off = off, end
	}
	if off == 0 {
		return corruptError(name, 0, "segment has no header record")
	}
	l.store.segments = append(l.store.segments, seg)
	l.store.activeSize = off
	return nil
}

// applyRecord applies the record of one frame.
func (l *loader) applyRecord(k frameKind, body []byte, first bool, seg *segment) error {
	if first != (k == kindSegmentHeader) || k != kindSegmentHeader && k != kindBatch {
		return fmt.Errorf("unexpected record of kind %d", k)
	}
	if k == kindSegmentHeader {
		return l.applySegmentHeader(body, seg.number)
	}
	var r batchRecord
	if err := decoder.Unmarshal(body, &r); err != nil {
		return err
	}
	l.hasState = true
	l.hardState = r.HardState.hardState()
	for _, e := range r.Entries {
		if err := l.appendEntry(e.entry()); err != nil {
			return err
		}
		seg.lastIndex = e.Index
	}
	return nil
}

// applySegmentHeader applies the first record of a segment and checks that
// the segment continues the log.
func (l *loader) applySegmentHeader(body []byte, number uint64) error {
	var h segmentHeader
	if err := decoder.Unmarshal(body, &h); err != nil {
		return err
	}
	if h.Version != formatVersion {
		return fmt.Errorf("format version %d, want %d", h.Version, formatVersion)
	}
	if l.store.identity != 0 && l.store.identity != h.Identity {
		return fmt.Errorf("segment belongs to identity %d, want %d", h.Identity, l.store.identity)
	}
	if number == l.segments[len(l.segments)-1] && h.SnapshotIndex != l.snapshot.Index {
		return fmt.Errorf("segment starts after index %d, but the newest snapshot has index %d", h.SnapshotIndex, l.snapshot.Index)
	}
	l.store.identity = h.Identity
	l.hardState = h.HardState.hardState()
	l.hasState = l.hasState || h.SnapshotIndex > 0 || l.hardState != agatequorum.HardState{}
	l.discardThrough(h.SnapshotIndex)
	if h.LastIndex == h.SnapshotIndex {
		l.entries = nil
		l.lastIndex = h.LastIndex
	}
	if number == l.segments[0] {
		l.lastIndex = h.LastIndex
	}
	if l.lastIndex != h.LastIndex {
		return fmt.Errorf("log ends at index %d, want %d", l.lastIndex, h.LastIndex)
	}
	return nil
}

// appendEntry adds an entry and discards existing ones from its index on.
func (l *loader) appendEntry(e agatequorum.Entry) error {
	if e.Index == 0 || e.Index > l.lastIndex+1 {
		return fmt.Errorf("entry %d does not follow entry %d", e.Index, l.lastIndex)
	}
	keep := 0
	if len(l.entries) > 0 && e.Index > l.entries[0].Index {
		keep = int(e.Index - l.entries[0].Index)
	}
	l.entries = append(l.entries[:keep], e)
	l.lastIndex = e.Index
	return nil
}

// discardThrough discards the entries up to and including an index.
func (l *loader) discardThrough(index uint64) {
	if len(l.entries) == 0 || index < l.entries[0].Index {
		return
	}
	l.entries = l.entries[min(int(index-l.entries[0].Index)+1, len(l.entries)):]
}

// checkContinuity verifies that the entries directly follow the snapshot.
func (l *loader) checkContinuity() error {
	first := l.snapshot.Index + 1
	if l.lastIndex >= first && (len(l.entries) == 0 || l.entries[0].Index != first) {
		return corruptError(logName(l.segments[0]), 0, "entry %d is missing: an older segment was deleted or lost", first)
	}
	return nil
}

// initStore sets the state of the store to the one that was read.
func (l *loader) initStore() {
	s := l.store
	s.hardState = l.hardState
	s.snapshotIndex = l.snapshot.Index
	s.terms = termIndex{first: l.snapshot.Index + 1, last: l.snapshot.Index}
	s.terms.append(l.entries)
}

// openForWrites opens the last segment for writes and deletes obsolete files.
func (s *Store) openForWrites(l *loader) error {
	last := l.segments[len(l.segments)-1]
	f, err := os.OpenFile(s.path(logName(last)), os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	s.active = f
	if err := s.truncateAndSync(l); err != nil {
		return err
	}
	for _, name := range l.obsolete {
		s.remove(name)
	}
	s.deleteObsolete()
	return nil
}

// truncateAndSync removes everything after the last complete frame and syncs
// the rest: a process that was killed may have left complete writes that a
// power failure could still undo. If the sync of the last frame has failed, the
// system may take it for synced, so it is written once more. A disk without room
// for that does not keep the process from starting.
func (s *Store) truncateAndSync(l *loader) error {
	name := logName(s.segments[len(s.segments)-1].number)
	info, err := s.active.Stat()
	if err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	if info.Size() > s.activeSize {
		if err := s.ops.Truncate(s.active, s.activeSize); err != nil {
			return opError("cut", name, err)
		}
	}
	frame := make([]byte, s.activeSize-l.lastFrame)
	if _, err := s.active.ReadAt(frame, l.lastFrame); err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	if _, err := s.ops.Write(s.active, frame, l.lastFrame); err != nil {
		if err = opError("write", name, err); !errors.Is(err, ErrNoSpace) {
			return err
		}
		s.logger.Warn("could not write the end of the log once more", "error", err)
	}
	if err := s.ops.Sync(s.active); err != nil {
		return opError("sync", name, err)
	}
	if err := s.ops.SyncDir(s.cfg.Dir); err != nil {
		return opError("sync", s.cfg.Dir, err)
	}
	return nil
}
