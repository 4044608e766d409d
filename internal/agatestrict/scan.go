package agatestrict

import "bytes"

// Bounds of a document. The parser recurses for each level of nesting and for
// each part of a dotted key, so a document of brackets could otherwise
// overflow the stack, which ends the process.
const (
	// MaxBytes is the largest document.
	MaxBytes = 4 << 20
	// maxDepth is the deepest nesting of lists and inline tables.
	maxDepth = 16
	// maxParts is the largest number of parts of a dotted key.
	maxParts = 16
	// maxValues bounds the keys and list elements of one document.
	maxValues = 500_000
)

// scanner walks over the tokens that matter for the bounds. It does not check
// the syntax; the parser does that afterwards.
type scanner struct {
	data   []byte
	pos    int
	depth  int
	dots   int
	commas int
}

// checkBounds returns the offset at which a document exceeds a bound and the
// reason, or an empty reason.
func checkBounds(data []byte) (offset int, reason string) {
	s := scanner{data: data}
	for s.pos < len(s.data) {
		if reason := s.next(); reason != "" {
			return s.pos, reason
		}
	}
	return 0, ""
}

func (s *scanner) next() string {
	c := s.data[s.pos]
	switch c {
	case '#':
		s.skipTo('\n')
		return ""
	case '"', '\'':
		s.skipString(c)
		return ""
	case '.':
		s.dots++
	case '[', '{':
		s.depth++
		s.dots = 0
	case ']', '}':
		s.depth = max(0, s.depth-1)
		s.dots = 0
	case ',':
		s.commas++
		s.dots = 0
	case '=', '\n':
		s.dots = 0
	}
	if s.depth > maxDepth {
		return "lists and tables are nested too deeply"
	}
	if s.dots >= maxParts {
		return "a dotted key has too many parts"
	}
	if s.commas > maxValues {
		return "the document has too many values"
	}
	s.pos++
	return ""
}

func (s *scanner) skipTo(end byte) {
	n := bytes.IndexByte(s.data[s.pos:], end)
	if n < 0 {
		s.pos = len(s.data)
		return
	}
	s.pos += n
}

func (s *scanner) skipString(quote byte) {
	triple := []byte{quote, quote, quote}
	if bytes.HasPrefix(s.data[s.pos:], triple) {
		s.pos += 3
		s.skipPast(quote, true)
		return
	}
	s.pos++
	s.skipPast(quote, false)
}

// skipPast moves behind the end of a string. A string on one line also ends
// at the line's end; the parser reports that as an error.
func (s *scanner) skipPast(quote byte, multiline bool) {
	triple := []byte{quote, quote, quote}
	for s.pos < len(s.data) {
		c := s.data[s.pos]
		switch {
		case c == '\\' && quote == '"':
			s.pos++
		case c == '\n' && !multiline:
			return
		case c == quote && !multiline:
			s.pos++
			return
		case c == quote && bytes.HasPrefix(s.data[s.pos:], triple):
			s.pos += 3
			for s.pos < len(s.data) && s.data[s.pos] == quote {
				s.pos++
			}
			return
		}
		s.pos++
	}
}
