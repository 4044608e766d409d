package agateplan_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"agategate/core/agateplan"
)

// Guards against invalid plans that are accepted, and against plans that change
// in a round trip through Format. A document with "# refused: LINE: KEY: TEXT"
// lines must be rejected with exactly these problems; the text may be a prefix.
// Any other document must be accepted and survive the round trip.
func TestDocuments(t *testing.T) {
	files, err := filepath.Glob("testdata/plans/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 1)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".toml"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			want := expectedProblems(string(data))
			p, problems := agateplan.Parse("plan.toml", data)
			var got []string
			for _, problem := range problems {
				got = append(got, problem.String())
			}
			assert.Equal(t, len(got), len(want), "%v", got)
			for i := range want {
				assert.Assert(t, strings.HasPrefix(got[i], "plan.toml:"+want[i]), "%q", got[i])
			}
			if len(want) == 0 {
				checkRoundTrip(t, p)
			}
		})
	}
}

func expectedProblems(text string) []string {
	var list []string
	for line := range strings.Lines(text) {
		if want, ok := strings.CutPrefix(line, "# refused: "); ok {
			list = append(list, strings.TrimSpace(want))
		}
	}
	return list
}

func checkRoundTrip(t *testing.T, p *agateplan.Plan) {
	t.Helper()
	assert.NilError(t, p.Check())
	text, err := agateplan.Format(p)
	assert.NilError(t, err)
	parsed, problems := agateplan.Parse("again.toml", text)
	assert.Equal(t, len(problems), 0, "%v in\n%s", problems, text)
	assert.DeepEqual(t, parsed, p)
}

// Guards against a document that crashes the parser, and against an accepted one
// that changes in a round trip through Format.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/plans/*.toml")
	assert.NilError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, problems := agateplan.Parse("plan.toml", data); len(problems) == 0 {
			checkRoundTrip(t, p)
		}
	})
}
