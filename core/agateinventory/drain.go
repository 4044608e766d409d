package agateinventory

import (
	"bytes"
	"reflect"
	"strings"
)

// SetDrain returns a document with a drain added or, if the document has a
// drain of that kind and name, with its share replaced. The text of the document
// is kept, including comments, if editing the text results in the expected
// inventory; otherwise the whole document is reformatted. The file is the name
// of the document in problems.
func SetDrain(file string, doc []byte, d Drain) ([]byte, Problems) {
	return editDrain(file, doc, d.Kind, d.Name, &d)
}

// ClearDrain returns a document without a drain. A document that does not have
// the drain is returned unchanged.
func ClearDrain(file string, doc []byte, kind DrainKind, name string) ([]byte, Problems) {
	return editDrain(file, doc, kind, name, nil)
}

func editDrain(file string, doc []byte, kind DrainKind, name string, d *Drain) ([]byte, Problems) {
	inv, problems := Parse(file, doc)
	if len(problems) > 0 {
		return nil, problems
	}
	want := *inv
	want.Drains = replaceDrain(inv.Drains, kind, name, d)
	if reflect.DeepEqual(want.Drains, inv.Drains) {
		return doc, nil
	}
	formatted := Format(&want)
	if _, problems := Parse(file, formatted); len(problems) > 0 {
		return nil, withoutLines(problems)
	}
	text := editText(doc, kind, name, d)
	if got, problems := Parse(file, text); len(problems) == 0 && reflect.DeepEqual(got, &want) {
		return text, nil
	}
	return formatted, nil
}

// withoutLines clears the line numbers of problems, because they refer to the
// reformatted document, which the operator does not have.
func withoutLines(problems Problems) Problems {
	for i := range problems {
		problems[i].Line = 0
	}
	return problems
}

// replaceDrain returns a copy of a list of drains without the one of a kind and
// name, and with d, if not nil, at the end. If the list already has d, it returns
// the list itself.
func replaceDrain(drains []Drain, kind DrainKind, name string, d *Drain) []Drain {
	var list []Drain
	for _, o := range drains {
		if o.Kind == kind && o.Name == name {
			if d != nil && o.Share == d.Share {
				return drains
			}
			continue
		}
		list = append(list, o)
	}
	if d != nil {
		list = append(list, *d)
	}
	return list
}

// editText removes the drain's table from the text and appends d.
func editText(doc []byte, kind DrainKind, name string, d *Drain) []byte {
	w := &tomlWriter{}
	for _, section := range sections(doc) {
		if !isDrainTable(section, kind, name) {
			w.buf.Write(section)
		}
	}
	if d != nil {
		if n := w.buf.Len(); n > 0 && w.buf.Bytes()[n-1] != '\n' {
			w.buf.WriteByte('\n')
		}
		w.drain(*d)
	}
	return w.buf.Bytes()
}

// sections splits a document before each line that begins a [[drain]] table and
// before each line that ends one: a blank line, a comment or a header.
func sections(doc []byte) [][]byte {
	var list [][]byte
	start, inside := 0, false
	for pos := 0; pos < len(doc); {
		end := len(doc)
		if n := bytes.IndexByte(doc[pos:], '\n'); n >= 0 {
			end = pos + n + 1
		}
		line := strings.TrimSpace(string(doc[pos:end]))
		opens := line == "[[drain]]"
		closes := inside && (line == "" || line[0] == '#' || line[0] == '[')
		if opens || closes {
			list = append(list, doc[start:pos])
			start, inside = pos, opens
		}
		pos = end
	}
	return append(list, doc[start:])
}

// isDrainTable reports whether a section is the [[drain]] table of a kind and
// name.
func isDrainTable(section []byte, kind DrainKind, name string) bool {
	lines := strings.Split(string(section), "\n")
	if strings.TrimSpace(lines[0]) != "[[drain]]" {
		return false
	}
	var kindMatches, nameMatches bool
	for _, line := range lines[1:] {
		key, val, _ := strings.Cut(line, "=")
		val, _, _ = strings.Cut(val, "#")
		switch strings.TrimSpace(key) {
		case "kind":
			kindMatches = strings.TrimSpace(val) == quote(string(kind))
		case "name":
			nameMatches = strings.TrimSpace(val) == quote(name)
		}
	}
	return kindMatches && nameMatches
}
