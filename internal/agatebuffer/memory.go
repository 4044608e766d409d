package agatebuffer

import "runtime/debug"

// Parts of the memory of a process that its account holds. The rest is for state,
// connections, and what the garbage collector has not freed yet. A control process keeps
// its log and documents in memory besides.
const (
	EntryShare   = 0.5
	ControlShare = 0.25
)

// collectorShare is the part of the memory of a process from which on the garbage
// collector runs as often as it has to.
const collectorShare = 0.7

// SetProcessMemory states the memory of the process, so that the garbage collector frees
// in time what is no longer charged. It has no effect if bytes is 0.
func SetProcessMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(bytes)))
	}
}
