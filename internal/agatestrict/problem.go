// Package agatestrict decodes TOML documents strictly: it rejects unknown keys,
// duplicate keys, wrong types and values out of range, and reports all problems
// with file, line and key instead of only the first one.
//
// # Usage
//
//	doc := agatestrict.Read("inventory.toml", data)
//	var inventory struct {
//		At     agatestrict.Location
//		Target float64 `toml:"target" min:"0" max:"1"`
//		Host   []struct {
//			At   agatestrict.Location
//			Name string `toml:"name,required"`
//		} `toml:"host"`
//	}
//	doc.Decode(&inventory)
//	inventory.Host[0].At.Report("name", "is already used")
//	return doc.Problems()
package agatestrict

import (
	"fmt"
	"sort"
	"strings"
)

// Limits of the problems reported for one document.
const (
	maxProblems  = 1000
	maxTextBytes = 400 // of a key or a text
)

// Problem is a reason why a document is rejected.
type Problem struct {
	File string `json:"file"`
	// Line starts at 1. It is 0 if the problem is not on a line, for example if
	// it concerns an environment variable.
	Line int `json:"line"`
	// Key is the full path of the key, such as "service[0].name". Indexes start
	// at 0. It is empty for syntax errors.
	Key  string `json:"key"`
	Text string `json:"text"`
}

// String returns "file:line: key: text" without the empty parts.
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

// Problems is the list of problems of a document, sorted by line.
type Problems []Problem

// Error returns one line per problem.
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
