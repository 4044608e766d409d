package agatestrict

import "strings"

// Line returns the line of a dotted key such as "log.level", or 0 if the
// document does not set the key.
func (d *Document) Line(key string) int {
	v := d.root
	for part := range strings.SplitSeq(key, ".") {
		if v = v.get(part); v == nil {
			return 0
		}
	}
	return int(v.line)
}
