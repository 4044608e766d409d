package agatestore

import (
	"fmt"
	"os"
	"slices"

	"agategate/core/agatequorum"
)

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	nameFormat     = "%s%016x"
)

func logName(number uint64) string      { return fmt.Sprintf(nameFormat, logPrefix, number) }
func snapshotName(number uint64) string { return fmt.Sprintf(nameFormat, snapshotPrefix, number) }

// SaveSnapshot makes a snapshot durable, starts a new segment and discards
// what the snapshot replaces: the log up to its index, or the whole log if
// it ends before the index or has a different term there. A snapshot that is
// not newer than the stored one is ignored. Errors are those of Append. If it
// fails half-way, other writes return ErrUnfinished until it succeeds.
func (s *Store) SaveSnapshot(sn agatequorum.Snapshot) error {
	if s.closed {
		return ErrClosed
	}
	if s.unfinished > 0 && s.unfinished != sn.Index {
		return fmt.Errorf("%w: snapshot %d", ErrUnfinished, s.unfinished)
	}
	if sn.Index <= s.snapshotIndex {
		return nil
	}
	if err := s.syncTail(); err != nil {
		return err // only the last segment may end in a torn frame
	}
	number := s.segments[len(s.segments)-1].number + 1
	frame, err := encodeFrame(kindSnapshot, newSnapshotRecord(s.identity, sn), number, 0)
	if err != nil {
		return err
	}
	name := snapshotName(number)
	f, err := s.writeTemp(name, frame)
	if err != nil {
		return err
	}
	f.Close()
	terms := s.terms
	terms.runs = slices.Clone(terms.runs)
	terms.compact(sn.Index, sn.Term)
	file, size, err := s.newSegment(number, sn.Index, sn.Term, terms.last)
	if err != nil {
		s.remove(name + tempSuffix)
		return err
	}
	// A crash between the renames leaves a segment that the next Open deletes. An
	// Append before the second rename would contradict the header of that segment.
	renamed, err := s.renameTemp(logName(number), name)
	if renamed {
		s.unfinished = sn.Index
	}
	if err != nil {
		file.Close()
		return err
	}
	s.unfinished = 0
	s.terms = terms
	s.snapshotIndex = sn.Index
	s.setActiveSegment(number, file, size)
	s.deleteObsolete()
	return nil
}

// writeTemp writes and syncs a temporary file and returns it open. If that
// fails, the file is removed.
func (s *Store) writeTemp(name string, data []byte) (*os.File, error) {
	temp := s.path(name + tempSuffix)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, opError("create", name, err)
	}
	op := "write"
	_, err = s.ops.Write(f, data, 0)
	if err == nil {
		op = "sync"
		err = s.ops.Sync(f)
	}
	if err != nil {
		f.Close()
		s.remove(name + tempSuffix)
		return nil, opError(op, name, err)
	}
	return f, nil
}

// newSegment writes the temporary file of a segment that follows the snapshot
// with the given index and term. last is the last index of the log.
func (s *Store) newSegment(number, index, term, last uint64) (*os.File, int64, error) {
	header := segmentHeader{
		Version:       formatVersion,
		Identity:      s.identity,
		HardState:     newHardStateRecord(s.hardState),
		SnapshotIndex: index,
		SnapshotTerm:  term,
		LastIndex:     last,
	}
	frame, err := encodeFrame(kindSegmentHeader, header, number, 0)
	if err != nil {
		return nil, 0, err
	}
	f, err := s.writeTemp(logName(number), frame)
	return f, int64(len(frame)), err
}

// renameTemp renames temporary files to their final names in order and syncs
// the directory after each. renamed reports whether one was renamed.
func (s *Store) renameTemp(names ...string) (renamed bool, err error) {
	for _, name := range names {
		if err := s.ops.Rename(s.path(name+tempSuffix), s.path(name)); err != nil {
			return renamed, opError("rename", name, err)
		}
		renamed = true
		if err := s.ops.SyncDir(s.cfg.Dir); err != nil {
			return renamed, opError("sync", s.cfg.Dir, err)
		}
	}
	return renamed, nil
}

func (s *Store) setActiveSegment(number uint64, f *os.File, size int64) {
	if s.active != nil {
		s.active.Close()
	}
	s.active = f
	s.activeSize = size
	s.segments = append(s.segments, segment{number: number})
}

// deleteObsolete deletes the previous snapshot and, from the oldest on, the
// segments up to the first one that has entries above the newest snapshot. The
// next Open retries failed deletions.
func (s *Store) deleteObsolete() {
	active := len(s.segments) - 1
	newest := s.segments[active].number
	n := 0
	for n < active && s.segments[n].lastIndex <= s.snapshotIndex {
		s.remove(logName(s.segments[n].number))
		n++
	}
	s.segments = s.segments[n:]
	if newest > 1 {
		s.remove(snapshotName(newest - 1))
	}
}

// remove deletes a file that is no longer needed. A failure is only logged.
func (s *Store) remove(name string) {
	if err := s.ops.Remove(s.path(name)); err != nil && !os.IsNotExist(err) {
		s.logger.Warn("could not delete obsolete file", "file", name, "error", err)
	}
}
