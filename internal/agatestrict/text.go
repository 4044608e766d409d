package agatestrict

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	addrPortType = reflect.TypeFor[netip.AddrPort]()
	prefixType   = reflect.TypeFor[netip.Prefix]()
)

// isTextType reports whether a value is decoded from a string: a duration or an
// encoding.TextUnmarshaler.
func isTextType(dst reflect.Value) bool {
	if dst.Type() == durationType {
		return true
	}
	_, ok := dst.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func acceptsKind(dst reflect.Value, k kind) bool {
	if isTextType(dst) {
		return k == kindString
	}
	switch dst.Kind() {
	case reflect.String:
		return k == kindString
	case reflect.Bool:
		return k == kindBool
	case reflect.Float64:
		return k == kindInteger || k == kindFloat
	case reflect.Int, reflect.Int64:
		return k == kindInteger
	}
	return false
}

// describeType returns the description of a type in messages to operators.
func describeType(dst reflect.Value) string {
	switch dst.Type() {
	case durationType:
		return `a string with a duration such as "1.5s"`
	case addrPortType:
		return `a string with an address such as "127.0.0.1:8080"`
	case prefixType:
		return `a string with a prefix such as "10.0.0.0/8"`
	}
	if isTextType(dst) {
		return "a string"
	}
	switch dst.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Slice:
		return "a list"
	}
	return "a string"
}

// SetText sets a value from the text of a flag or an environment variable.
// Elements of a list are separated by commas. The tags "min" and "max" limit
// numbers and durations.
func SetText(dst reflect.Value, text string, tag reflect.StructTag) error {
	if isTextType(dst) || dst.Kind() != reflect.Slice {
		return setScalar(dst, text, tag)
	}
	var parts []string
	if text != "" {
		parts = strings.Split(text, ",")
	}
	list := reflect.MakeSlice(dst.Type(), len(parts), len(parts))
	for i, part := range parts {
		if err := SetText(list.Index(i), strings.TrimSpace(part), tag); err != nil {
			return err
		}
	}
	dst.Set(list)
	return nil
}

func setScalar(dst reflect.Value, text string, tag reflect.StructTag) error {
	if dst.Type() == durationType {
		return setDuration(dst, text, tag)
	}
	if u, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(text)); err != nil || text == "" {
			dst.SetZero()
			return textError(dst, text, err)
		}
		return nil
	}
	switch dst.Kind() {
	case reflect.String:
		dst.SetString(text)
		return nil
	case reflect.Bool:
		if text != "true" && text != "false" {
			return fmt.Errorf("must be true or false, not %q", text)
		}
		dst.SetBool(text == "true")
		return nil
	case reflect.Float64:
		return setFloat(dst, text, tag)
	case reflect.Int, reflect.Int64:
		return setInt(dst, text, tag)
	}
	return fmt.Errorf("agatestrict: type %s is not supported", dst.Type())
}

// textError returns an error that describes the expected type, or nil if err is
// nil and the text is not empty. Errors of types of this module are returned
// unchanged, because they describe the expected value themselves.
func textError(dst reflect.Value, text string, err error) error {
	if err == nil && text != "" {
		return nil
	}
	t := dst.Type()
	if err != nil && strings.HasPrefix(t.PkgPath(), "agategate/") {
		return err
	}
	return fmt.Errorf("must be %s, not %q", describeType(dst), text)
}

func setDuration(dst reflect.Value, text string, tag reflect.StructTag) error {
	n, err := time.ParseDuration(text)
	if err != nil {
		return textError(dst, text, err)
	}
	for _, b := range boundsOf(tag) {
		limit, err := time.ParseDuration(b.limit)
		if err == nil && (b.isMin && n < limit || !b.isMin && n > limit) {
			return fmt.Errorf("must be %s %s, not %s", b.relation(), b.limit, text)
		}
	}
	dst.SetInt(int64(n))
	return nil
}

func setFloat(dst reflect.Value, text string, tag reflect.StructTag) error {
	n, err := parseFloat(text)
	if err != nil {
		return textError(dst, text, err)
	}
	if math.IsNaN(n) || math.IsInf(n, 0) {
		return fmt.Errorf("must be a finite number, not %s", text)
	}
	if err := checkRange(n, text, tag); err != nil {
		return err
	}
	dst.SetFloat(n)
	return nil
}

// parseNumber parses a number in TOML syntax and returns an int64 or a float64.
func parseNumber(text string) (any, error) {
	var doc struct {
		N any `toml:"n"`
	}
	if strings.Trim(text, "0123456789abcdefABCDEFioxn_.+-") != "" {
		return nil, errors.New("agatestrict: not a number")
	}
	err := toml.Unmarshal([]byte("n="+text), &doc)
	return doc.N, err
}

func parseFloat(text string) (float64, error) {
	n, err := parseNumber(text)
	if err != nil {
		return 0, err
	}
	switch n := n.(type) {
	case int64:
		return float64(n), nil
	case float64:
		return n, nil
	}
	return 0, errors.New("agatestrict: not a number")
}

func setInt(dst reflect.Value, text string, tag reflect.StructTag) error {
	parsed, err := parseNumber(text)
	n, ok := parsed.(int64)
	if err != nil || !ok {
		return integerError(dst, text)
	}
	if err := checkRange(float64(n), text, tag); err != nil {
		return err
	}
	dst.SetInt(n)
	return nil
}

func integerError(dst reflect.Value, text string) error {
	if _, err := strconv.ParseInt(text, 0, 64); errors.Is(err, strconv.ErrRange) {
		return fmt.Errorf("the integer %s is out of range", text)
	}
	return fmt.Errorf("must be %s, not %q", describeType(dst), text)
}

type bound struct {
	limit string
	isMin bool // true for a lower limit, false for an upper one
}

func (b bound) relation() string {
	if b.isMin {
		return "at least"
	}
	return "at most"
}

func boundsOf(tag reflect.StructTag) []bound {
	var bs []bound
	if low := tag.Get("min"); low != "" {
		bs = append(bs, bound{low, true})
	}
	if high := tag.Get("max"); high != "" {
		bs = append(bs, bound{high, false})
	}
	return bs
}

func checkRange(n float64, text string, tag reflect.StructTag) error {
	for _, b := range boundsOf(tag) {
		limit, err := strconv.ParseFloat(b.limit, 64)
		if err == nil && (b.isMin && n < limit || !b.isMin && n > limit) {
			return fmt.Errorf("must be %s %s, not %s", b.relation(), b.limit, text)
		}
	}
	return nil
}
