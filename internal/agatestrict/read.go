package agatestrict

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Document is a parsed TOML document with the problems found so far. It is
// not safe for concurrent use.
type Document struct {
	file     string
	data     []byte
	lines    []int // offsets of line ends
	root     *value
	values   int
	dropped  int
	partial  bool
	problems Problems
}

// Read parses a document. It reports an error in the syntax as a problem of
// the document, as it does for a document above MaxBytes.
func Read(file string, data []byte) *Document {
	d := &Document{file: file, data: data, root: &value{origin: headed, line: 1}}
	if len(data) > MaxBytes {
		d.stop(0, fmt.Sprintf("the document has %d bytes; the limit is %d", len(data), MaxBytes))
		return d
	}
	for i, c := range data {
		if c == '\n' {
			d.lines = append(d.lines, i)
		}
	}
	if at, reason := checkBounds(data); reason != "" {
		d.stop(d.lineAt(at), reason)
		return d
	}
	d.build()
	return d
}

// Partial reports whether a part of the document could not be read. What is
// missing in such a document may be in the part that was not read.
func (d *Document) Partial() bool { return d.partial }

// stop reports why the rest of the document is not read.
func (d *Document) stop(line int, text string) {
	d.partial = true
	d.report(line, "", text)
}

// Problems returns what was found so far in the order of lines, or nil.
func (d *Document) Problems() Problems {
	d.problems.sort()
	if d.dropped == 0 {
		return d.problems
	}
	more := Problem{File: d.file, Text: fmt.Sprintf("%d more problems are not listed", d.dropped)}
	return append(d.problems[:len(d.problems):len(d.problems)], more)
}

func (d *Document) report(line int, key, text string) {
	if len(d.problems) >= maxProblems {
		d.dropped++
		return
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Key: cut(key), Text: cut(text)})
}

// cut shortens a text that quotes a long part of the document.
func cut(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.ToValidUTF8(s[:maxText], "") + "..."
}

func (d *Document) lineAt(offset int) int {
	return sort.SearchInts(d.lines, offset) + 1
}

func (d *Document) lineOf(n *unstable.Node) int {
	return d.lineAt(int(n.Raw.Offset))
}

// build turns the parser's expressions into a tree. Expressions after an
// error in the syntax are not read, because their meaning is not certain.
func (d *Document) build() {
	var p unstable.Parser
	p.Reset(d.data)
	table, at := d.root, (*path)(nil)
	for p.NextExpression() && d.values <= maxValues {
		switch e := p.Expression(); e.Kind {
		case unstable.Table:
			table, at = d.openTable(e)
		case unstable.ArrayTable:
			table, at = d.openElement(e)
		case unstable.KeyValue:
			d.addKey(table, at, e)
		}
	}
	if d.values > maxValues {
		d.stop(0, "the document has too many values")
		return
	}
	d.syntax(&p)
}

func (d *Document) syntax(p *unstable.Parser) {
	err := p.Error()
	if err == nil {
		return
	}
	var pe *unstable.ParserError
	if !errors.As(err, &pe) {
		d.stop(0, err.Error())
		return
	}
	line := len(d.lines) + 1
	if len(pe.Highlight) > 0 {
		line = d.lineAt(int(p.Range(pe.Highlight).Offset))
	}
	d.stop(line, "syntax error: "+pe.Message)
}

// detached returns a table outside the document. It takes the keys below a
// header that was refused.
func detached(line int) *value { return &value{origin: headed, line: int32(line)} }

func (d *Document) openTable(e *unstable.Node) (*value, *path) {
	parent, at, last := d.walkHeader(e)
	if parent == nil {
		return detached(d.lineOf(last)), at
	}
	name, line := string(last.Data), d.lineOf(last)
	at = at.key(name)
	v := parent.get(name)
	switch {
	case v == nil:
		v = d.newValue(kindTable, headed, line)
		parent.set(name, v)
	case v.kind == kindTable && v.origin == implied:
		v.origin, v.line = headed, int32(line)
	default:
		d.twice(line, at, v)
		return detached(line), at
	}
	return v, at
}

