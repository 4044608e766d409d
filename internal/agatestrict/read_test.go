package agatestrict_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/internal/agatestrict"
)

type testDocument struct {
	At    agatestrict.Location
	Name  string         `toml:"name,required"`
	Count int            `toml:"count" min:"0"`
	Part  float64        `toml:"part" min:"0" max:"1"`
	Wait  time.Duration  `toml:"wait" min:"1ms"`
	Flag  bool           `toml:"flag"`
	Addr  netip.AddrPort `toml:"addr"`
	Words []string       `toml:"words"`
	Inner struct {
		Depth int `toml:"depth"`
	} `toml:"inner"`
	Item []struct {
		At agatestrict.Location
		ID string `toml:"id,required"`
	} `toml:"item"`
}

// Guards against values of any kind that are rejected or altered by decoding.
func TestDecodeAccepts(t *testing.T) {
	doc := agatestrict.Read("f.toml", []byte(`
name = "n"
count = 1_000
part = 1
wait = "1.5s"
flag = true
addr = "127.0.0.1:80"
words = ["a", 'b']
inner.depth = 0x10
[[item]]
id = "first"
[[item]]
id = """
second"""
`))
	var s testDocument
	doc.Decode(&s)
	assert.Equal(t, len(doc.Problems()), 0, doc.Problems().Error())
	assert.Equal(t, s.Name, "n")
	assert.Equal(t, s.Count, 1000)
	assert.Equal(t, s.Part, 1.0)
	assert.Equal(t, s.Wait, 1500*time.Millisecond)
	assert.Assert(t, s.Flag)
	assert.Equal(t, s.Addr.String(), "127.0.0.1:80")
	assert.DeepEqual(t, s.Words, []string{"a", "b"})
	assert.Equal(t, s.Inner.Depth, 16)
	assert.Equal(t, s.Item[1].ID, "second")
	assert.Equal(t, s.Item[1].At.Line(), 12)
}

// Guards against stopping at the first problem, and against problems with a
// wrong line or key.
func TestDecodeListsAllProblems(t *testing.T) {
	doc := agatestrict.Read("f.toml", []byte(`count = -1
part = nan
wait = "10"
flag = 1
addr = "localhost:80"
words = [1, "x", { a = 2 }]
colour = "red"
count = 2
when = 2026-01-01
[inner]
depth = 9999999999999999999
[inner]
[[item]]
[[item]]
id = 3
extra.deep = 1
`))
	var s testDocument
	doc.Decode(&s)
	var got []string
	for _, p := range doc.Problems() {
		text, _, _ := strings.Cut(p.String(), "; known")
		got = append(got, text)
	}
	assert.DeepEqual(t, got, []string{
		`f.toml:1: name: is missing`,
		`f.toml:1: count: must be at least 0, not -1`,
		`f.toml:2: part: must be a finite number, not nan`,
		`f.toml:3: wait: must be a string with a duration such as "1.5s", not "10"`,
		`f.toml:4: flag: must be true or false, not an integer`,
		`f.toml:5: addr: must be a string with an address such as "127.0.0.1:8080", not "localhost:80"`,
		`f.toml:6: words[0]: must be a string, not an integer`,
		`f.toml:6: words[2]: must be a string, not a table`,
		`f.toml:7: colour: is not a known key`,
		`f.toml:8: count: is already set on line 1`,
		`f.toml:9: when: is not a known key`,
		`f.toml:11: inner.depth: the integer 9999999999999999999 is out of range`,
		`f.toml:12: inner: is already set on line 10`,
		`f.toml:13: item[0].id: is missing`,
		`f.toml:15: item[1].id: must be a string, not an integer`,
		`f.toml:16: item[1].extra: is not a known key`,
	})
}

