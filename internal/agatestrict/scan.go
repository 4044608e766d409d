package agatestrict

import "bytes"

// Limits of a document. The parser recurses for each level of nesting and for
// each part of a dotted key, so without a limit a document of brackets could
// overflow the stack, which ends the process.
const (
	// MaxBytes is the largest size of a document.
	MaxBytes = 4 << 20
	// maxDepth is the deepest nesting of lists and inline tables.
	maxDepth = 16
	// maxKeyParts is the largest number of parts of a dotted key.
	maxKeyParts = 16
	// maxValues limits the number of keys and list elements in a document.
	maxValues = 500_000
)

// scanner scans the tokens that are relevant to the limits. It does not check
// the syntax; the parser does that afterwards.
type scanner struct {
	data   []byte
	pos    int
	depth  int
	dots   int
	commas int
}

// checkLimits returns the offset at which a document exceeds a limit and the
// reason. The reason is empty if no limit is exceeded.
func checkLimits(data []byte) (offset int, reason string) {
	s := scanner{data: data}
	for s.pos < len(s.data) {
		if reason := s.scanToken(); reason != "" {
			return s.pos, reason
		}
	}
	return 0, ""
}

func (s *scanner) scanToken() string {
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
	if s.dots >= maxKeyParts {
		return "a dotted key has too many parts"
	}
	if s.commas > maxValues {
		return "the document has too many values"
	}
	s.pos++
	return ""
}

func (s *scanner) skipTo(delim byte) {
	n := bytes.IndexByte(s.data[s.pos:], delim)
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
		s.skipPastStringEnd(quote, true)
		return
	}
	s.pos++
	s.skipPastStringEnd(quote, false)
}

// skipPastStringEnd advances past the end of a string. A single-line string also
// ends at the end of the line, which the parser reports as an error.
func (s *scanner) skipPastStringEnd(quote byte, multiline bool) {
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
