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

// SaveSnapshot makes a snapshot durable, starts a new segment and deletes
// what the snapshot replaces: the log up to its index, or the whole log if
// it ends before the index or holds another term there. A snapshot that is
// not newer than the stored one is ignored. Errors are as with Append.
func (s *Store) SaveSnapshot(sn agatequorum.Snapshot) error {
	if s.broken != nil {
		return s.broken
	}
	if sn.Index <= s.snapshot {
		return nil
	}
	number := s.segments[len(s.segments)-1].number + 1
	frame, err := encodeFrame(kindSnapshot, toWireSnapshot(s.identity, sn), number, 0)
	if err != nil {
		return err
	}
	name := snapshotName(number)
	f, err := s.temporary(name, frame)
	if err != nil {
		return err
	}
	f.Close()
	j := s.journal
	j.terms = slices.Clone(j.terms)
	j.compact(sn.Index, sn.Term)
	file, size, err := s.newSegment(number, sn.Index, sn.Term, j.last)
	if err != nil {
		s.remove(name + tempSuffix)
		return err
	}
	if err := s.rename(logName(number), name); err != nil {
		file.Close()
		return err
	}
	s.journal = j
	s.snapshot = sn.Index
	s.useSegment(number, file, size)
	s.deleteOld()
	return nil
}

// temporary writes and syncs a temporary file. On an error it is removed.
func (s *Store) temporary(name string, data []byte) (*os.File, error) {
	temp := s.path(name + tempSuffix)
	f, err := os.OpenFile(temp, os.O_CREATE|os.O_RDWR|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, failure("create", name, err)
	}
	if _, err := s.fs.Write(f, data, 0); err != nil {
		f.Close()
		s.remove(name + tempSuffix)
		return nil, failure("write", name, err)
	}
	if err := s.fs.Sync(f); err != nil {
		f.Close()
		return nil, s.fail("sync", name, err)
	}
	return f, nil
}

// newSegment writes the temporary file of a segment that begins after a
// snapshot, with the log's last index.
func (s *Store) newSegment(number, index, term, last uint64) (*os.File, int64, error) {
	start := wireStart{
		Version:  formatVersion,
		Identity: s.identity,
		Hard:     toWireHard(s.hard),
		Index:    index,
		Term:     term,
		Last:     last,
	}
	frame, err := encodeFrame(kindStart, start, number, 0)
	if err != nil {
		return nil, 0, err
	}
	f, err := s.temporary(logName(number), frame)
	return f, int64(len(frame)), err
}

// rename gives temporary files their names, each of them durably before the
// next. If the first one fails, nothing has changed.
func (s *Store) rename(names ...string) error {
	for i, name := range names {
		err := s.fs.Rename(s.path(name+tempSuffix), s.path(name))
		if err != nil && i == 0 {
			return failure("rename", name, err)
		}
		if err != nil {
			return s.fail("rename", name, err)
		}
		if err := s.fs.SyncDir(s.cfg.Dir); err != nil {
			return s.fail("sync", s.cfg.Dir, err)
		}
	}
	return nil
}

func (s *Store) useSegment(number uint64, f *os.File, size int64) {
	if s.file != nil {
		s.file.Close()
	}
	s.file = f
	s.size = size
	s.segments = append(s.segments, segment{number: number})
}

// deleteOld deletes the older snapshot and the segments without entries
// above the newest one, oldest first. What could not be deleted is tried again
// by the next Open.
func (s *Store) deleteOld() {
	sealed := len(s.segments) - 1
	newest := s.segments[sealed].number
	n := 0
	for n < sealed && s.segments[n].last <= s.snapshot {
		s.remove(logName(s.segments[n].number))
		n++
	}
	s.segments = s.segments[n:]
	if newest > 1 {
		s.remove(snapshotName(newest - 1))
	}
}

// remove deletes a file that is not needed any more.
func (s *Store) remove(name string) {
	if err := s.fs.Remove(s.path(name)); err != nil && !os.IsNotExist(err) {
		s.log.Warn("could not delete a file", "file", name, "error", err)
	}
}
