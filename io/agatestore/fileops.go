package agatestore

import "os"

// FileOps are the file operations of a Store. Tests replace them to inject
// faults. A nil field means the operation of the operating system.
type FileOps struct {
	Write    func(f *os.File, b []byte, off int64) (int, error)
	Sync     func(f *os.File) error
	Truncate func(f *os.File, size int64) error
	Rename   func(from, to string) error
	Remove   func(name string) error
	SyncDir  func(dir string) error
}

func (ops FileOps) withDefaults() FileOps {
	if ops.Write == nil {
		ops.Write = func(f *os.File, b []byte, off int64) (int, error) { return f.WriteAt(b, off) }
	}
	if ops.Sync == nil {
		ops.Sync = (*os.File).Sync
	}
	if ops.Truncate == nil {
		ops.Truncate = (*os.File).Truncate
	}
	if ops.Rename == nil {
		ops.Rename = os.Rename
	}
	if ops.Remove == nil {
		ops.Remove = os.Remove
	}
	if ops.SyncDir == nil {
		ops.SyncDir = syncDir
	}
	return ops
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
