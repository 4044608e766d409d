// Package agatestore keeps the durable state of a control replica in one
// data directory: a write-ahead log in segments, and one snapshot.
//
// Nothing is lost or invented silently: what a crash left of a write that
// was not acknowledged is cut off with a log line, and any other damage
// stops Open with an error that names file and offset.
//
// # Usage
//
//	store, saved, err := agatestore.Open(agatestore.Config{Dir: dir})
//	if err != nil {
//		return err
//	}
//	defer store.Close()
//	err = store.Append(agatestore.Batch{Hard: hard, Entries: entries})
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
	// ErrNoSpace is wrapped when the disk is full. The write left nothing
	// behind and may be tried again.
	ErrNoSpace = errors.New("agatestore: no space")
	// ErrBroken is wrapped after a failed fsync or a failed clean-up. What
	// the disk holds is not known until the next Open.
	ErrBroken = errors.New("agatestore: broken")
	// ErrLocked is wrapped when another process uses the directory.
	ErrLocked = errors.New("agatestore: directory is in use")
	// ErrDamaged is wrapped when files were changed after they were synced.
	ErrDamaged = errors.New("agatestore: damaged")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("agatestore: closed")
)

// Config sets up a Store.
type Config struct {
	// Dir is the data directory. It is created if it does not exist.
	Dir string
	// Logger defaults to none.
	Logger hclog.Logger
	// Identity returns the identity of a new directory, not zero. The
	// default is random.
	Identity func() uint64
	// Files replaces file operations in tests.
	Files Files
}

// Saved is what a directory holds.
type Saved struct {
	// Identity was made with the directory.
	Identity uint64
	// PersistentState is the state of the replica. Fresh says that nothing was ever
	// stored in the directory.
	agatequorum.PersistentState
}

// Batch is one write. An entry at or below the last index replaces the log
// from there on; entries that the snapshot covers are ignored.
type Batch struct {
	Hard    agatequorum.HardState
	Entries []agatequorum.Entry
}

// Store is an open data directory. One goroutine uses it.
type Store struct {
	cfg      Config
	fs       Files
	log      hclog.Logger
	lock     *os.File
	identity uint64
	hard     agatequorum.HardState
	journal  journal
	snapshot uint64 // index of the snapshot, 0 if there is none
	segments []segment
	file     *os.File // of the last segment
	size     int64
	broken   error
}

// segment is one file of the log.
type segment struct {
	number uint64
	last   uint64 // index of its last entry, 0 if it has none
}

// Open locks the directory, creating it if need be, and returns what it
// holds. Errors wrap ErrLocked, ErrDamaged or ErrNoSpace.
func Open(cfg Config) (*Store, Saved, error) {
	if cfg.Dir == "" {
		return nil, Saved{}, errors.New("agatestore: Config.Dir is empty")
	}
	s := &Store{cfg: cfg, fs: cfg.Files.withDefaults(), log: cfg.Logger}
	if s.log == nil {
		s.log = hclog.NewNullLogger()
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
	if err := s.lockDir(); err != nil {
		return nil, Saved{}, err
	}
	saved, err := s.load()
	if err != nil {
		return nil, Saved{}, err
	}
	opened = true
	return s, saved, nil
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

func (s *Store) lockDir() error {
	if err := os.MkdirAll(s.cfg.Dir, 0o700); err != nil {
		return fmt.Errorf("agatestore: %w", err)
	}
	if err := s.fs.SyncDir(filepath.Dir(filepath.Clean(s.cfg.Dir))); err != nil {
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
	s.lock = f
	return nil
}

// Append makes a batch durable with one fsync. After an error nothing of
// the batch is acknowledged: it wraps ErrNoSpace if the disk is full, and
// ErrBroken if the store accepts no further writes.
func (s *Store) Append(b Batch) error {
	if s.broken != nil {
		return s.broken
	}
	es, err := s.journal.fit(b.Entries)
	if err != nil {
		return err
	}
	last := &s.segments[len(s.segments)-1]
	frame, err := encodeFrame(kindBatch, toWireBatch(b.Hard, es), last.number, s.size)
	if err != nil {
		return err
	}
	if err := s.write(frame); err != nil {
		return err
	}
	s.size += int64(len(frame))
	s.hard = b.Hard
	s.journal.append(es)
	if len(es) > 0 {
		last.last = es[len(es)-1].Index
	}
	return nil
}

// write appends a frame to the last segment and syncs it. A frame that could
// not be written whole is cut off again.
func (s *Store) write(frame []byte) error {
	name := logName(s.segments[len(s.segments)-1].number)
	if _, err := s.fs.Write(s.file, frame, s.size); err != nil {
		if cut := s.fs.Truncate(s.file, s.size); cut != nil {
			return s.fail("cut", name, cut)
		}
		return failure("write", name, err)
	}
	if err := s.fs.Sync(s.file); err != nil {
		return s.fail("sync", name, err)
	}
	return nil
}

// fail makes the store refuse further writes.
func (s *Store) fail(op, name string, err error) error {
	s.broken = fmt.Errorf("%w: %s %s: %w", ErrBroken, op, name, err)
	s.log.Error("store accepts no further writes", "op", op, "file", name, "error", err)
	return s.broken
}

func failure(op, name string, err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return fmt.Errorf("%w: %s %s: %w", ErrNoSpace, op, name, err)
	}
	return fmt.Errorf("agatestore: %s %s: %w", op, name, err)
}

// Close unlocks the directory. The store is not used afterwards.
func (s *Store) Close() error {
	if errors.Is(s.broken, ErrClosed) {
		return nil
	}
	s.broken = ErrClosed
	var errs []error
	for _, f := range []*os.File{s.file, s.lock} {
		if f != nil {
			errs = append(errs, f.Close())
		}
	}
	return errors.Join(errs...)
}

func (s *Store) path(name string) string { return filepath.Join(s.cfg.Dir, name) }
