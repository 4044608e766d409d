// Package agatebuild tells which build of the sources a program is.
//
// # Usage
//
//	b := agatebuild.Read()
//	log.Info("process starts", "build", b.String())
package agatebuild

import (
	"runtime"
	"runtime/debug"
)

// Build describes a build of a program.
type Build struct {
	// Version is that of the main module, and Commit the revision of its sources. Both
	// are empty if the build did not record them.
	Version, Commit string
	// Modified is set if the sources differed from the commit.
	Modified bool
	// Go is the version of the toolchain.
	Go string
}

// Read returns the build of the running program.
func Read() Build {
	b := Build{Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version = info.Main.Version
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Commit = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

// commitDigits is the length of a commit in String.
const commitDigits = 12

// String returns the commit, with "+" if the sources differed from it, or "unknown".
func (b Build) String() string {
	if b.Commit == "" {
		return "unknown"
	}
	s := b.Commit[:min(len(b.Commit), commitDigits)]
	if b.Modified {
		s += "+"
	}
	return s
}