func (d *Document) openElement(e *unstable.Node) (*value, *path) {
	parent, at, last := d.walkHeader(e)
	if parent == nil {
		return detached(d.lineOf(last)), at
	}
	name, line := string(last.Data), d.lineOf(last)
	at = at.key(name)
	list := parent.get(name)
	if list == nil {
		list = d.newValue(kindList, elemental, line)
		parent.set(name, list)
	}
	if list.origin != elemental {
		d.twice(line, at, list)
		return detached(line), at
	}
	v := d.newValue(kindTable, headed, line)
	list.items = append(list.items, v)
	return v, at.item(len(list.items) - 1)
}

// walkHeader follows all parts of a header but the last, which it returns.
// The table is nil if a part is not a table that may be extended.
func (d *Document) walkHeader(e *unstable.Node) (*value, *path, *unstable.Node) {
	v, at := d.root, (*path)(nil)
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if v == nil || it.IsLast() {
			if it.IsLast() {
				return v, at, n
			}
			continue
		}
		name := string(n.Data)
		at = at.key(name)
		next := v.get(name)
		if next == nil {
			next = d.newValue(kindTable, implied, d.lineOf(n))
			v.set(name, next)
		}
		if next.origin == elemental {
			at = at.item(len(next.items) - 1)
			next = next.items[len(next.items)-1]
		}
		if next.kind != kindTable || next.origin == sealed {
			d.twice(d.lineOf(n), at, next)
			next = nil
		}
		v = next
	}
	return nil, at, e
}

func (d *Document) addKey(table *value, at *path, e *unstable.Node) {
	it := e.Key()
	for it.Next() {
		n := it.Node()
		name, line := string(n.Data), d.lineOf(n)
		at = at.key(name)
		old := table.get(name)
		if it.IsLast() {
			if old != nil {
				d.twice(line, at, old)
				return
			}
			table.set(name, d.newNode(e.Value(), at, line))
			return
		}
		if old == nil {
			old = d.newValue(kindTable, dotted, line)
			table.set(name, old)
		}
		if old.kind != kindTable || old.origin != dotted && old.origin != implied {
			d.twice(line, at, old)
			return
		}
		table = old
	}
}

func (d *Document) twice(line int, at *path, old *value) {
	d.report(line, at.String(), fmt.Sprintf("is already set on line %d", old.line))
}

func (d *Document) newValue(k kind, o origin, line int) *value {
	d.values++
	return &value{kind: k, origin: o, line: int32(line)}
}

func (d *Document) newNode(n *unstable.Node, at *path, line int) *value {
	if n.Kind == unstable.String {
		line = d.lineOf(n)
	}
	v := d.newValue(kindOf(n.Kind), sealed, line)
	switch n.Kind {
	case unstable.Array:
		for it := n.Children(); it.Next(); {
			v.items = append(v.items, d.newNode(it.Node(), at.item(len(v.items)), line))
		}
	case unstable.InlineTable:
		v.origin = dotted
		for it := n.Children(); it.Next(); {
			d.addKey(v, at, it.Node())
		}
		seal(v)
	default:
		v.text = string(n.Data)
	}
	return v
}

// seal closes an inline table and the tables that its dotted keys made.
func seal(v *value) {
	v.origin = sealed
	for _, f := range v.fields {
		if f.value.kind == kindTable {
			seal(f.value)
		}
	}
}

func kindOf(k unstable.Kind) kind {
	switch k {
	case unstable.Array:
		return kindList
	case unstable.InlineTable:
		return kindTable
	case unstable.String:
		return kindString
	case unstable.Integer:
		return kindInteger
	case unstable.Float:
		return kindFloat
	case unstable.Bool:
		return kindBool
	}
	return kindDate
}
