package docs_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/io/agatecli"
	"agategate/io/agatemetrics"
	"agategate/io/agatesettings"
)

// TestTables guards against tables of settings and metrics in OPERATIONS.md that
// differ from the code. The flag -update, which gotest.tools defines, rewrites
// them.
func TestTables(t *testing.T) {
	data, err := os.ReadFile("OPERATIONS.md")
	assert.NilError(t, err)
	page := string(data)
	want := replaceTable(t, page, "settings entry", settingsTable(agatesettings.Keys[agatesettings.Entry]()))
	want = replaceTable(t, want, "settings control", settingsTable(agatesettings.Keys[agatesettings.Control]()))
	want = replaceTable(t, want, "metrics", metricTable())
	if flag.Lookup("update").Value.String() == "true" {
		assert.NilError(t, os.WriteFile("OPERATIONS.md", []byte(want), 0o644))
		return
	}
	assert.Equal(t, page, want)
}

// replaceTable replaces the text between a marker and the next end marker.
func replaceTable(t *testing.T, page, marker, text string) string {
	t.Helper()
	before, rest, ok := strings.Cut(page, "<!-- "+marker+" -->\n")
	assert.Assert(t, ok, marker)
	_, after, ok := strings.Cut(rest, "<!-- end -->\n")
	assert.Assert(t, ok, marker)
	return before + "<!-- " + marker + " -->\n" + text + "<!-- end -->\n" + after
}

