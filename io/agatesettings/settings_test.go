package agatesettings_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"agategate/io/agatesettings"
)

// Guards against wrong precedence, defaults and problems. Each script contains the
// sources of the settings and the expected values or problems, which the flag
// -update (package gotest.tools) rewrites.
func TestLoad(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			ar, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			var got string
			kind, _, _ := strings.Cut(filepath.Base(file), "-")
			switch kind {
			case "entry":
				got = load[agatesettings.Entry](ar)
			case "control":
				got = load[agatesettings.Control](ar)
			case "adapted":
				got = load[agatesettings.AdapterSettings](ar)
			default:
				t.Fatalf("%s is of no known kind", file)
			}
			want := &ar.Files[len(ar.Files)-1]
			if flag.Lookup("update").Value.String() == "true" {
				want.Data = []byte(got)
				assert.NilError(t, os.WriteFile(file, txtar.Format(ar), 0o644))
			}
			assert.Equal(t, got, string(want.Data))
		})
	}
}

// load returns the problems or, if there are none, the values of the keys listed
// in the script.
func load[T agatesettings.Settings](ar *txtar.Archive) string {
	parts := make(map[string]string)
	for _, f := range ar.Files {
		parts[f.Name] = string(f.Data)
	}
	src := agatesettings.Source{Environ: strings.Split(parts["environ"], "\n"), Flags: make(map[string]string)}
	if text, ok := parts["settings.toml"]; ok {
		src.File = "settings.toml"
		src.Read = func(string) ([]byte, error) { return []byte(text), nil }
	}
	for line := range strings.Lines(parts["flags"]) {
		key, val, _ := strings.Cut(strings.TrimSpace(line), "=")
		src.Flags[key] = val
	}
	s, problems := agatesettings.Load[T](src)
	if len(problems) > 0 {
		return problems.Error() + "\n"
	}
	var b strings.Builder
	for line := range strings.Lines(parts["want"]) {
		key, _, _ := strings.Cut(line, " ")
		fmt.Fprintf(&b, "%s = %v\n", key, valueOf(reflect.ValueOf(s), key))
	}
	return b.String()
}

func valueOf(v reflect.Value, key string) any {
	for part := range strings.SplitSeq(key, ".") {
		v = v.FieldByNameFunc(func(name string) bool { return strings.EqualFold(name, part) })
	}
	return v.Interface()
}

// Guards against keys without help text and against keys that cannot be set by a
// flag.
func TestKeysAreDescribed(t *testing.T) {
	keys := append(agatesettings.Keys[agatesettings.Entry](), agatesettings.Keys[agatesettings.Control]()...)
	for _, k := range keys {
		assert.Assert(t, k.Help != "", k.Name)
		for part := range strings.SplitSeq(k.Name, ".") {
			assert.Equal(t, strings.Trim(part, "abcdefghijklmnopqrstuvwxyz"), "", k.Name)
		}
	}
	fs := flag.NewFlagSet("entry", flag.ContinueOnError)
	flags := agatesettings.Register[agatesettings.Entry](fs)
	assert.NilError(t, fs.Parse([]string{"--log.level", "debug", "--tls.insecure", "--limit.queue=3"}))
	assert.DeepEqual(t, flags.Values(), map[string]string{"log.level": "debug", "tls.insecure": "true", "limit.queue": "3"})
}

// Guards against reporting or merging a change that needs a restart as applied.
func TestReload(t *testing.T) {
	a := agatesettings.Entry{Name: "a"}
	b := a
	b.Name, b.Grace, b.Log.Level, b.Log.Format = "b", time.Second, "debug", "json"
	applied, restart := agatesettings.ChangedKeys(a, b)
	assert.DeepEqual(t, applied, []string{"grace", "log.level"})
	assert.DeepEqual(t, restart, []string{"name", "log.format"})
	merged := agatesettings.Merge(a, b)
	assert.Equal(t, merged.Name, "a")
	assert.Equal(t, merged.Log.Level, "debug")
	applied, restart = agatesettings.ChangedKeys(b, b)
	assert.Equal(t, len(applied)+len(restart), 0)
}

// Guards against a panic or silent defaults if the file cannot be read.
func TestLoadMissingFile(t *testing.T) {
	_, problems := agatesettings.Load[agatesettings.Entry](agatesettings.Source{File: filepath.Join(t.TempDir(), "none.toml")})
	assert.Equal(t, len(problems), 1)
	assert.Assert(t, strings.Contains(problems[0].Text, "cannot be read"))
}

// Guards against a TLS configuration despite insecure = true, and against accepting
// unreadable certificate files.
func TestTLSConfig(t *testing.T) {
	_, err := agatesettings.TLS{Insecure: true}.Config()
	assert.ErrorIs(t, err, agatesettings.ErrInsecure)
	_, err = agatesettings.TLS{Cert: "none", Key: "none", CA: "none"}.Config()
	assert.ErrorContains(t, err, "certificate")
}