// Guards against documents that exhaust memory or the stack. Deep nesting must
// be rejected before the parser recurses into it, because a stack overflow ends
// the process and cannot be recovered. Also guards against a scanner that reads
// past an unterminated string, or counts brackets in strings and comments.
func TestReadRefusesWhatExceedsBounds(t *testing.T) {
	for name, text := range map[string]string{
		"lists":   "a = " + strings.Repeat("[", 1<<20),
		"tables":  "a = " + strings.Repeat("{a=", 1<<20),
		"dotted":  strings.Repeat("a.", 1<<20) + "a = 1",
		"header":  "[" + strings.Repeat("a.", 1<<20) + "a]",
		"quoted":  strings.Repeat(`"a".`, 1<<19) + "a = 1",
		"values":  "a = [" + strings.Repeat("1,", 1<<20) + "]",
		"keys":    strings.Repeat("[[a]]\n", 600_000),
		"size":    strings.Repeat("#", agatestrict.MaxBytes+1),
		"string":  `a = "x`,
		"escape":  `a = "\`,
		"literal": `a = '''x`,
	} {
		doc := agatestrict.Read("f.toml", []byte(text))
		assert.Assert(t, len(doc.Problems()) > 0, name)
		if name == "values" {
			assert.Equal(t, doc.Problems()[0].Line, 1, "the limit must be checked before the parser runs")
		}
	}
	brackets := `a = "` + strings.Repeat("[.", 100) + `" # ` + strings.Repeat("[", 100)
	assert.Equal(t, len(agatestrict.Read("f.toml", []byte(brackets)).Problems()), 0)
}

// Guards against problems that quote a long part of the document.
func TestProblemsAreShort(t *testing.T) {
	doc := agatestrict.Read("f.toml", []byte("name = 'n'\ncount = "+strings.Repeat("9", 1<<20)+"\n"+strings.Repeat("é", 1<<20)+" = 1"))
	var s testDocument
	doc.Decode(&s)
	for _, p := range doc.Problems() {
		assert.Assert(t, len(p.String()) < 1000, "%d", len(p.String()))
	}
}

// Guards against an unbounded list of problems, and against unlisted problems
// that are not counted.
func TestProblemsAreBounded(t *testing.T) {
	doc := agatestrict.Read("f.toml", []byte("name='n'\n"+strings.Repeat("[[item]]\n", 2000)))
	var s testDocument
	doc.Decode(&s)
	problems := doc.Problems()
	assert.Equal(t, len(problems), 1001)
	assert.Equal(t, problems[1000].Text, "1000 more problems are not listed")
}

// Guards against documents that only one of Read and the decoder of the TOML
// library accepts. Read implements the rules for duplicate keys and tables
// itself.
func TestTreeAgreesWithDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawDocument(t)
		var m map[string]any
		err := toml.Unmarshal([]byte(text), &m)
		problems := agatestrict.Read("f.toml", []byte(text)).Problems()
		assert.Equal(t, len(problems) > 0, err != nil, "%s\n%v\n%v", text, problems, err)
	})
}

func drawDocument(t *rapid.T) string {
	key := rapid.StringMatching(`[ab](\.[ab]){0,2}`)
	val := rapid.SampledFrom([]string{
		"1", `"x"`, "[1, 2]", "{}", "{ a = 1 }", "{ a.b = 1 }", "{ a = 1, a = 2 }",
		"{ a.b = 1, a.a = 2 }", "[{ a = 1 }, { a = 2 }]", "[", "true",
	})
	var b strings.Builder
	for range rapid.IntRange(1, 6).Draw(t, "lines") {
		switch rapid.IntRange(0, 3).Draw(t, "form") {
		case 0:
			fmt.Fprintf(&b, "[%s]\n", key.Draw(t, "key"))
		case 1:
			fmt.Fprintf(&b, "[[%s]]\n", key.Draw(t, "key"))
		default:
			fmt.Fprintf(&b, "%s = %s\n", key.Draw(t, "key"), val.Draw(t, "val"))
		}
	}
	return b.String()
}
