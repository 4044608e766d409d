package agateplan_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agateplan"
)

// Guards against entries without effect that nobody is warned of. In a plan in
// testdata/lint, "# warned: KEY: TEXT" states that a warning with this key and beginning
// of its text is expected, on that line if it has an entry.
func TestLint(t *testing.T) {
	files, err := filepath.Glob("testdata/lint/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 1)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			_, warnings, problems := agateplan.Lint("plan.toml", data)
			assert.Equal(t, len(problems), 0, "%v", problems)
			var got []string
			for _, w := range warnings {
				got = append(got, w.String())
			}
			want := expectedWarnings(string(data))
			assert.Equal(t, len(got), len(want), "%s", strings.Join(got, "\n"))
			for _, w := range want {
				found := slices.ContainsFunc(got, func(s string) bool { return strings.Contains(s, w) })
				assert.Check(t, found, "%q is missing in\n%s", w, strings.Join(got, "\n"))
			}
		})
	}
}

// expectedWarnings returns ":LINE: KEY: TEXT", or "KEY: TEXT" where a line has only the
// expectation.
func expectedWarnings(text string) (list []string) {
	n := 0
	for line := range strings.Lines(text) {
		n++
		entry, want, ok := strings.Cut(line, "# warned: ")
		want = strings.TrimSpace(want)
		switch {
		case !ok:
		case entry == "":
			list = append(list, want)
		default:
			list = append(list, fmt.Sprintf(":%d: %s", n, want))
		}
	}
	return list
}

// Guards against warnings about the sample that operators start from.
func TestSampleHasNoWarnings(t *testing.T) {
	data, err := os.ReadFile("../../samples/plan.toml")
	assert.NilError(t, err)
	_, warnings, problems := agateplan.Lint("plan.toml", data)
	assert.Equal(t, len(warnings)+len(problems), 0, "%v %v", warnings, problems)
}

// Guards against changes between two plans that are not told, and against keys that are.
func TestDiff(t *testing.T) {
	read := func(name string) *agateplan.Plan {
		data, err := os.ReadFile("testdata/diff/" + name)
		assert.NilError(t, err)
		p, problems := agateplan.Parse(name, data)
		assert.Equal(t, len(problems), 0, "%v", problems)
		return p
	}
	changes := agateplan.Diff(read("old.toml"), read("new.toml"))
	want, err := os.ReadFile("testdata/diff/changes.txt")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(changes, "\n"), strings.TrimSpace(string(want)))
	assert.Assert(t, !strings.Contains(strings.Join(changes, "\n"), "key-"))
	assert.Equal(t, len(agateplan.Diff(read("old.toml"), read("old.toml"))), 0)
}
