package agatestrict

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Document is a parsed TOML document with the problems found so far. It is not
// safe for concurrent use.
type Document struct {
	file          string
	data          []byte
	lineEnds      []int // byte offsets
	root          *value
	valueCount    int
	unlistedCount int // problems beyond maxProblems
	incomplete    bool
	problems      Problems
}

// Read parses a document. It reports syntax errors, duplicate keys and exceeded
// limits as problems of the document. file is only used to report problems.
func Read(file string, data []byte) *Document {
	d := &Document{file: file, data: data, root: &value{origin: originHeader, line: 1}}
	if len(data) > MaxBytes {
		d.abort(0, fmt.Sprintf("the document has %d bytes; the limit is %d", len(data), MaxBytes))
		return d
	}
	for i, c := range data {
		if c == '\n' {
			d.lineEnds = append(d.lineEnds, i)
		}
	}
	if offset, reason := checkLimits(data); reason != "" {
		d.abort(d.lineAt(offset), reason)
		return d
	}
	d.build()
	return d
}

// Incomplete reports whether parsing stopped before the end of the document. A
// missing key may then be in the part that was not read.
func (d *Document) Incomplete() bool { return d.incomplete }

// abort marks the document as incomplete and reports the reason.
func (d *Document) abort(line int, text string) {
	d.incomplete = true
	d.report(line, "", text)
}

// Problems returns the problems found so far, sorted by line, or nil. If there
// are too many, the last element gives the number of those that are not listed.
func (d *Document) Problems() Problems {
	d.problems.sort()
	if d.unlistedCount == 0 {
		return d.problems
	}
	more := Problem{File: d.file, Text: fmt.Sprintf("%d more problems are not listed", d.unlistedCount)}
	return append(d.problems[:len(d.problems):len(d.problems)], more)
}

func (d *Document) report(line int, key, text string) {
	if len(d.problems) >= maxProblems {
		d.unlistedCount++
		return
	}
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Key: truncate(key), Text: truncate(text)})
}

// truncate shortens a text that quotes a long part of the document.
func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxTextBytes], "") + "..."
}

func (d *Document) lineAt(offset int) int {
	return sort.SearchInts(d.lineEnds, offset) + 1
}

func (d *Document) lineOf(n *unstable.Node) int {
	return d.lineAt(int(n.Raw.Offset))
}

// build builds the tree of values from the expressions of the parser. It stops
// at a syntax error, because the meaning of what follows is uncertain.
func (d *Document) build() {
	var p unstable.Parser
	p.Reset(d.data)
	table, keyPath := d.root, (*path)(nil)
	for p.NextExpression() && d.valueCount <= maxValues {
		switch e := p.Expression(); e.Kind {
		case unstable.Table:
			table, keyPath = d.enterTable(e)
		case unstable.ArrayTable:
			table, keyPath = d.enterArrayElement(e)
		case unstable.KeyValue:
			d.addKey(table, keyPath, e)
		}
	}
	if d.valueCount > maxValues {
		d.abort(0, "the document has too many values")
		return
	}
	d.reportSyntaxError(&p)
}

func (d *Document) reportSyntaxError(p *unstable.Parser) {
	err := p.Error()
	if err == nil {
		return
	}
	var pe *unstable.ParserError
	if !errors.As(err, &pe) {
		d.abort(0, err.Error())
		return
	}
	line := len(d.lineEnds) + 1
	if len(pe.Highlight) > 0 {
		line = d.lineAt(int(p.Range(pe.Highlight).Offset))
	}
	d.abort(line, "syntax error: "+pe.Message)
}

// newDetachedTable returns a table that is not part of the document. It
// receives the keys that follow an invalid header.
func newDetachedTable(line int) *value { return &value{origin: originHeader, line: int32(line)} }

// enterTable returns the table of a [header] and its path.
func (d *Document) enterTable(e *unstable.Node) (*value, *path) {
	parent, keyPath, last := d.resolveHeader(e)
	if parent == nil {
		return newDetachedTable(d.lineOf(last)), keyPath
	}
	name, line := string(last.Data), d.lineOf(last)
	keyPath = keyPath.key(name)
	v := parent.get(name)
	switch {
	case v == nil:
		v = d.newValue(kindTable, originHeader, line)
		parent.set(name, v)
	case v.kind == kindTable && v.origin == originImplied:
		v.origin, v.line = originHeader, int32(line)
	default:
		d.reportDuplicate(line, keyPath, v)
		return newDetachedTable(line), keyPath
	}
	return v, keyPath
}

