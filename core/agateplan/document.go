package agateplan

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Document is a plan as it is stored: the plan itself and the text in which
// the operator sent it, so that it can be read back unchanged.
type Document struct {
	Plan   Plan   `cbor:"1,keyasint"`
	Source []byte `cbor:"2,keyasint,omitempty"`
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
