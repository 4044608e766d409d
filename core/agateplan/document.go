package agateplan

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Document is a plan as it is stored: the plan itself and the text in which
// the operator sent it, so that it can be read back unchanged.
type Document struct {
	Plan   Plan   `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint,omitempty"`
	// Form names the format of Source; empty is that of the deployment's
	// adapter. A plan is only replaced by one of the same form, so that no
	// operator gets back a text in a foreign format.
	Form string `cbor:"3,keyasint,omitempty"`
}

// FormText is the form of documents that Parse reads.
const FormText = "toml"

// IsDocument tells a stored plan from an inventory, which is text.
func IsDocument(b []byte) bool {
	const cborMap = 5 // major type of the first byte
	return len(b) > 0 && b[0]>>5 == cborMap
}

var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Sprintf("agateplan: cbor options: %v", err)) // the options are constant
	}
	return mode
}

// Encode returns the stored form.
func (d *Document) Encode() ([]byte, error) {
	b, err := encoding.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("agateplan: encode: %w", err)
	}
	return b, nil
}

// DecodeDocument is the inverse of Document.Encode.
func DecodeDocument(b []byte) (*Document, error) {
	d := &Document{}
	if err := cbor.Unmarshal(b, d); err != nil {
		return nil, fmt.Errorf("agateplan: decode: %w", err)
	}
	return d, nil
}

// maxPlan bounds the unpacked form of a plan in bytes. Plans of some thousand
// routes have a few hundred kilobytes.
const maxPlan = 32 << 20

var errTooLarge = errors.New("agateplan: the plan is too large")

// Pack returns the compressed form in which a plan travels to entry hosts.
// Many routes differ only in their names, so it is a fraction of the stored
// form, and some hosts have slow links.
func (p *Plan) Pack() ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("agateplan: pack: %w", err)
	}
	if err := encoding.NewEncoder(w).Encode(p); err != nil {
		return nil, fmt.Errorf("agateplan: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("agateplan: pack: %w", err)
	}
	return buf.Bytes(), nil
}

// Unpack is the inverse of Plan.Pack.
func Unpack(b []byte) (*Plan, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxPlan+1))
	if err != nil {
		return nil, fmt.Errorf("agateplan: unpack: %w", err)
	}
	if len(data) > maxPlan {
		return nil, errTooLarge
	}
	p := &Plan{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("agateplan: unpack: %w", err)
	}
	return p, nil
}
