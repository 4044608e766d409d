// Package agatestore stores the durable state of a control replica in a data
// directory: a segmented write-ahead log and one snapshot.
//
// On recovery, an incomplete write at the end of the log, which a crash
// leaves before the write is acknowledged, is truncated and logged. Any other
// damage makes Open fail with an error that names the file and the offset.
//
// # Usage
//
//	store, state, err := agatestore.Open(agatestore.Config{Dir: dir})
//	if err != nil {
//		return err
//	}
//	defer store.Close()
//	err = store.Append(agatestore.Batch{HardState: hard, Entries: entries})
package agatestore

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"agategate/core/agatequorum"
)

var (
	// ErrNoSpace is wrapped when the disk or the quota is full. The write may be
	// retried.
	ErrNoSpace = errors.New("agatestore: no space left")
	// ErrUnfinished is wrapped after SaveSnapshot has failed half-way. Only
	// SaveSnapshot of the same snapshot can succeed until then.
	ErrUnfinished = errors.New("agatestore: a snapshot is saved in part")
	// ErrLocked is wrapped when another process uses the directory.
	ErrLocked = errors.New("agatestore: directory is in use")
	// ErrCorrupt is wrapped when files were changed or lost after they were
	// synced, or do not belong together.
	ErrCorrupt = errors.New("agatestore: data is corrupt")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("agatestore: closed")
)

// Config configures a Store.
type Config struct {
	// Dir is the data directory. It is created if it does not exist.
	Dir string
	// Logger receives log lines. The default discards them.
	Logger hclog.Logger
	// Identity returns the identity of a new directory, which must not be 0.
	// The default is random.
	Identity func() uint64
	// FileOps replaces file operations in tests.
	FileOps FileOps
}

// State is the recovered contents of a data directory.
type State struct {
	// Identity is generated when the directory is created and never changes.
	Identity uint64
	// PersistentState is the state of the replica. Fresh reports whether no state has
	// ever been stored in the directory.
	agatequorum.PersistentState
}

// Batch is one atomic write. An entry at or below the last index replaces the
// log from its index on. Entries that the snapshot covers are ignored.
type Batch struct {
	HardState agatequorum.HardState
	Entries   []agatequorum.Entry
}

// Store is an open data directory. It is not safe for concurrent use.
type Store struct {
	cfg           Config
	ops           FileOps
	logger        hclog.Logger
	lockFile      *os.File
	identity      uint64
	hardState     agatequorum.HardState
	terms         termIndex
	snapshotIndex uint64 // 0 if there is no snapshot
	segments      []segment
	active        *os.File // last segment, which receives writes
	activeSize    int64
	// dirtyTail is set while the file of the last segment may have bytes of a
	// failed write behind activeSize.
	dirtyTail bool
	// unfinished is the index of the snapshot that is saved in part, or 0.
	unfinished uint64
	closed     bool
}

// segment describes one file of the log.
type segment struct {
	number    uint64
	lastIndex uint64 // index of its last entry, 0 if it has none
}

// Open locks the directory, creates it if it does not exist, and returns its
// contents. Errors may wrap ErrLocked, ErrCorrupt or ErrNoSpace.
func Open(cfg Config) (*Store, State, error) {
	if cfg.Dir == "" {
		return nil, State{}, errors.New("agatestore: Config.Dir is empty")
	}
	s := &Store{cfg: cfg, ops: cfg.FileOps.withDefaults(), logger: cfg.Logger}
	if s.logger == nil {
		s.logger = hclog.NewNullLogger()
	}
	if s.cfg.Identity == nil {
		s.cfg.Identity = randomIdentity
	}
	opened := false
	defer func() {
		if !opened {
			s.Close()
		}
	}()
	if err := s.createAndLockDir(); err != nil {
		return nil, State{}, err
	}
	state, err := s.load()
	if err != nil {
		return nil, State{}, err
	}
	opened = true
	return s, state, nil
}

