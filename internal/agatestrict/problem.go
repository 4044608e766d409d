// Package agatestrict reads TOML documents strictly: it refuses unknown keys,
// duplicate keys, wrong types and values out of range, and reports every
// problem with its file, line and key instead of only the first one.
//
// # Usage
//
//	doc := agatestrict.Read("inventory.toml", data)
//	var wire struct {
//		At     agatestrict.Place
//		Target float64 `toml:"target" min:"0" max:"1"`
//		Host   []struct {
//			At   agatestrict.Place
//			Name string `toml:"name,required"`
//		} `toml:"host"`
//	}
//	doc.Decode(&wire)
//	wire.Host[0].At.Refuse("name", "is already used")
//	return doc.Problems()
package agatestrict

import (
	"fmt"
	"sort"
	"strings"
)

// Bounds of the problems that one document may report.
const (
	maxProblems = 1000
	maxText     = 400 // bytes of a key or text
)

// Problem is one reason why a document is refused.
type Problem struct {
	File string `json:"file"`
	// Line starts at 1. It is 0 if the problem has no line, for example
	// because it comes from an environment variable.
	Line int `json:"line"`
	// Key is the full path of the key, such as "service[0].name". Indexes
	// start at 0. It is empty for errors in the syntax.
	Key  string `json:"key"`
	Text string `json:"text"`
}

// String returns "file:line: key: text" without the parts that are empty.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Key != "" {
		b.WriteString(p.Key)
		b.WriteString(": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems is every reason why a document is refused, in the order of lines.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sort() {
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
}
