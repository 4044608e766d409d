package agatestrict

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Location is the position of a table in a document. Decode sets fields of
// this type in the structs that it fills, so that callers can report further
// problems of the table.
type Location struct {
	doc   *Document
	table *value
	path  *path
}

// Report reports a problem with a key of the table. The line is that of the
// key or, if the document does not set the key, that of the table. If Decode
// has already reported a problem with the value, Report does nothing.
func (l Location) Report(key, format string, args ...any) {
	l.report(key, -1, fmt.Sprintf(format, args...))
}

// ReportItem is like Report, for element i of a list.
func (l Location) ReportItem(key string, i int, format string, args ...any) {
	l.report(key, i, fmt.Sprintf(format, args...))
}

func (l Location) report(key string, i int, text string) {
	if l.doc == nil {
		return
	}
	v, keyPath := l.table, l.path
	if key != "" {
		keyPath = keyPath.key(key)
	}
	if child := l.table.get(key); child != nil {
		v = child
	}
	if i >= 0 {
		keyPath = keyPath.item(i)
		if i < len(v.items) {
			v = v.items[i]
		}
	}
	if v.reported {
		return
	}
	l.doc.report(int(v.line), keyPath.String(), text)
}

// IsSet reports whether the document sets a key of the table.
func (l Location) IsSet(key string) bool {
	return l.table != nil && l.table.get(key) != nil
}

// Line returns the line of the table, or 0 if Decode has not set l.
func (l Location) Line() int {
	if l.table == nil {
		return 0
	}
	return int(l.table.line)
}

var locationType = reflect.TypeFor[Location]()

// Decode fills the struct to which dst points and reports unknown keys, wrong
// types, missing required keys and values out of range. Fields whose keys are
// not set keep their values. The tag "toml" gives the key of a field and may
// end in ",required". The tags "min" and "max" limit numbers and durations.
// Fields without a "toml" tag are ignored.
func (d *Document) Decode(dst any) {
	d.decodeTable(reflect.ValueOf(dst).Elem(), d.root, nil)
}

func (d *Document) decodeTable(dst reflect.Value, v *value, keyPath *path) {
	known := make([]string, 0, dst.NumField())
	for i := range dst.NumField() {
		f := dst.Type().Field(i)
		if f.Type == locationType {
			dst.Field(i).Set(reflect.ValueOf(Location{d, v, keyPath}))
			continue
		}
		name, option, _ := strings.Cut(f.Tag.Get("toml"), ",")
		if name == "" {
			continue
		}
		known = append(known, name)
		child := v.get(name)
		if child == nil {
			if option == "required" {
				d.report(int(v.line), keyPath.key(name).String(), "is missing")
			}
			continue
		}
		d.decodeValue(dst.Field(i), child, keyPath.key(name), f.Tag)
	}
	d.reportUnknownKeys(v, keyPath, known)
}

func (d *Document) reportUnknownKeys(v *value, keyPath *path, known []string) {
	for _, f := range v.fields {
		if !slices.Contains(known, f.name) {
			text := "is not a known key; known are " + strings.Join(known, ", ")
			d.report(int(f.value.line), keyPath.key(f.name).String(), text)
		}
	}
}

func (d *Document) reportInvalid(v *value, keyPath *path, format string, args ...any) {
	v.reported = true
	d.report(int(v.line), keyPath.String(), fmt.Sprintf(format, args...))
}

func (d *Document) decodeValue(dst reflect.Value, v *value, keyPath *path, tag reflect.StructTag) {
	if isTextType(dst) {
		d.decodeScalar(dst, v, keyPath, tag)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		if v.kind != kindTable {
			d.reportInvalid(v, keyPath, "must be a table, not %s", v.kind)
			return
		}
		d.decodeTable(dst, v, keyPath)
	case reflect.Slice:
		d.decodeList(dst, v, keyPath, tag)
	default:
		d.decodeScalar(dst, v, keyPath, tag)
	}
}

func (d *Document) decodeList(dst reflect.Value, v *value, keyPath *path, tag reflect.StructTag) {
	if v.kind != kindList {
		d.reportInvalid(v, keyPath, "must be a list, not %s", v.kind)
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(v.items), len(v.items))
	for i, item := range v.items {
		d.decodeValue(list.Index(i), item, keyPath.item(i), tag)
	}
	dst.Set(list)
}

func (d *Document) decodeScalar(dst reflect.Value, v *value, keyPath *path, tag reflect.StructTag) {
	if !acceptsKind(dst, v.kind) {
		d.reportInvalid(v, keyPath, "must be %s, not %s", describeType(dst), v.kind)
		return
	}
	if err := setScalar(dst, v.text, tag); err != nil {
		d.reportInvalid(v, keyPath, "%s", err.Error())
	}
}
