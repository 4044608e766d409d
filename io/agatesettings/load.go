package agatesettings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"agategate/internal/agatestrict"
)

// Problem is one reason why settings are refused.
type Problem = agatestrict.Problem

// Problems is every reason why settings are refused. It is an error.
type Problems = agatestrict.Problems

// Source names where settings come from. The zero value gives the defaults.
type Source struct {
	// File is the path of the file. No file is read if it is empty.
	File string
	// Read reads the file. The default is os.ReadFile.
	Read func(file string) ([]byte, error)
	// Environ is the environment as os.Environ returns it. Variables that
	// begin with AGATEGATE_ must be known.
	Environ []string
	// Flags holds the text of the flags that were given, by key.
	Flags map[string]string
}

// origin is where a value was set.
type origin struct {
	file string
	line int
	key  string
}

type loader struct {
	file     string
	doc      *agatestrict.Document // nil without a file
	keys     []Key
	root     reflect.Value
	from     map[string]origin
	bad      map[string]bool
	partial  bool // a file could not be read to its end
	problems Problems
}

// Load reads settings from all sources. It returns either settings or every
// problem that it found.
func Load[T Settings](src Source) (T, Problems) {
	var s T
	l := &loader{
		file: src.File,
		keys: Keys[T](),
		root: reflect.ValueOf(&s).Elem(),
		from: make(map[string]origin),
		bad:  make(map[string]bool),
	}
	l.loadDefaults()
	l.loadFile(src, &s)
	l.loadEnviron(src.Environ)
	l.loadFlags(src.Flags)
	if !l.partial {
		l.check()
		l.checkRole(any(&s))
	}
	l.sort()
	if len(l.problems) > 0 {
		var none T
		return none, l.problems
	}
	return s, nil
}

func (l *loader) field(k Key) reflect.Value { return l.root.FieldByIndex(k.index) }

func (l *loader) report(o origin, text string) {
	l.problems = append(l.problems, Problem{File: o.file, Line: o.line, Key: o.key, Text: text})
}

// refuse reports a problem of a key at the place where it was set. A key with
// a problem gets no second one.
func (l *loader) refuse(key, format string, args ...any) {
	table, _, _ := strings.Cut(key, ".")
	if l.bad[key] || l.bad[table] {
		return
	}
	l.bad[key] = true
	o, ok := l.from[key]
	if !ok {
		o = l.absent(key)
	}
	l.report(o, fmt.Sprintf(format, args...))
}

// absent returns where a key that no source sets should be: in its table of
// the file, if there is a file.
func (l *loader) absent(key string) origin {
	if l.doc == nil {
		return origin{file: "settings", key: key}
	}
	line := 1
	if table, _, ok := strings.Cut(key, "."); ok {
		line = max(1, l.doc.Line(table))
	}
	return origin{file: l.file, line: line, key: key}
}

// sort orders problems by their source and line.
func (l *loader) sort() {
	rank := map[string]int{l.file: 0, "environment": 1, "flags": 2, "settings": 3}
	slices.SortStableFunc(l.problems, func(a, b Problem) int {
		if a.File != b.File {
			return rank[a.File] - rank[b.File]
		}
		return a.Line - b.Line
	})
}

func (l *loader) loadDefaults() {
	for _, k := range l.keys {
		if k.Default == "" {
			continue
		}
		if err := agatestrict.SetText(l.field(k), k.Default, k.tag); err != nil {
			panic(fmt.Sprintf("agatesettings: default of %s: %v", k.Name, err))
		}
	}
}

func (l *loader) loadFile(src Source, dst any) {
	if src.File == "" {
		return
	}
	read := src.Read
	if read == nil {
		read = os.ReadFile
	}
	data, err := read(src.File)
	if err != nil {
		l.partial = true
		l.report(origin{file: src.File}, fmt.Sprintf("cannot be read: %v", err))
		return
	}
	doc := agatestrict.Read(src.File, data)
	l.doc = doc
	l.partial = doc.Incomplete()
	doc.Decode(dst)
	for _, p := range doc.Problems() {
		l.problems = append(l.problems, p)
		key, _, _ := strings.Cut(p.Key, "[")
		l.bad[key] = true
	}
	for _, k := range l.keys {
		if line := doc.Line(k.Name); line > 0 {
			l.from[k.Name] = origin{src.File, line, k.Name}
		}
	}
}

// foreign are variables of the operators' commands, which may be set in the
// environment of a process too.
var foreign = []string{"AGATEGATE_CONTROL", "AGATEGATE_CA", "AGATEGATE_CERT", "AGATEGATE_KEY"}

func (l *loader) loadEnviron(environ []string) {
	for _, pair := range environ {
		name, text, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, prefix) || slices.Contains(foreign, name) {
			continue
		}
		i := slices.IndexFunc(l.keys, func(k Key) bool { return k.Env() == name })
		o := origin{file: "environment", key: name}
		if i < 0 {
			l.report(o, "is not a known variable")
			continue
		}
		l.set(l.keys[i], o, text)
	}
}

func (l *loader) loadFlags(flags map[string]string) {
	for _, k := range l.keys {
		if text, ok := flags[k.Name]; ok {
			l.set(k, origin{file: "flags", key: "--" + k.Name}, text)
		}
	}
}

func (l *loader) set(k Key, o origin, text string) {
	l.from[k.Name] = o
	l.bad[k.Name] = false
	if err := agatestrict.SetText(l.field(k), text, k.tag); err != nil {
		l.refuse(k.Name, "%s", err.Error())
	}
}

func (l *loader) check() {
	for _, k := range l.keys {
		if k.Needed && l.field(k).IsZero() {
			l.refuse(k.Name, "is missing")
		}
		if list := k.tag.Get("oneof"); list != "" && !slices.Contains(strings.Split(list, ","), l.field(k).String()) {
			l.refuse(k.Name, "must be one of %s, not %q", strings.ReplaceAll(list, ",", ", "), l.field(k).String())
		}
	}
}

// Detect returns which kind a file is by the keys that only that kind has:
// "entry", "control", "plan" or, for any other file, "inventory".
func Detect(data []byte) string {
	doc := agatestrict.Read("", data)
	switch {
	case doc.Line("replicas") > 0:
		return "entry"
	case doc.Line("data") > 0 || doc.Line("members") > 0:
		return "control"
	case doc.Line("version") > 0:
		return "plan"
	}
	return "inventory"
}