func settingsTable(keys []agatesettings.Key) string {
	var b strings.Builder
	b.WriteString("| key | type | default | unit | reload | meaning |\n|---|---|---|---|---|---|\n")
	for _, k := range keys {
		def, reload := k.Default, "restart"
		if k.Required {
			def = "needed"
		}
		if k.Reloadable {
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

// TestCommands guards against commands in README.md and OPERATIONS.md that fail as
// they are written. It runs those that need no running system.
func TestCommands(t *testing.T) {
	t.Chdir("..")
	ran := 0
	for _, page := range []string{"README.md", "docs/OPERATIONS.md"} {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for line := range strings.Lines(string(data)) {
			args := parseLocalCommand(line)
			if args == nil {
				continue
			}
			var out strings.Builder
			code := agatecli.Run(t.Context(), agatecli.Config{Stdout: &out, Stderr: &out}, args)
			assert.Equal(t, code, agatecli.ExitOK, "%s: %s%s", page, line, out.String())
			ran++
		}
	}
	// Guards against a parser that finds nothing.
	assert.Assert(t, ran >= 6, "found only %d commands", ran)
}

// parseLocalCommand returns the arguments of an indented command line that needs
// no running system, with file patterns expanded. It returns nil for other lines
// and for commands with placeholders, which are words in capitals.
func parseLocalCommand(line string) []string {
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

// remoteCommands lists the commands that need a running system.
var remoteCommands = []string{"apply", "show", "drain", "undrain", "status", "explain", "member"}

// TestRemoteCommands guards against commands in README.md and OPERATIONS.md that no
// test runs. The scenario test/testdata/pages.txt must run each command that needs
// a running system.
func TestRemoteCommands(t *testing.T) {
	data, err := os.ReadFile("../test/testdata/pages.txt")
	assert.NilError(t, err)
	var run [][]string
	for line := range strings.Lines(string(data)) {
		if words := strings.Fields(strings.TrimPrefix(line, "! ")); len(words) > 1 && words[0] == "operate" {
			run = append(run, words[1:])
		}
	}
	found := 0
	for _, page := range []string{"../README.md", "OPERATIONS.md"} {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for line := range strings.Lines(string(data)) {
			for _, code := range codeSnippets(line) {
				words := parseRemoteCommand(code)
				if words == nil {
					continue
				}
				found++
				covered := slices.ContainsFunc(run, func(r []string) bool { return slices.EqualFunc(words, r, matchesWord) })
				assert.Check(t, covered, "%s: %v is not run by pages.txt", page, words)
			}
		}
	}
	// Guards against a parser that finds nothing.
	assert.Assert(t, found >= 15, "found only %d commands", found)
}

// parseRemoteCommand returns the arguments of a command that needs a running
// system, or nil for other code. Two spaces start a description, which is left
// out. A command name without arguments is only a reference, except for "status"
// and "show".
func parseRemoteCommand(code string) []string {
	code, _, _ = strings.Cut(strings.TrimPrefix(strings.TrimSpace(code), "./"), "  ")
	words := strings.Fields(code)
	if len(words) < 2 || words[0] != "agategate" || !slices.Contains(remoteCommands, words[1]) {
		return nil
	}
	if len(words) == 2 && words[1] != "status" && words[1] != "show" {
		return nil
	}
	return words[1:]
}

// matchesWord reports whether a word of the scenario is an instance of a word of
// a page. On the page a word in capitals stands for any value; flags and numbers
// must be equal. Paths of inventory.toml match in any directory.
func matchesWord(page, run string) bool {
	return page == run || strings.ToUpper(page) == page && !strings.HasPrefix(page, "-") && strings.Trim(page, "0123456789.") != "" ||
		strings.HasSuffix(page, "inventory.toml") && strings.HasSuffix(run, "inventory.toml")
}

// TestLogLines guards against log messages that OPERATIONS.md does not explain.
// It finds the messages in the source code by the names of the log methods.
func TestLogLines(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	assert.NilError(t, err)
	logCall := regexp.MustCompile(`\.(?:Info|Warn|Error|placed)\("([^"]+)"`)
	found := 0
	err = filepath.WalkDir("../io", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range logCall.FindAllStringSubmatch(string(text), -1) {
			found++
			assert.Check(t, strings.Contains(string(page), "`"+m[1]+"`"), "%s: %q is not on the page", path, m[1])
		}
		return err
	})
	assert.NilError(t, err)
	// Guards against a parser that finds nothing.
	assert.Assert(t, found >= 30, "found only %d log messages", found)
}

// TestCommandsExist guards against commands and flags in README.md, OPERATIONS.md
// and api.md that the program does not have.
func TestCommandsExist(t *testing.T) {
	t.Chdir("..")
	seen := make(map[string]bool)
	for _, page := range []string{"README.md", "docs/OPERATIONS.md", "docs/api.md"} {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for line := range strings.Lines(string(data)) {
			for _, code := range codeSnippets(line) {
				checkCommand(t, code, seen)
			}
		}
	}
	// Guards against a parser that misses commands.
	assert.Assert(t, len(seen) == 15, "%v", seen)
}

// codeSnippets returns the code in a line of a page: the whole line if it is
// indented, otherwise the parts between backticks.
func codeSnippets(line string) []string {
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

// checkCommand checks that a command in code and its flags exist, and records the
// command in seen. It skips "help" and paths.
func checkCommand(t *testing.T, code string, seen map[string]bool) {
	t.Helper()
	words := strings.Fields(code)
	for len(words) > 0 && filepath.Base(words[0]) != "agategate" {
		words = words[1:]
	}
	if len(words) < 2 || words[1] == "help" || strings.Contains(words[1], "/") {
		return
	}
	help := commandHelp(t, words[1])
	for _, w := range words[2:] {
		if name, ok := strings.CutPrefix(w, "--"); ok {
			assert.Assert(t, strings.Contains(help, "--"+name), code)
		}
	}
	seen[words[1]] = true
}

func commandHelp(t *testing.T, command string) string {
	t.Helper()
	var out strings.Builder
	code := agatecli.Run(t.Context(), agatecli.Config{Stdout: &out, Stderr: &out}, []string{"help", command})
	assert.Equal(t, code, agatecli.ExitOK, "%s: %s", command, out.String())
	return out.String()
}
