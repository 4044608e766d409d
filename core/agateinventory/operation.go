package agateinventory

import (
	"errors"
	"strings"
)

// String returns the operation in the format of the document, such as
// "GET /labels/*".
func (o Operation) String() string { return o.Method + " " + o.Path }

// MarshalText returns String.
func (o Operation) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses an operation in the format of the document: a method in
// capitals, one space, and a path that is exact or ends in "/*".
func (o *Operation) UnmarshalText(text []byte) error {
	method, path, ok := strings.Cut(string(text), " ")
	if !ok || method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
		return errors.New(`must be a method in capitals and a path, such as "GET /labels/*"`)
	}
	if !strings.HasPrefix(path, "/") {
		return errors.New(`needs a path that begins with "/", such as "GET /labels/*"`)
	}
	if strings.ContainsFunc(path, isInvalidInPath) {
		return errors.New("has a path with spaces, control characters, a query or a fragment")
	}
	base, wildcard := strings.CutSuffix(path, "/*")
	if strings.Contains(base, "*") || !wildcard && strings.HasSuffix(path, "*") {
		return errors.New(`may have "*" only at the end, after a "/"`)
	}
	*o = Operation{Method: method, Path: path}
	return nil
}

func isInvalidInPath(r rune) bool {
	return r <= ' ' || r == 0x7f || r == '?' || r == '#'
}

// covers reports whether o matches everything that other matches.
func (o Operation) covers(other Operation) bool {
	if o.Method != other.Method {
		return false
	}
	prefix, wildcard := strings.CutSuffix(o.Path, "*")
	if !wildcard {
		return o.Path == other.Path
	}
	return strings.HasPrefix(strings.TrimSuffix(other.Path, "*"), prefix)
}