func randomIdentity() uint64 {
	for {
		var b [8]byte
		rand.Read(b[:]) // never fails
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// createAndLockDir creates the directory if it does not exist and locks it.
func (s *Store) createAndLockDir() error {
	if err := os.MkdirAll(s.cfg.Dir, 0o700); err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	if err := s.ops.SyncDir(filepath.Dir(filepath.Clean(s.cfg.Dir))); err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	f, err := os.OpenFile(s.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return fmt.Errorf("%w: %s: %v", ErrLocked, s.cfg.Dir, err)
	}
	s.lockFile = f
	return nil
}

// Append makes a batch durable with one fsync. If it returns an error, no
// part of the batch is acknowledged, and the batch may be found by the next Open
// unless a later write succeeds. The error wraps ErrNoSpace if the disk is full
// and ErrUnfinished if a snapshot has to be saved first.
func (s *Store) Append(b Batch) error {
	if s.closed {
		return ErrClosed
	}
	if s.unfinished > 0 {
		return fmt.Errorf("%w: snapshot %d", ErrUnfinished, s.unfinished)
	}
	entries, err := s.terms.trimAndCheck(b.Entries)
	if err != nil {
		return err
	}
	seg := &s.segments[len(s.segments)-1]
	frame, err := encodeFrame(kindBatch, newBatchRecord(b.HardState, entries), seg.number, s.activeSize)
	if err != nil {
		return err
	}
	if err := s.writeFrame(frame); err != nil {
		return err
	}
	s.activeSize += int64(len(frame))
	s.hardState = b.HardState
	s.terms.append(entries)
	if len(entries) > 0 {
		seg.lastIndex = entries[len(entries)-1].Index
	}
	return nil
}

// writeFrame appends a frame to the active segment and syncs it. If that fails,
// the frame is cut off again, now or before the next write. The bytes of a write
// whose sync failed must be written once more: the system may take them for
// synced, and a later sync would not report that they are lost.
func (s *Store) writeFrame(frame []byte) error {
	name := s.activeName()
	if err := s.cutTail(); err != nil {
		return opError("cut", name, err)
	}
	s.dirtyTail = true
	if _, err := s.ops.Write(s.active, frame, s.activeSize); err != nil {
		_ = s.cutTail() // the next write tries again
		return opError("write", name, err)
	}
	if err := s.ops.Sync(s.active); err != nil {
		_ = s.cutTail() // the next write tries again
		return opError("sync", name, err)
	}
	s.dirtyTail = false
	return nil
}

// cutTail cuts off the bytes of a failed write. The next sync makes that durable.
func (s *Store) cutTail() error {
	if !s.dirtyTail {
		return nil
	}
	return s.ops.Truncate(s.active, s.activeSize)
}

// syncTail makes durable that the bytes of a failed write are cut off.
func (s *Store) syncTail() error {
	if !s.dirtyTail {
		return nil
	}
	if err := s.cutTail(); err != nil {
		return opError("cut", s.activeName(), err)
	}
	if err := s.ops.Sync(s.active); err != nil {
		return opError("sync", s.activeName(), err)
	}
	s.dirtyTail = false
	return nil
}

// activeName returns the name of the file of the last segment.
func (s *Store) activeName() string { return logName(s.segments[len(s.segments)-1].number) }

func opError(op, name string, err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return fmt.Errorf("%w: %s %s: %w", ErrNoSpace, op, name, err)
	}
	return fmt.Errorf("agatestore: %s %s: %w", op, name, err)
}

// Close closes the files and unlocks the directory. Later writes return
// ErrClosed.
func (s *Store) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	var errs []error
	for _, f := range []*os.File{s.active, s.lockFile} {
		if f != nil {
			errs = append(errs, f.Close())
		}
	}
	return errors.Join(errs...)
}

func (s *Store) path(name string) string { return filepath.Join(s.cfg.Dir, name) }
