package agatestrict

import "strconv"

type kind uint8

const (
	kindTable kind = iota
	kindList
	kindString
	kindInteger
	kindFloat
	kindBool
	kindDate
)

func (k kind) String() string {
	return [...]string{"a table", "a list", "a string", "an integer", "a number", "a boolean", "a date or time"}[k]
}

// origin is how a value was defined, which determines whether keys or elements
// may be added to it.
type origin uint8

const (
	originImplied    origin = iota // implicitly, by the header of a subtable
	originHeader                   // by its own header
	originDottedKey                // by a dotted key
	originInline                   // as an inline value, to which nothing may be added
	originTableArray               // as an array of tables, by [[headers]]
)

// value is a node of the document tree with its line.
type value struct {
	kind   kind
	origin origin
	// reported marks a value that has a reported problem, so that one fault is
	// not reported twice.
	reported bool
	line     int32
	text     string            // of a scalar
	fields   []field           // of a table, in document order
	index    map[string]*value // fields by name, nil for small tables
	items    []*value          // of a list
}

type field struct {
	name  string
	value *value
}

// Tables with at least minIndexedFields fields have an index. For fewer fields
// a linear scan needs less memory than a map.
const minIndexedFields = 8

func (v *value) get(name string) *value {
	if v.index != nil {
		return v.index[name]
	}
	for _, f := range v.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

func (v *value) set(name string, child *value) {
	v.fields = append(v.fields, field{name, child})
	if v.index != nil {
		v.index[name] = child
		return
	}
	if len(v.fields) < minIndexedFields {
		return
	}
	v.index = make(map[string]*value, 2*minIndexedFields)
	for _, f := range v.fields {
		v.index[f.name] = f.value
	}
}

// path is the path from the root to a value. A nil path is the root.
type path struct {
	parent *path
	name   string
	index  int // -1 for a key
}

func (p *path) key(name string) *path { return &path{parent: p, name: name, index: -1} }

func (p *path) item(i int) *path { return &path{parent: p, index: i} }

// String returns the path as in "service[0].name".
func (p *path) String() string {
	if p == nil {
		return ""
	}
	if p.index >= 0 {
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	if p.parent == nil {
		return p.name
	}
	return p.parent.String() + "." + p.name
}
