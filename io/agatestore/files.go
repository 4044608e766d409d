package agatestore

import "os"

// Files are the file operations of a Store. Tests replace them to inject
// faults; a nil field means the operation of the operating system.
type Files struct {
	Write    func(f *os.File, b []byte, off int64) (int, error)
	Sync     func(f *os.File) error
	Truncate func(f *os.File, size int64) error
	Rename   func(from, to string) error
	Remove   func(name string) error
	SyncDir  func(dir string) error
}

func (fs Files) withDefaults() Files {
	if fs.Write == nil {
		fs.Write = func(f *os.File, b []byte, off int64) (int, error) { return f.WriteAt(b, off) }
	}
	if fs.Sync == nil {
		fs.Sync = (*os.File).Sync
	}
	if fs.Truncate == nil {
		fs.Truncate = (*os.File).Truncate
	}
	if fs.Rename == nil {
		fs.Rename = os.Rename
	}
	if fs.Remove == nil {
		fs.Remove = os.Remove
	}
	if fs.SyncDir == nil {
		fs.SyncDir = syncDir
	}
	return fs
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