// enterArrayElement appends a table to the array of a [[header]] and returns
// the table and its path.
func (d *Document) enterArrayElement(e *unstable.Node) (*value, *path) {
	parent, keyPath, last := d.resolveHeader(e)
	if parent == nil {
		return newDetachedTable(d.lineOf(last)), keyPath
	}
	name, line := string(last.Data), d.lineOf(last)
	keyPath = keyPath.key(name)
	list := parent.get(name)
	if list == nil {
		list = d.newValue(kindList, originTableArray, line)
		parent.set(name, list)
	}
	if list.origin != originTableArray {
		d.reportDuplicate(line, keyPath, list)
		return newDetachedTable(line), keyPath
	}
	v := d.newValue(kindTable, originHeader, line)
	list.items = append(list.items, v)
	return v, keyPath.item(len(list.items) - 1)
}

// resolveHeader resolves all parts of a header except the last, which it
// returns as a node. The table is nil if a part is not an extensible table.
func (d *Document) resolveHeader(e *unstable.Node) (*value, *path, *unstable.Node) {
	v, keyPath := d.root, (*path)(nil)
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if v == nil || it.IsLast() {
			if it.IsLast() {
				return v, keyPath, n
			}
			continue
		}
		name := string(n.Data)
		keyPath = keyPath.key(name)
		next := v.get(name)
		if next == nil {
			next = d.newValue(kindTable, originImplied, d.lineOf(n))
			v.set(name, next)
		}
		if next.origin == originTableArray {
			keyPath = keyPath.item(len(next.items) - 1)
			next = next.items[len(next.items)-1]
		}
		if next.kind != kindTable || next.origin == originInline {
			d.reportDuplicate(d.lineOf(n), keyPath, next)
			next = nil
		}
		v = next
	}
	return nil, keyPath, e
}

func (d *Document) addKey(table *value, keyPath *path, e *unstable.Node) {
	it := e.Key()
	for it.Next() {
		n := it.Node()
		name, line := string(n.Data), d.lineOf(n)
		keyPath = keyPath.key(name)
		existing := table.get(name)
		if it.IsLast() {
			if existing != nil {
				d.reportDuplicate(line, keyPath, existing)
				return
			}
			table.set(name, d.newValueFromNode(e.Value(), keyPath, line))
			return
		}
		if existing == nil {
			existing = d.newValue(kindTable, originDottedKey, line)
			table.set(name, existing)
		}
		if existing.kind != kindTable || existing.origin != originDottedKey && existing.origin != originImplied {
			d.reportDuplicate(line, keyPath, existing)
			return
		}
		table = existing
	}
}

func (d *Document) reportDuplicate(line int, keyPath *path, existing *value) {
	d.report(line, keyPath.String(), fmt.Sprintf("is already set on line %d", existing.line))
}

func (d *Document) newValue(k kind, o origin, line int) *value {
	d.valueCount++
	return &value{kind: k, origin: o, line: int32(line)}
}

func (d *Document) newValueFromNode(n *unstable.Node, keyPath *path, line int) *value {
	// Strings have their own line. The parser does not give the position of all
	// other kinds, so they have the line of the key or of the enclosing list.
	if n.Kind == unstable.String {
		line = d.lineOf(n)
	}
	v := d.newValue(kindOf(n.Kind), originInline, line)
	switch n.Kind {
	case unstable.Array:
		for it := n.Children(); it.Next(); {
			v.items = append(v.items, d.newValueFromNode(it.Node(), keyPath.item(len(v.items)), line))
		}
	case unstable.InlineTable:
		// addKey extends only tables of this origin; closeInlineTable sets the
		// final one.
		v.origin = originDottedKey
		for it := n.Children(); it.Next(); {
			d.addKey(v, keyPath, it.Node())
		}
		closeInlineTable(v)
	default:
		v.text = string(n.Data)
	}
	return v
}

// closeInlineTable makes an inline table, and the tables that its dotted keys
// created, not extensible.
func closeInlineTable(v *value) {
	v.origin = originInline
	for _, f := range v.fields {
		if f.value.kind == kindTable {
			closeInlineTable(f.value)
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
