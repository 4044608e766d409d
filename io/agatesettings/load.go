package agatesettings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"agategate/internal/agatestrict"
)

// Problem is one error in the settings.
type Problem = agatestrict.Problem

// Problems lists all errors in the settings. It implements error.
type Problems = agatestrict.Problems

// Source holds the sources of settings. With the zero value, unset keys get their
// defaults and required keys without a default are reported as missing.
type Source struct {
	// File is the path of the file. No file is read if it is empty.
	File string
	// Read reads the file. The default is os.ReadFile.
	Read func(file string) ([]byte, error)
	// Environ is the environment in the format of os.Environ. Unknown
	// variables that begin with AGATEGATE_ are problems.
	Environ []string
	// Flags holds the text of the given flags, by key.
	Flags map[string]string
}

// origin is the place where a value was set.
type origin struct {
	file string
	line int
	key  string
}

type loader struct {
	file       string
	doc        *agatestrict.Document // nil without a file
	keys       []Key
	root       reflect.Value
	origins    map[string]origin // by key
	reported   map[string]bool   // keys and tables with a problem
	incomplete bool              // the file could not be read or parsed to its end
	problems   Problems
}

// Load reads settings from all sources. It returns either the settings or all
// problems found.
func Load[T Settings](src Source) (T, Problems) {
	var s T
	l := &loader{
		file:     src.File,
		keys:     Keys[T](),
		root:     reflect.ValueOf(&s).Elem(),
		origins:  make(map[string]origin),
		reported: make(map[string]bool),
	}
	l.loadDefaults()
	l.loadFile(src, &s)
	l.loadEnviron(src.Environ)
	l.loadFlags(src.Flags)
	if !l.incomplete {
		l.checkKeys()
		l.checkKind(any(&s))
	}
	l.sortProblems()
	if len(l.problems) > 0 {
		var none T
		return none, l.problems
	}
	return s, nil
}

func (l *loader) field(k Key) reflect.Value { return l.root.FieldByIndex(k.index) }

func (l *loader) addProblemAt(o origin, text string) {
	l.problems = append(l.problems, Problem{File: o.file, Line: o.line, Key: o.key, Text: text})
}

// addProblem reports a problem of a key at its origin, unless the key or its table
// already has one.
func (l *loader) addProblem(key, format string, args ...any) {
	table, _, _ := strings.Cut(key, ".")
	if l.reported[key] || l.reported[table] {
		return
	}
	l.reported[key] = true
	o, ok := l.origins[key]
	if !ok {
		o = l.expectedOrigin(key)
	}
	l.addProblemAt(o, fmt.Sprintf(format, args...))
}

// expectedOrigin returns the place where an unset key belongs: its table in the
// file, if there is a file.
func (l *loader) expectedOrigin(key string) origin {
	if l.doc == nil {
		return origin{file: "settings", key: key}
	}
	line := 1
	if table, _, ok := strings.Cut(key, "."); ok {
		line = max(1, l.doc.Line(table))
	}
	return origin{file: l.file, line: line, key: key}
}

// sortProblems orders the problems by source and line.
func (l *loader) sortProblems() {
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
		l.incomplete = true
		l.addProblemAt(origin{file: src.File}, fmt.Sprintf("cannot be read: %v", err))
		return
	}
	doc := agatestrict.Read(src.File, data)
	l.doc = doc
	l.incomplete = doc.Incomplete()
	doc.Decode(dst)
	for _, p := range doc.Problems() {
		l.problems = append(l.problems, p)
		key, _, _ := strings.Cut(p.Key, "[")
		l.reported[key] = true
	}
	for _, k := range l.keys {
		if line := doc.Line(k.Name); line > 0 {
			l.origins[k.Name] = origin{src.File, line, k.Name}
		}
	}
}

// operatorVariables are the variables of the operators' commands, which may also
// be set in the environment of a process.
var operatorVariables = []string{"AGATEGATE_CONTROL", "AGATEGATE_CA", "AGATEGATE_CERT", "AGATEGATE_KEY"}

func (l *loader) loadEnviron(environ []string) {
	for _, pair := range environ {
		name, text, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, envPrefix) || slices.Contains(operatorVariables, name) {
			continue
		}
		i := slices.IndexFunc(l.keys, func(k Key) bool { return k.Env() == name })
		o := origin{file: "environment", key: name}
		if i < 0 {
			l.addProblemAt(o, "is not a known variable")
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
	l.origins[k.Name] = o
	// A value of a later source is checked although an earlier one had a problem.
	l.reported[k.Name] = false
	if err := agatestrict.SetText(l.field(k), text, k.tag); err != nil {
		l.addProblem(k.Name, "%s", err.Error())
	}
}

func (l *loader) checkKeys() {
	for _, k := range l.keys {
		if k.Required && l.field(k).IsZero() {
			l.addProblem(k.Name, "is missing")
		}
		if list := k.tag.Get("oneof"); list != "" && !slices.Contains(strings.Split(list, ","), l.field(k).String()) {
			l.addProblem(k.Name, "must be one of %s, not %q", strings.ReplaceAll(list, ",", ", "), l.field(k).String())
		}
	}
}

// DetectKind returns the kind of a file by the keys that only that kind has:
// "entry", "control", "plan" or, for any other file, "inventory".
func DetectKind(data []byte) string {
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
