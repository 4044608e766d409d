package docs_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/io/agatecli"
	"agategate/io/agatemetrics"
	"agategate/io/agatesettings"
)

// The tables of keys and metrics must be those of the code. The flag -update
// writes them.
func TestTables(t *testing.T) {
	data, err := os.ReadFile("operations.md")
	assert.NilError(t, err)
	page := string(data)
	want := replace(t, page, "settings entry", keyTable(agatesettings.Keys[agatesettings.Entry]()))
	want = replace(t, want, "settings control", keyTable(agatesettings.Keys[agatesettings.Control]()))
	want = replace(t, want, "metrics", metricTable())
	if flag.Lookup("update").Value.String() == "true" {
		assert.NilError(t, os.WriteFile("operations.md", []byte(want), 0o644))
		return
	}
	assert.Equal(t, page, want)
}

// replace sets the text between a marker and the next end marker.
func replace(t *testing.T, page, marker, text string) string {
	t.Helper()
	before, rest, ok := strings.Cut(page, "<!-- "+marker+" -->\n")
	assert.Assert(t, ok, marker)
	_, after, ok := strings.Cut(rest, "<!-- end -->\n")
	assert.Assert(t, ok, marker)
	return before + "<!-- " + marker + " -->\n" + text + "<!-- end -->\n" + after
}

func keyTable(keys []agatesettings.Key) string {
	var b strings.Builder
	b.WriteString("| key | type | default | unit | reload | meaning |\n|---|---|---|---|---|---|\n")
	for _, k := range keys {
		def, reload := k.Default, "restart"
		if k.Needed {
			def = "needed"
		}
		if k.Reload {
			reload = "reload"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.Type, def, k.Unit, reload, k.Help)
	}
	return b.String()
}

func metricTable() string {
	var b strings.Builder
	b.WriteString("| name | process | kind | label | unit | meaning |\n|---|---|---|---|---|---|\n")
	for _, m := range agatemetrics.Metrics {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", m.Name, m.Role, m.Kind, m.Label, m.Unit, m.Help)
	}
	return b.String()
}

// Commands on the pages that need no running system must work as they are
// written.
func TestCommands(t *testing.T) {
	t.Chdir("..")
	ran := 0
	for _, page := range []string{"README.md", "docs/operations.md"} {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for line := range strings.Lines(string(data)) {
			args := commandOf(line)
			if args == nil {
				continue
			}
			var out strings.Builder
			code := agatecli.Run(t.Context(), agatecli.Config{Stdout: &out, Stderr: &out}, args)
			assert.Equal(t, code, agatecli.ExitOK, "%s: %s%s", page, line, out.String())
			ran++
		}
	}
	assert.Assert(t, ran >= 6, "only %d commands were found", ran)
}

// commandOf returns the arguments of an indented line that can be run without
// a system. Words in capitals stand for values.
func commandOf(line string) []string {
	if !strings.HasPrefix(line, "    ") {
		return nil
	}
	words := strings.Fields(strings.TrimPrefix(strings.TrimSpace(line), "./"))
	if len(words) < 2 || words[0] != "agategate" {
		return nil
	}
	if words[1] != "check" && words[1] != "version" && words[1] != "help" {
		return nil
	}
	var args []string
	for _, w := range words[1:] {
		if strings.ToUpper(w) == w {
			return nil
		}
		files, err := filepath.Glob(w)
		if err != nil || len(files) == 0 {
			files = []string{w}
		}
		args = append(args, files...)
	}
	return args
}

// Every command that the pages name must exist, with the flags that are shown.
func TestCommandsExist(t *testing.T) {
	t.Chdir("..")
	seen := make(map[string]bool)
	for _, page := range []string{"README.md", "docs/operations.md", "docs/api.md"} {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for line := range strings.Lines(string(data)) {
			for _, code := range codeOf(line) {
				checkCommand(t, code, seen)
			}
		}
	}
	assert.Assert(t, len(seen) == 12, "%v", seen)
}

// codeOf returns the code in a line of a page: an indented line, or what is
// between backticks.
func codeOf(line string) []string {
	if strings.HasPrefix(line, "    ") {
		return []string{line}
	}
	var list []string
	for i, part := range strings.Split(line, "`") {
		if i%2 == 1 {
			list = append(list, part)
		}
	}
	return list
}

func checkCommand(t *testing.T, code string, seen map[string]bool) {
	t.Helper()
	words := strings.Fields(code)
	for len(words) > 0 && filepath.Base(words[0]) != "agategate" {
		words = words[1:]
	}
	if len(words) < 2 || words[1] == "help" || strings.Contains(words[1], "/") {
		return
	}
	help := helpOf(t, words[1])
	for _, w := range words[2:] {
		if name, ok := strings.CutPrefix(w, "--"); ok {
			assert.Assert(t, strings.Contains(help, "--"+name), code)
		}
	}
	seen[words[1]] = true
}

func helpOf(t *testing.T, command string) string {
	t.Helper()
	var out strings.Builder
	code := agatecli.Run(t.Context(), agatecli.Config{Stdout: &out, Stderr: &out}, []string{"help", command})
	assert.Equal(t, code, agatecli.ExitOK, "%s: %s", command, out.String())
	return out.String()
}
