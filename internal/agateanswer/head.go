// Package agateanswer checks that the bytes which arrive in answer to a request can be an
// HTTP/1.1 response. Parsers of responses are lenient: they pass on fields whose names no
// sender may use, guess the end of a body, take any three digits for a status, and wait for
// the end of a line that already cannot be one.
//
// # Usage
//
// The reader of a connection passes each part that it reads to a Head:
//
//	n, err := conn.Read(b)
//	if n, headErr := head.Check(b[:n]); headErr != nil {
//		return n, headErr // close the connection; the request may have run
//	}
//
// Clients of net/http use a Transport:
//
//	client := &http.Client{Transport: agateanswer.NewTransport(agateanswer.TransportConfig{})}
package agateanswer

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed is wrapped by the errors for bytes that no HTTP/1.1 response has.
var ErrMalformed = errors.New("agateanswer: not an HTTP/1.1 response")

// versionPrefix is what precedes the minor version in a status line.
const versionPrefix = "HTTP/1."

// Statuses outside of these cannot be sent.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an error if a status cannot be sent.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return nil
}

// CheckTrailer returns an error if a trailer has a field name that cannot be sent.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		for i := range len(name) {
			if !isToken(name[i]) {
				return fmt.Errorf("%w: trailer %q", ErrMalformed, name)
			}
		}
	}
	return nil
}

// headState is the part of a head to which the next byte belongs.
type headState uint8

const (
	inVersion headState = iota // "HTTP/1." and the blank behind the minor version
	inStatus                   // the three digits of the status
	afterCode                  // a blank, or the end of a status line without a reason
	inReason                   // the reason phrase
	lineStart                  // the first byte of a field, or the end of the head
	inName                     // the name of a field
	inValue                    // the value of a field
	lineEnd                    // the line feed behind a carriage return
	headEnd                    // the line feed of the empty line
	complete                   // the body
)

// Names of the fields that determine where a body ends, in lower case.
const (
	nameLength   = "content-length"
	nameEncoding = "transfer-encoding"
)

// Head checks the head of the response to one request while it arrives, and those of the
// interim (1xx) responses before it. The zero value is ready to use.
type Head struct {
	state   headState
	n       int // bytes of the current part
	minor   byte
	status  int
	length  bool // there is a Content-Length
	encoded bool // there is a Transfer-Encoding
	// name is the beginning of the name of the current field, in lower case.
	name [len(nameEncoding)]byte
	// size and fields count over all heads.
	size   int64
	fields int64
}

// Size returns the number of bytes that belong to heads.
func (h *Head) Size() int64 { return h.size }

// Fields returns the number of fields, also of those that are still arriving.
func (h *Head) Fields() int64 { return h.fields }

// Check checks the next bytes that arrive. If a response cannot have one of them, it
// returns the number of those before it and an error that wraps ErrMalformed, and must not
// be called again. Bytes behind the head of the final response are not checked.
func (h *Head) Check(b []byte) (int, error) {
	for i, c := range b {
		if h.state == complete {
			break
		}
		if !h.next(c) {
			return i, fmt.Errorf("%w: byte %#02x in its head", ErrMalformed, c)
		}
		h.size++
	}
	return len(b), nil
}

// next reports whether the head may continue with c.
func (h *Head) next(c byte) bool {
	switch h.state {
	case inVersion:
		return h.nextOfVersion(c)
	case inStatus:
		return h.nextOfStatus(c)
	case afterCode:
		if c == ' ' {
			return h.enter(inReason)
		}
		return h.nextOfLineEnd(c)
	case lineStart:
		return h.nextOfLineStart(c)
	case inName:
		return h.nextOfName(c)
	case inReason, inValue:
		return isText(c) || h.nextOfLineEnd(c)
	case lineEnd:
		return c == '\n' && h.enter(lineStart)
	case headEnd:
		return c == '\n' && h.end()
	case complete:
	}
	return true
}

// enter begins a part of the head. It returns true.
func (h *Head) enter(s headState) bool {
	h.state, h.n = s, 0
	return true
}

func (h *Head) nextOfVersion(c byte) bool {
	i := h.n
	h.n++
	switch {
	case i < len(versionPrefix):
		return c == versionPrefix[i]
	case i == len(versionPrefix):
		h.minor = c
		return isDigit(c)
	default:
		h.status = 0
		return c == ' ' && h.enter(inStatus)
	}
}

func (h *Head) nextOfStatus(c byte) bool {
	if !isDigit(c) {
		return false
	}
	h.status = h.status*10 + int(c-'0')
	if h.n++; h.n < 3 {
		return true
	}
	return CheckStatus(h.status) == nil && h.enter(afterCode)
}

// nextOfLineEnd takes the end of a line. A line may end without a carriage return.
func (h *Head) nextOfLineEnd(c byte) bool {
	switch c {
	case '\r':
		return h.enter(lineEnd)
	case '\n':
		return h.enter(lineStart)
	}
	return false
}

// nextOfLineStart takes the first byte of a line. One that begins with a blank is refused:
// it may continue the line before it, which no sender may do, or be a field of its own.
func (h *Head) nextOfLineStart(c byte) bool {
	switch c {
	case '\r':
		return h.enter(headEnd)
	case '\n':
		return h.end()
	case ':':
		return false
	}
	h.fields++
	h.enter(inName)
	return h.nextOfName(c)
}

func (h *Head) nextOfName(c byte) bool {
	if c == ':' {
		return h.endName() && h.enter(inValue)
	}
	if h.n < len(h.name) {
		h.name[h.n] = toLower(c)
	}
	h.n++
	return isToken(c)
}

// endName reports whether the framing is still unambiguous behind a field's name: a
// response has a length or an encoding, and HTTP/1.0 knows no encodings.
func (h *Head) endName() bool {
	name := h.name[:min(h.n, len(h.name))]
	h.length = h.length || bytes.Equal(name, []byte(nameLength))
	h.encoded = h.encoded || h.n == len(nameEncoding) && bytes.Equal(name, []byte(nameEncoding))
	return !h.encoded || !h.length && h.minor != '0'
}

// end ends a head. Another one follows that of an interim response. It returns true.
func (h *Head) end() bool {
	if h.status >= http.StatusOK || h.status == http.StatusSwitchingProtocols {
		return h.enter(complete)
	}
	*h = Head{size: h.size, fields: h.fields}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether c may occur in a value or a reason phrase.
func isText(c byte) bool { return c == '\t' || c >= ' ' && c != 0x7f }

// isToken reports whether c may occur in the name of a field.
func isToken(c byte) bool { return tokens[c] }

// tokens has the bytes that may occur in the name of a field.
var tokens = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}
