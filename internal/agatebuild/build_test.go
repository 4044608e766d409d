package agatebuild

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against programs of two builds that cannot be told apart by their logs.
func TestString(t *testing.T) {
	for want, b := range map[string]Build{
		"unknown":       {},
		"0375a3a383d7":  {Commit: "0375a3a383d71cc8e8ad5979d77cc04b1ca7bc44"},
		"0375a3a383d7+": {Commit: "0375a3a383d71cc8e8ad5979d77cc04b1ca7bc44", Modified: true},
	} {
		assert.Equal(t, b.String(), want)
	}
}
