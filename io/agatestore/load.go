package agatestore

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"agategate/core/agatequorum"
)

// loader reads a directory.
type loader struct {
	s        *Store
	logs     []uint64 // numbers of the segments, contiguous
	snaps    []uint64
	stale    []string // files that are not needed any more
	snapshot agatequorum.Snapshot
	hard     agatequorum.HardState
	// entries are the known entries. The log goes up to last; the part below
	// the first known entry was in segments that are deleted.
	entries []agatequorum.Entry
	last    uint64
	// written says that something was stored.
	written bool
}

func damaged(name string, off int64, format string, args ...any) error {
	return fmt.Errorf("%w: %s: offset %d: %s", ErrDamaged, name, off, fmt.Sprintf(format, args...))
}

// load reads the directory, finishes what a crash interrupted, and makes the
// store ready for writes.
func (s *Store) load() (Saved, error) {
	l := &loader{s: s}
	if err := l.list(); err != nil {
		return Saved{}, err
	}
	if len(l.logs)+len(l.snaps) == 0 {
		return s.create()
	}
	if err := l.pair(); err != nil {
		return Saved{}, err
	}
	if err := l.readSnapshot(); err != nil {
		return Saved{}, err
	}
	for _, number := range l.logs {
		if err := l.readSegment(number); err != nil {
			return Saved{}, err
		}
	}
	if err := l.check(); err != nil {
		return Saved{}, err
	}
	l.handOver()
	if err := s.finish(l); err != nil {
		return Saved{}, err
	}
	state := agatequorum.PersistentState{Fresh: !l.written, HardState: l.hard, Snapshot: l.snapshot, Entries: l.entries}
	return Saved{Identity: s.identity, PersistentState: state}, nil
}

// create starts an empty directory.
func (s *Store) create() (Saved, error) {
	s.identity = s.cfg.Identity()
	s.journal = journal{first: 1}
	f, size, err := s.newSegment(1, 0, 0, 0)
	if err != nil {
		return Saved{}, err
	}
	if err := s.rename(logName(1)); err != nil {
		f.Close()
		return Saved{}, err
	}
	s.useSegment(1, f, size)
	s.log.Info("created data directory", "dir", s.cfg.Dir, "identity", s.identity)
	return Saved{Identity: s.identity, PersistentState: agatequorum.PersistentState{Fresh: true}}, nil
}

// list finds the files. Of the segments it takes the newest contiguous run:
// older ones are left over from a deletion, which check verifies.
func (l *loader) list() error {
	files, err := os.ReadDir(l.s.cfg.Dir)
	if err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	for _, f := range files {
		name := f.Name()
		if strings.HasSuffix(name, tempSuffix) {
			l.stale = append(l.stale, name)
		}
		if n := number(name, logPrefix); n > 0 {
			l.logs = append(l.logs, n)
		}
		if n := number(name, snapshotPrefix); n > 0 {
			l.snaps = append(l.snaps, n)
		}
	}
	slices.Sort(l.logs)
	slices.Sort(l.snaps)
	for i := len(l.logs) - 1; i > 0; i-- {
		if l.logs[i-1]+1 != l.logs[i] {
			for _, n := range l.logs[:i] {
				l.stale = append(l.stale, logName(n))
			}
			l.logs = l.logs[i:]
			break
		}
	}
	return nil
}

// number returns the number in a file name, or 0 if it has another form.
func number(name, prefix string) uint64 {
	var n uint64
	if _, err := fmt.Sscanf(name, prefix+"%016x", &n); err != nil || fmt.Sprintf(nameFormat, prefix, n) != name {
		return 0
	}
	return n
}

// read returns the bytes of a file.
func (l *loader) read(name string) ([]byte, error) {
	b, err := os.ReadFile(l.s.path(name))
	if err != nil {
		return nil, fmt.Errorf("agatestore: %w", err)
	}
	return b, nil
}

// pair looks for the snapshot that begins with the last segment. A segment
// that a crash kept from getting its snapshot is empty and not needed.
func (l *loader) pair() error {
	newest := uint64(0)
	if n := len(l.snaps); n > 0 {
		newest = l.snaps[n-1]
	}
	if n := len(l.logs); n > 1 && newest < l.logs[n-1] {
		name := logName(l.logs[n-1])
		b, err := l.read(name)
		if err != nil {
			return err
		}
		k, _, end, bad := parse(b, l.logs[n-1], 0)
		if bad != faultNone || k != kindStart || end != int64(len(b)) {
			return damaged(name, 0, "its snapshot is missing")
		}
		l.stale = append(l.stale, name)
		l.logs = l.logs[:n-1]
	}
	if len(l.logs) == 0 {
		return damaged(snapshotName(newest), 0, "its log is missing")
	}
	return nil
}

// readSnapshot reads the newest snapshot, which must be whole.
func (l *loader) readSnapshot() error {
	if len(l.snaps) == 0 {
		return nil
	}
	newest := l.snaps[len(l.snaps)-1]
	for _, n := range l.snaps[:len(l.snaps)-1] {
		l.stale = append(l.stale, snapshotName(n))
	}
	name := snapshotName(newest)
	b, err := l.read(name)
	if err != nil {
		return err
	}
	k, body, end, bad := parse(b, newest, 0)
	if bad != faultNone || k != kindSnapshot || end != int64(len(b)) {
		return damaged(name, 0, "not one whole snapshot")
	}
	var w wireSnapshot
	if err := decoder.Unmarshal(body, &w); err != nil {
		return damaged(name, 0, "%v", err)
	}
	if w.Version != formatVersion {
		return fmt.Errorf("agatestore: %s has version %d, this program knows %d", name, w.Version, formatVersion)
	}
	l.s.identity = w.Identity
	l.snapshot, err = w.snapshot()
	if err != nil {
		return damaged(name, 0, "%v", err)
	}
	return nil
}

