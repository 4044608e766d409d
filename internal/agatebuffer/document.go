package agatebuffer

import "bytes"

// Estimates of what the decoder of a document allocates for each table, list or key, and
// for each element, besides their text.
const (
	nodeBytes    = 256
	elementBytes = 32
)

// DecodedBytes estimates the memory that a document takes while it is decoded, besides
// its text. Documents of many small values take many times their own size.
func DecodedBytes(doc []byte) int64 {
	count := func(sep string) int64 { return int64(bytes.Count(doc, []byte(sep))) }
	nodes := count("{") + count("[") + count("=")
	elements := count(",") + count("\n")
	return nodes*nodeBytes + elements*elementBytes
}
