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
	portType     = reflect.TypeFor[netip.AddrPort]()
	prefixType   = reflect.TypeFor[netip.Prefix]()
)

func isText(dst reflect.Value) bool {
	if dst.Type() == durationType {
		return true
	}
	_, ok := dst.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func accepts(dst reflect.Value, k kind) bool {
	if isText(dst) {
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

// describe names the type of a value for operators.
func describe(dst reflect.Value) string {
	switch dst.Type() {
	case durationType:
		return `a string with a duration such as "1.5s"`
	case portType:
		return `a string with an address such as "127.0.0.1:8080"`
	case prefixType:
		return `a string with a prefix such as "10.0.0.0/8"`
	}
	if isText(dst) {
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
// Elements of a list are separated by commas. The tags "min" and "max" bound
// numbers and durations.
func SetText(dst reflect.Value, text string, tag reflect.StructTag) error {
	if isText(dst) || dst.Kind() != reflect.Slice {
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
			return notText(dst, text, err)
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

// notText returns an error that says what is expected, or nil if there is no
// fault. A type of the module explains its own errors.
func notText(dst reflect.Value, text string, err error) error {
	if err == nil && text != "" {
		return nil
	}
	t := dst.Type()
	if err != nil && strings.HasPrefix(t.PkgPath(), "agategate/") {
		return err
	}
	return fmt.Errorf("must be %s, not %q", describe(dst), text)
}

func setDuration(dst reflect.Value, text string, tag reflect.StructTag) error {
	n, err := time.ParseDuration(text)
	if err != nil {
		return notText(dst, text, err)
	}
	for _, b := range bounds(tag) {
		limit, err := time.ParseDuration(b.limit)
		if err == nil && (b.below && n < limit || !b.below && n > limit) {
			return fmt.Errorf("must be %s %s, not %s", b.words(), b.limit, text)
		}
	}
	dst.SetInt(int64(n))
	return nil
}

func setFloat(dst reflect.Value, text string, tag reflect.StructTag) error {
	n, err := parseFloat(text)
	if err != nil {
		return notText(dst, text, err)
	}
	if math.IsNaN(n) || math.IsInf(n, 0) {
		return fmt.Errorf("must be a finite number, not %s", text)
	}
	if err := checkNumber(n, text, tag); err != nil {
		return err
	}
	dst.SetFloat(n)
	return nil
}

// parseNumber reads a number by the rules of TOML and returns an int64 or a
// float64.
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
		return notInteger(dst, text)
	}
	if err := checkNumber(float64(n), text, tag); err != nil {
		return err
	}
	dst.SetInt(n)
	return nil
}

func notInteger(dst reflect.Value, text string) error {
	if _, err := strconv.ParseInt(text, 0, 64); errors.Is(err, strconv.ErrRange) {
		return fmt.Errorf("the integer %s is out of range", text)
	}
	return fmt.Errorf("must be %s, not %q", describe(dst), text)
}

type bound struct {
	limit string
	below bool // values below the limit are refused
}

func (b bound) words() string {
	if b.below {
		return "at least"
	}
	return "at most"
}

func bounds(tag reflect.StructTag) []bound {
	var bs []bound
	if low := tag.Get("min"); low != "" {
		bs = append(bs, bound{low, true})
	}
	if high := tag.Get("max"); high != "" {
		bs = append(bs, bound{high, false})
	}
	return bs
}

func checkNumber(n float64, text string, tag reflect.StructTag) error {
	for _, b := range bounds(tag) {
		limit, err := strconv.ParseFloat(b.limit, 64)
		if err == nil && (b.below && n < limit || !b.below && n > limit) {
			return fmt.Errorf("must be %s %s, not %s", b.words(), b.limit, text)
		}
	}
	return nil
}
