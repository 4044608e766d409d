package agatestrict

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Place is where a table was found. A struct that Decode fills may have a
// field of this type to report further problems.
type Place struct {
	doc   *Document
	value *value
	path  *path
}

// Refuse reports a problem of a key of the table. The line is that of the key
// or, if the document does not set it, that of the table. A key whose value
// has a reported problem gets no second one.
func (p Place) Refuse(key, format string, args ...any) {
	p.refuse(key, -1, fmt.Sprintf(format, args...))
}

// RefuseItem reports a problem of one element of a list.
func (p Place) RefuseItem(key string, i int, format string, args ...any) {
	p.refuse(key, i, fmt.Sprintf(format, args...))
}

func (p Place) refuse(key string, i int, text string) {
	if p.doc == nil {
		return
	}
	v, at := p.value, p.path
	if key != "" {
		at = at.key(key)
	}
	if child := p.value.get(key); child != nil {
		v = child
	}
	if i >= 0 {
		at = at.item(i)
		if i < len(v.items) {
			v = v.items[i]
		}
	}
	if v.bad {
		return
	}
	p.doc.report(int(v.line), at.String(), text)
}

// Has reports whether the document sets a key of the table.
func (p Place) Has(key string) bool {
	return p.value != nil && p.value.get(key) != nil
}

// Line returns the line of the table.
func (p Place) Line() int {
	if p.value == nil {
		return 0
	}
	return int(p.value.line)
}

var placeType = reflect.TypeFor[Place]()

// Decode fills a struct from the document and reports unknown keys, wrong
// types, missing required keys and values out of range. Keys that are not
// set keep the value that the struct has. Fields are matched by the tag
// "toml", which may end in ",required"; the tags "min" and "max" bound
// numbers and durations. Fields without the tag are left alone.
func (d *Document) Decode(dst any) {
	d.decodeTable(reflect.ValueOf(dst).Elem(), d.root, nil)
}

func (d *Document) decodeTable(dst reflect.Value, v *value, at *path) {
	known := make([]string, 0, dst.NumField())
	for i := range dst.NumField() {
		f := dst.Type().Field(i)
		if f.Type == placeType {
			dst.Field(i).Set(reflect.ValueOf(Place{d, v, at}))
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
				d.report(int(v.line), at.key(name).String(), "is missing")
			}
			continue
		}
		d.decode(dst.Field(i), child, at.key(name), f.Tag)
	}
	d.unknown(v, at, known)
}

func (d *Document) unknown(v *value, at *path, known []string) {
	for _, f := range v.fields {
		if !slices.Contains(known, f.name) {
			text := "is not a known key; known are " + strings.Join(known, ", ")
			d.report(int(f.value.line), at.key(f.name).String(), text)
		}
	}
}

func (d *Document) fault(v *value, at *path, format string, args ...any) {
	v.bad = true
	d.report(int(v.line), at.String(), fmt.Sprintf(format, args...))
}

func (d *Document) decode(dst reflect.Value, v *value, at *path, tag reflect.StructTag) {
	if isText(dst) {
		d.decodeScalar(dst, v, at, tag)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		if v.kind != kindTable {
			d.fault(v, at, "must be a table, not %s", v.kind)
			return
		}
		d.decodeTable(dst, v, at)
	case reflect.Slice:
		d.decodeList(dst, v, at, tag)
	default:
		d.decodeScalar(dst, v, at, tag)
	}
}

func (d *Document) decodeList(dst reflect.Value, v *value, at *path, tag reflect.StructTag) {
	if v.kind != kindList {
		d.fault(v, at, "must be a list, not %s", v.kind)
		return
	}
	list := reflect.MakeSlice(dst.Type(), len(v.items), len(v.items))
	for i, item := range v.items {
		d.decode(list.Index(i), item, at.item(i), tag)
	}
	dst.Set(list)
}

func (d *Document) decodeScalar(dst reflect.Value, v *value, at *path, tag reflect.StructTag) {
	if !accepts(dst, v.kind) {
		d.fault(v, at, "must be %s, not %s", describe(dst), v.kind)
		return
	}
	if err := setScalar(dst, v.text, tag); err != nil {
		d.fault(v, at, "%s", err.Error())
	}
}
