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

// errCrash is the panic by which a disk stops the store at a crash point.
var errCrash = errors.New("crash")

// disk is a data directory that forgets what was not synced when it crashes.
type disk struct {
	dir   string
	draw  func(n int) int // a number in [0, n)
	files map[string]*file
	// undo restores the directory entries that were not synced, in reverse
	// order.
	undo []func()
	// crashAt counts down to the operation at which the process dies.
	crashAt int
	// fail is the kind of the next operation that fails: "write", "full",
	// "sync", "truncate" or "rename".
	fail string
}

// file is the synced size of a file.
type file struct{ synced int64 }

func newDisk(dir string, draw func(int) int) *disk {
	return &disk{dir: dir, draw: draw, files: map[string]*file{}, crashAt: -1}
}

func (d *disk) step() {
	if d.crashAt == 0 {
		panic(errCrash)
	}
	d.crashAt--
}

func (d *disk) fails(kind string) bool {
	if d.fail != kind {
		return false
	}
	d.fail = ""
	return true
}

// path returns the present name of an open file.
func path(f *os.File) string {
	name := f.Name()
	if _, err := os.Stat(name); err != nil {
		return strings.TrimSuffix(name, ".tmp")
	}
	return name
}

func (d *disk) seams() agatestore.Files {
	return agatestore.Files{
		Write: d.write, Sync: d.sync, Truncate: d.truncate,
		Rename: d.rename, Remove: d.remove, SyncDir: d.syncDir,
	}
}

func (d *disk) write(f *os.File, b []byte, off int64) (int, error) {
	if d.files[path(f)] == nil {
		d.files[path(f)] = &file{}
	}
	if d.crashAt == 0 {
		f.WriteAt(b[:d.draw(len(b)+1)], off)
	}
	d.step()
	if d.fails("full") {
		n, _ := f.WriteAt(b[:d.draw(len(b))], off)
		return n, unix.ENOSPC
	}
	if d.fails("write") {
		n, _ := f.WriteAt(b[:d.draw(len(b))], off)
		return n, errInjected
	}
	return f.WriteAt(b, off)
}

func (d *disk) sync(f *os.File) error {
	d.step()
	if d.fails("sync") {
		return errInjected
	}
	info, err := f.Stat()
	if err == nil {
		d.files[path(f)] = &file{synced: info.Size()}
	}
	return err
}

func (d *disk) truncate(f *os.File, size int64) error {
	d.step()
	if d.fails("truncate") {
		return errInjected
	}
	return f.Truncate(size)
}

func (d *disk) rename(from, to string) error {
	d.step()
	if d.fails("rename") {
		return errInjected
	}
	d.undo = append(d.undo, func() {
		os.Rename(to, from)
		d.files[from] = d.files[to]
	})
	d.files[to] = d.files[from]
	return os.Rename(from, to)
}

func (d *disk) remove(name string) error {
	d.step()
	b, err := os.ReadFile(name)
	if err == nil {
		d.undo = append(d.undo, func() { os.WriteFile(name, b, 0o600) })
	}
	return os.Remove(name)
}

func (d *disk) syncDir(string) error {
	d.step()
	if d.fails("sync") {
		return errInjected
	}
	d.undo = nil
	return nil
}

// crash loses what was not synced: a suffix of the directory's changes, and
// of each file the end, or sectors in the middle, which read as zeros.
func (d *disk) crash() {
	for n := d.draw(len(d.undo) + 1); n > 0; n-- {
		d.undo[len(d.undo)-1]()
		d.undo = d.undo[:len(d.undo)-1]
	}
	d.undo = nil
	for _, name := range slices.Sorted(maps.Keys(d.files)) {
		f := d.files[name]
		b, err := os.ReadFile(name)
		if err != nil || int64(len(b)) <= f.synced {
			continue
		}
		if d.draw(2) == 0 {
			b = b[:int(f.synced)+d.draw(len(b)-int(f.synced)+1)]
		} else {
			d.zeroSectors(b, int(f.synced))
		}
		os.WriteFile(name, b, 0o600)
		f.synced = int64(len(b))
	}
	d.kill()
}

// kill ends the process; what was not synced stays until the next crash.
func (d *disk) kill() {
	d.crashAt = -1
	d.fail = ""
}

func (d *disk) zeroSectors(b []byte, from int) {
	for from < len(b) {
		end := min(len(b), (from/512+1)*512)
		if d.draw(2) == 0 {
			clear(b[from:end])
		}
		from = end
	}
}

// names returns the log and snapshot files of a directory.
func names(dir string) []string {
	logs, _ := filepath.Glob(filepath.Join(dir, "log-*"))
	snaps, _ := filepath.Glob(filepath.Join(dir, "snapshot-*"))
	return append(logs, snaps...)
}