// readSegment replays one segment. Only the last one may end in a torn
// frame, which is cut off.
func (l *loader) readSegment(number uint64) error {
	name := logName(number)
	b, err := l.read(name)
	if err != nil {
		return err
	}
	seg := segment{number: number}
	off := int64(0)
	for off < int64(len(b)) {
		k, body, end, bad := parse(b, number, off)
		if bad == faultTorn && number == l.logs[len(l.logs)-1] && off > 0 {
			l.s.log.Warn("cut off an unfinished write", "file", name, "offset", off, "bytes", int64(len(b))-off)
			break
		}
		if bad != faultNone {
			return damaged(name, off, "bad record")
		}
		if err := l.replay(k, body, off == 0, &seg); err != nil {
			return damaged(name, off, "%v", err)
		}
		off = end
	}
	if off == 0 {
		return damaged(name, 0, "no first record")
	}
	l.s.segments = append(l.s.segments, seg)
	l.s.size = off
	return nil
}

// replay applies one frame.
func (l *loader) replay(k kind, body []byte, first bool, seg *segment) error {
	if first != (k == kindStart) || k != kindStart && k != kindBatch {
		return fmt.Errorf("record of kind %d is out of place", k)
	}
	if k == kindStart {
		return l.start(body, seg.number)
	}
	var w wireBatch
	if err := decoder.Unmarshal(body, &w); err != nil {
		return err
	}
	l.written = true
	l.hard = w.Hard.hard()
	for _, e := range w.Entries {
		if err := l.add(e.entry()); err != nil {
			return err
		}
		seg.last = e.Index
	}
	return nil
}

// start applies the first frame of a segment.
func (l *loader) start(body []byte, number uint64) error {
	var w wireStart
	if err := decoder.Unmarshal(body, &w); err != nil {
		return err
	}
	if w.Version != formatVersion {
		return fmt.Errorf("version %d, this program knows %d", w.Version, formatVersion)
	}
	if l.s.identity != 0 && l.s.identity != w.Identity {
		return fmt.Errorf("belongs to identity %d, not %d", w.Identity, l.s.identity)
	}
	if number == l.logs[len(l.logs)-1] && w.Index != l.snapshot.Index {
		return fmt.Errorf("begins after index %d, but the newest snapshot's is %d", w.Index, l.snapshot.Index)
	}
	l.s.identity = w.Identity
	l.hard = w.Hard.hard()
	l.written = l.written || w.Index > 0 || l.hard != agatequorum.HardState{}
	l.dropTo(w.Index)
	if w.Last == w.Index {
		l.entries = nil
		l.last = w.Last
	}
	if number == l.logs[0] {
		l.last = w.Last
	}
	if l.last != w.Last {
		return fmt.Errorf("log ends at index %d, want %d", l.last, w.Last)
	}
	return nil
}

// add appends an entry or replaces the log from its index on.
func (l *loader) add(e agatequorum.Entry) error {
	if e.Index == 0 || e.Index > l.last+1 {
		return fmt.Errorf("entry %d after entry %d", e.Index, l.last)
	}
	keep := 0
	if len(l.entries) > 0 && e.Index > l.entries[0].Index {
		keep = int(e.Index - l.entries[0].Index)
	}
	l.entries = append(l.entries[:keep], e)
	l.last = e.Index
	return nil
}

// dropTo drops the entries up to an index.
func (l *loader) dropTo(index uint64) {
	if len(l.entries) == 0 || index < l.entries[0].Index {
		return
	}
	l.entries = l.entries[min(int(index-l.entries[0].Index)+1, len(l.entries)):]
}

// check verifies that the entries lead on from the snapshot.
func (l *loader) check() error {
	first := l.snapshot.Index + 1
	if l.last >= first && (len(l.entries) == 0 || l.entries[0].Index != first) {
		return damaged(logName(l.logs[0]), 0, "entry %d is missing: an older segment is gone", first)
	}
	return nil
}

// handOver gives the state to the store.
func (l *loader) handOver() {
	s := l.s
	s.hard = l.hard
	s.snapshot = l.snapshot.Index
	s.journal = journal{first: l.snapshot.Index + 1, last: l.snapshot.Index}
	s.journal.append(l.entries)
}

// finish opens the last segment for writes and deletes what is not needed
// any more.
func (s *Store) finish(l *loader) error {
	last := l.logs[len(l.logs)-1]
	f, err := os.OpenFile(s.path(logName(last)), os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	s.file = f
	if err := s.settle(); err != nil {
		return err
	}
	for _, name := range l.stale {
		s.remove(name)
	}
	s.deleteOld()
	return nil
}

// settle cuts off what follows the last whole frame and syncs what was
// read: a process that was killed may have left whole writes that a loss of
// power would still undo.
func (s *Store) settle() error {
	name := logName(s.segments[len(s.segments)-1].number)
	info, err := s.file.Stat()
	if err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	if info.Size() > s.size {
		if err := s.fs.Truncate(s.file, s.size); err != nil {
			return failure("cut", name, err)
		}
	}
	if err := s.fs.Sync(s.file); err != nil {
		return failure("sync", name, err)
	}
	if err := s.fs.SyncDir(s.cfg.Dir); err != nil {
		return failure("sync", s.cfg.Dir, err)
	}
	return nil
}
