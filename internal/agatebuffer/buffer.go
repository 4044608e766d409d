package agatebuffer

import (
	"errors"
	"io"
)

// ErrTooLarge reports that a body is larger than its limit.
var ErrTooLarge = errors.New("agatebuffer: body too large")

// Sizes of the blocks of a buffer. They double from the first to the largest one.
const (
	firstBlockBytes   = 512
	largestBlockBytes = 64 << 10
)

// StreamBlockBytes is the size of the blocks in which a streamed response is read. With
// its request, one fits into the reserve of a holder.
const StreamBlockBytes = 8 << 10

// Buffer is a body in memory. It grows by blocks, so that its bytes are never copied to
// make room for more. A nil Buffer is an empty body.
type Buffer struct {
	blocks [][]byte
	size   int64
}

// Of returns a buffer with the given bytes, which must not be modified afterwards and are
// charged to nobody.
func Of(b []byte) *Buffer {
	if len(b) == 0 {
		return nil
	}
	return &Buffer{blocks: [][]byte{b}, size: int64(len(b))}
}

// Read reads the body of a request of at most limit bytes, which are charged while they
// arrive, and ends the arrival. It returns ErrTooLarge or ErrFull if it cannot hold the
// body.
func Read(body io.Reader, limit int64, r *Arrival) (*Buffer, error) {
	b, err := read(body, limit, r)
	if err != nil {
		if r.GaveWay() {
			err = ErrFull
		}
		r.Drop()
		return nil, err
	}
	r.Keep()
	return b, nil
}

func read(body io.Reader, limit int64, r *Arrival) (*Buffer, error) {
	b := &Buffer{}
	for {
		block, err := b.Room(r.Grow)
		if err != nil {
			return nil, err
		}
		n, err := body.Read(block)
		b.Extend(n)
		switch {
		case b.size > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// Room returns memory for the next bytes of the body, which Extend adds to it: the free
// part of the last block, or of a new one that grow allows.
func (b *Buffer) Room(grow func(n int64) error) ([]byte, error) {
	if last := len(b.blocks) - 1; last >= 0 && len(b.blocks[last]) < cap(b.blocks[last]) {
		block := b.blocks[last]
		return block[len(block):cap(block)], nil
	}
	size := b.nextBlockBytes()
	if err := grow(size); err != nil {
		return nil, err
	}
	b.blocks = append(b.blocks, make([]byte, 0, size))
	return b.blocks[len(b.blocks)-1][:size], nil
}

// nextBlockBytes returns the size of the next block: as much as all blocks before it.
func (b *Buffer) nextBlockBytes() int64 {
	return min(max(firstBlockBytes, b.size), largestBlockBytes)
}

// Extend adds the first n bytes of the last Room to the body and returns them.
func (b *Buffer) Extend(n int) []byte {
	last := len(b.blocks) - 1
	block := b.blocks[last]
	b.blocks[last] = block[:len(block)+n]
	b.size += int64(n)
	return b.blocks[last][len(block):]
}

// Len returns the number of bytes.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Blocks returns the bytes in their order. They must not be modified.
func (b *Buffer) Blocks() [][]byte {
	if b == nil {
		return nil
	}
	return b.blocks
}

// Bytes returns all bytes, copied into one slice if they are in several blocks. They must
// not be modified.
func (b *Buffer) Bytes() []byte {
	if b == nil {
		return nil
	}
	if len(b.blocks) == 1 {
		return b.blocks[0]
	}
	out := make([]byte, 0, b.size)
	for _, block := range b.blocks {
		out = append(out, block...)
	}
	return out
}

// Join returns all bytes in one slice, for which c is charged in place of the buffer, which
// must not be used any more. c is what the buffer was read for.
func (b *Buffer) Join(c *Charge) ([]byte, error) {
	if b == nil || len(b.blocks) == 1 {
		return b.Bytes(), nil
	}
	if err := c.Grow(b.size); err != nil {
		return nil, err
	}
	out := b.Bytes()
	for _, block := range b.blocks {
		c.Shrink(int64(cap(block)))
	}
	b.blocks = nil
	return out, nil
}

// String returns the bytes as a string.
func (b *Buffer) String() string { return string(b.Bytes()) }

// WriteTo implements io.WriterTo.
func (b *Buffer) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, block := range b.Blocks() {
		n, err := w.Write(block)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
