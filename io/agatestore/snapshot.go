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
// not newer than the stored one is ignored. Errors are those of Append.
func (s *Store) SaveSnapshot(sn agatequorum.Snapshot) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	if sn.Index <= s.snapshotIndex {
		return nil
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
	if err := s.renameTemp(logName(number), name); err != nil {
		file.Close()
		return err
	}
	s.terms = terms
	s.snapshotIndex = sn.Index
	s.setActiveSegment(number, file, size)
	s.deleteObsolete()
	return nil
}

// writeTemp writes and syncs a temporary file and returns it open. If the
// write fails, the file is removed.
func (s *Store) writeTemp(name string, data []byte) (*os.File, error) {
	temp := s.path(name + tempSuffix)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, opError("create", name, err)
	}
	if _, err := s.ops.Write(f, data, 0); err != nil {
		f.Close()
		s.remove(name + tempSuffix)
		return nil, opError("write", name, err)
	}
	if err := s.ops.Sync(f); err != nil {
		f.Close()
		return nil, s.disableWrites("sync", name, err)
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
// the directory after each. If the first rename fails, nothing has changed.
func (s *Store) renameTemp(names ...string) error {
	for i, name := range names {
		err := s.ops.Rename(s.path(name+tempSuffix), s.path(name))
		if err != nil && i == 0 {
			return opError("rename", name, err)
		}
		if err != nil {
			return s.disableWrites("rename", name, err)
		}
		if err := s.ops.SyncDir(s.cfg.Dir); err != nil {
			return s.disableWrites("sync", s.cfg.Dir, err)
		}
	}
	return nil
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
