package agatesuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// FingerprintSize is the length of a Fingerprint in bytes.
const FingerprintSize = 16

// Fingerprint identifies a request across retries by the caller.
type Fingerprint [FingerprintSize]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// NewFingerprint returns the fingerprint of a request. It hashes the service
// and the idempotency key, or the service, method, path and body if key is
// empty. The body may be in several parts.
func NewFingerprint(service, method, path, key string, body ...[]byte) Fingerprint {
	h := sha256.New()
	if key != "" {
		writeFields(h, "key", service, key)
	} else {
		sum := sha256.New()
		for _, part := range body {
			sum.Write(part)
		}
		writeFields(h, "request", service, method, path, string(sum.Sum(nil)))
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// writeFields prefixes each field with its length, so that different lists of
// fields never produce the same bytes.
func writeFields(h hash.Hash, fields ...string) {
	var size [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		_, _ = io.WriteString(h, field) // hash.Hash never returns an error
	}
}
