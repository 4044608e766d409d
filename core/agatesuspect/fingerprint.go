package agatesuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Size is the length of a Fingerprint in bytes.
const Size = 16

// Fingerprint identifies a request across resends.
type Fingerprint [Size]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Print returns the fingerprint of a request: that of its key if it has one,
// otherwise that of its method, path and body.
func Print(service, method, path, key string, body []byte) Fingerprint {
	h := sha256.New()
	if key != "" {
		writeFields(h, "key", service, key)
	} else {
		sum := sha256.Sum256(body)
		writeFields(h, "request", service, method, path, string(sum[:]))
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// writeFields prefixes each field with its length, so that no two lists of
// fields give the same bytes.
func writeFields(h hash.Hash, fields ...string) {
	var size [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		_, _ = io.WriteString(h, field) // a hash does not fail
	}
}
