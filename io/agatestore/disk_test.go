package agatestore_test

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"agategate/io/agatestore"
)

var errInjected = errors.New("injected")

// errCrash is the panic value with which faultyDisk simulates a crash.
var errCrash = errors.New("crash")

// faultyDisk implements the FileOps of a data directory, injects faults and
// discards unsynced data in a simulated crash.
type faultyDisk struct {
	dir     string
	randInt func(n int) int // a number in [0, n)
	files   map[string]*fileState
	// undo reverts the unsynced changes of directory entries. The functions are
	// called in reverse order.
	undo []func()
	// stepsToCrash is the number of operations before the simulated crash.
	// Negative means no crash.
	stepsToCrash int
	// failNext is the kind of operation that fails next: "write", "full" (a
	// write without space), "sync", "sync-dir", "truncate" or "rename".
	// failLater holds those that fail after it.
	failNext  string
	failLater []string
}

// fileState is what is known of the bytes of a file that are on the disk.
type fileState struct {
	syncedSize int64
	// Bytes from lostFrom to lostTo are lost: after a failed sync the system
	// takes them for synced, and a later sync reports no error.
	lostFrom, lostTo int64
}

func newDisk(dir string, randInt func(int) int) *faultyDisk {
	return &faultyDisk{dir: dir, randInt: randInt, files: map[string]*fileState{}, stepsToCrash: -1}
}

func (d *faultyDisk) countStep() {
	if d.stepsToCrash == 0 {
		panic(errCrash)
	}
	d.stepsToCrash--
}

func (d *faultyDisk) shouldFail(kind string) bool {
	if d.failNext != kind {
		return false
	}
	d.failNext = ""
	if len(d.failLater) > 0 {
		d.failNext, d.failLater = d.failLater[0], d.failLater[1:]
	}
	return true
}

// state returns the state of an open file.
func (d *faultyDisk) state(f *os.File) *fileState {
	name := currentPath(f)
	if d.files[name] == nil {
		d.files[name] = &fileState{}
	}
	return d.files[name]
}

// currentPath returns the current name of an open file, which may have been
// renamed from its temporary name.
func currentPath(f *os.File) string {
	name := f.Name()
	if _, err := os.Stat(name); err != nil {
		return strings.TrimSuffix(name, ".tmp")
	}
	return name
}

func (d *faultyDisk) fileOps() agatestore.FileOps {
	return agatestore.FileOps{
		Write: d.write, Sync: d.sync, Truncate: d.truncate,
		Rename: d.rename, Remove: d.remove, SyncDir: d.syncDir,
	}
}

func (d *faultyDisk) write(f *os.File, b []byte, off int64) (int, error) {
	st := d.state(f)
	st.lostTo = min(st.lostTo, off) // what is written once more is not lost
	if d.stepsToCrash == 0 {
		f.WriteAt(b[:d.randInt(len(b)+1)], off)
	}
	d.countStep()
	if d.shouldFail("full") {
		n, _ := f.WriteAt(b[:d.randInt(len(b))], off)
		return n, unix.ENOSPC
	}
	if d.shouldFail("write") {
		n, _ := f.WriteAt(b[:d.randInt(len(b))], off)
		return n, errInjected
	}
	return f.WriteAt(b, off)
}

func (d *faultyDisk) sync(f *os.File) error {
	d.countStep()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	st := d.state(f)
	if d.shouldFail("sync") {
		if st.lostFrom >= st.lostTo {
			st.lostFrom = st.syncedSize
		}
		st.lostTo = info.Size()
		return errInjected
	}
	st.syncedSize = info.Size()
	if st.lostFrom < st.lostTo {
		st.syncedSize = st.lostFrom
	}
	return nil
}

func (d *faultyDisk) truncate(f *os.File, size int64) error {
	d.countStep()
	if d.shouldFail("truncate") {
		return errInjected
	}
	st := d.state(f)
	st.lostTo = min(st.lostTo, size)
	return f.Truncate(size)
}

func (d *faultyDisk) rename(from, to string) error {
	d.countStep()
	if d.shouldFail("rename") {
		return errInjected
	}
	d.undo = append(d.undo, func() {
		os.Rename(to, from)
		d.files[from] = d.files[to]
	})
	d.files[to] = d.files[from]
	return os.Rename(from, to)
}

func (d *faultyDisk) remove(name string) error {
	d.countStep()
	b, err := os.ReadFile(name)
	if err == nil {
		d.undo = append(d.undo, func() { os.WriteFile(name, b, 0o600) })
	}
	return os.Remove(name)
}

func (d *faultyDisk) syncDir(string) error {
	d.countStep()
	if d.shouldFail("sync-dir") {
		return errInjected
	}
	d.undo = nil
	return nil
}

// crash discards a random part of the unsynced data: the most recent directory
// changes and, in each file, either the end or some sectors, which then read as
// zeros.
func (d *faultyDisk) crash() {
	for n := d.randInt(len(d.undo) + 1); n > 0; n-- {
		d.undo[len(d.undo)-1]()
		d.undo = d.undo[:len(d.undo)-1]
	}
	d.undo = nil
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		b, err := os.ReadFile(name)
		if err != nil || int64(len(b)) <= f.syncedSize {
			continue
		}
		if d.randInt(2) == 0 {
			b = b[:int(f.syncedSize)+d.randInt(len(b)-int(f.syncedSize)+1)]
		} else {
			d.zeroSectors(b, int(f.syncedSize))
		}
		os.WriteFile(name, b, 0o600)
		f.syncedSize = int64(len(b))
	}
	d.kill()
}

// kill simulates the end of the process only: unsynced data stays in the
// operating system until the next crash.
func (d *faultyDisk) kill() {
	d.stepsToCrash = -1
	d.failNext, d.failLater = "", nil
}

func (d *faultyDisk) zeroSectors(b []byte, from int) {
	for from < len(b) {
		end := min(len(b), (from/512+1)*512)
		if d.randInt(2) == 0 {
			clear(b[from:end])
		}
		from = end
	}
}

// dataFiles returns the log and snapshot files of a directory.
func dataFiles(dir string) []string {
	logs, _ := filepath.Glob(filepath.Join(dir, "log-*"))
	snaps, _ := filepath.Glob(filepath.Join(dir, "snapshot-*"))
	return append(logs, snaps...)
}
