package agateanswer_test

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agategate/internal/agateanswer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.checks", "20000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// grammar matches the heads of the interim responses and of the final one, and what
// follows them.
var grammar = regexp.MustCompile(`(?s)^(?:` + headGrammar(`1(?:0[02-9]|[1-9]\d)`) + `)*` + headGrammar(`(?:101|[2-5]\d\d)`))

func headGrammar(status string) string {
	return `HTTP/1\.\d ` + status + `(?: [\t\x20-\x7e\x80-\xff]*)?\r?\n` +
		"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t\\x20-\\x7e\\x80-\\xff]*\\r?\\n)*\\r?\\n"
}

// piece draws a part of a response: mostly what may follow, so that many heads are whole.
var piece = rapid.SampledFrom([]string{
	"HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early\r\n", "HTTP/1.0 404\n", "HTTP/1.1 101 x\r\n", "HTTP/1.1 000 x\r\n", "HTTP/1.1 600 x\r\n", "HTTP/2.0 200 OK\r\n",
	"X-Note: 1\r\n", "X-Note:2\n", "X Note: 1\r\n", "X-Note : 1\r\n", " X-Note: 1\r\n", "X-N\x01ote: 1\r\n", ": 1\r\n", "X-Note: \xe9\t~\r\n", "X-Note: \x7f\r\n",
	"Content-Lengthy: 5\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r", "body", "",
})

// Guards against heads that are accepted or refused against the grammar of HTTP/1.1, with
// a regular expression as the oracle, and against a result that depends on how the bytes
// are divided as they arrive.
func TestHeadFollowsGrammar(t *testing.T) {
	wholeHeads := 0
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte("HTTP/1.1 200 OK\r\n" + strings.Join(rapid.SliceOfN(piece, 0, 8).Draw(t, "pieces"), ""))
		if rapid.IntRange(0, 3).Draw(t, "other start") == 0 {
			raw = []byte(strings.Join(rapid.SliceOfN(piece, 1, 8).Draw(t, "pieces"), ""))
		}
		n, err := checkInParts(t, raw)
		whole := grammar.Find(latin1(raw))
		switch {
		case whole != nil:
			wholeHeads++
			assert.NilError(t, err, "%q", raw)
			assert.Equal(t, n, len(raw))
		case err == nil:
			// What is missing may still come: the shortest end of a line and of the head.
			assert.Assert(t, continues(raw), "%q", raw)
		default:
			assert.Assert(t, errors.Is(err, agateanswer.ErrMalformed))
			assert.Assert(t, !continues(raw[:n+1]), "%q refused at %d", raw, n)
		}
	})
	assert.Assert(t, wholeHeads > 1000, "only %d heads were whole", wholeHeads)
}

// latin1 returns the bytes as characters of UTF-8, which the regular expression matches.
func latin1(raw []byte) []byte {
	var b []rune
	for _, c := range raw {
		b = append(b, rune(c))
	}
	return []byte(string(b))
}

// checkInParts passes the bytes on in parts of random sizes.
func checkInParts(t *rapid.T, raw []byte) (int, error) {
	var head agateanswer.Head
	n := 0
	for n < len(raw) {
		size := rapid.IntRange(1, len(raw)-n).Draw(t, "size")
		k, err := head.Check(raw[n : n+size])
		n += k
		assert.Assert(t, head.Size() <= int64(n))
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// continues reports whether some bytes behind raw make a whole head.
func continues(raw []byte) bool {
	const status = "HTTP/1.1 200"
	ends := []string{"\n\n", "\n", ":\n\n", "x:\n\n", "0\n\n", "00\n\n", "1 200\n\n", " 200\n\n", "200\n\n", "\n" + status + "\n\n", "\n\n" + status + "\n\n", ":\n\n" + status + "\n\n", "0\n\n" + status + "\n\n", "00\n\n" + status + "\n\n", status + "\n\n"}
	for i := range status {
		ends = append(ends, status[i:]+"\n\n")
	}
	for _, end := range ends {
		if grammar.Match(latin1(append(bytes.Clone(raw), end...))) {
			return true
		}
	}
	return false
}

// Guards against heads that are accepted here, and that net/http reads with names that
// cannot be sent.
func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 1\r\n\r\na"))
	f.Add([]byte("HTTP/1.1 000 x\r\nContent-Length : 1\r\n\r\na"))
	f.Add([]byte("HTTP/1.1 103 x\r\nX: 1\r\n y\r\n\r\nHTTP/1.1 200\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var head agateanswer.Head
		if _, err := head.Check(raw); err != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil {
			return
		}
		assert.NilError(t, agateanswer.CheckStatus(resp.StatusCode))
		assert.NilError(t, agateanswer.CheckTrailer(resp.Header))
	})
}
