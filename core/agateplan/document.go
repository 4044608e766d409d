package agateplan

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Document is the stored form of a plan: the plan and the source text that the
// operator submitted, which can thus be returned unchanged.
type Document struct {
	Plan   Plan   `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint,omitempty"`
	// SourceFormat names the format of Source. Empty means the format specific to
	// the deployment, which this package does not parse. A plan may only be
	// replaced by one in the same format, so that operators never get back a
	// format that they do not use.
	SourceFormat string `cbor:"3,keyasint,omitempty"`
}

// SourceTOML is the SourceFormat of documents that Parse reads.
const SourceTOML = "toml"

// IsDocument reports whether b is an encoded Document rather than an inventory,
// which is text. It checks only the first byte.
func IsDocument(b []byte) bool {
	const cborMap = 5 // CBOR major type
	return len(b) > 0 && b[0]>>5 == cborMap
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("agateplan: cbor options: %v", err)) // unreachable: the options are constant
	}
	return mode
}

// Encode returns the deterministic CBOR encoding of the document.
func (d *Document) Encode() ([]byte, error) {
	b, err := encMode.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("agateplan: encode: %w", err)
	}
	return b, nil
}

// DecodeDocument decodes a document from the output of Document.Encode.
func DecodeDocument(b []byte) (*Document, error) {
	d := &Document{}
	if err := cbor.Unmarshal(b, d); err != nil {
		return nil, fmt.Errorf("agateplan: decode: %w", err)
	}
	return d, nil
}

// UsesOrdinals reports whether an encoded Document has a plan with Ordinals. It reports
// false for other documents.
func UsesOrdinals(b []byte) bool {
	if !IsDocument(b) {
		return false
	}
	var doc struct {
		Plan struct {
			Ordinals bool `cbor:"6,keyasint"`
		} `cbor:"1,keyasint"`
	}
	return cbor.Unmarshal(b, &doc) == nil && doc.Plan.Ordinals
}

// NamedServices returns a function that reports whether the plan of an encoded Document
// names a service. Other documents name none.
func NamedServices(b []byte) func(service string) bool {
	var doc struct {
		Plan struct {
			Services []Service `cbor:"2,keyasint"`
		} `cbor:"1,keyasint"`
	}
	if !IsDocument(b) || cbor.Unmarshal(b, &doc) != nil {
		return func(string) bool { return false }
	}
	names := make(map[string]bool, len(doc.Plan.Services))
	for _, s := range doc.Plan.Services {
		names[s.Name] = true
	}
	return func(service string) bool { return names[service] }
}

// maxPlanBytes is the largest size of an uncompressed plan that Unpack accepts. A
// plan with a few thousand routes takes a few hundred kilobytes.
const maxPlanBytes = 32 << 20

var errTooLarge = errors.New("agateplan: unpack: plan is too large")

// Pack returns the compressed plan that is sent to entry hosts, some of which
// have slow links. Many routes differ only in their names, so the compressed
// plan is a fraction of the size of the stored one.
func (p *Plan) Pack() ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("agateplan: pack: %w", err)
	}
	if err := encMode.NewEncoder(w).Encode(p); err != nil {
		return nil, fmt.Errorf("agateplan: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("agateplan: pack: %w", err)
	}
	return buf.Bytes(), nil
}

// Unpack decompresses a plan from the output of Plan.Pack. It returns an error if
// the uncompressed plan exceeds 32 MiB.
func Unpack(b []byte) (*Plan, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxPlanBytes+1))
	if err != nil {
		return nil, fmt.Errorf("agateplan: unpack: %w", err)
	}
	if len(data) > maxPlanBytes {
		return nil, errTooLarge
	}
	p := &Plan{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("agateplan: unpack: %w", err)
	}
	return p, nil
}
