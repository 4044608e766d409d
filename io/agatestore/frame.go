package agatestore

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math/rand/v2"
)

// A file is a sequence of frames. A frame is a header of 16 bytes, a body
// and padding up to a multiple of 16 bytes:
//
//	magic     2 bytes
//	kind      1 byte
//	zero      1 byte
//	length    4 bytes, size of the body
//	bodyCRC   4 bytes, CRC-32C of the masked body and the padding, continued
//	          from the CRC-32C of the salt XOR the kind
//	headerCRC 4 bytes, CRC-32C of the preceding 12 bytes, continued from the
//	          CRC-32C of the salt
//
// The salt consists of the file number and the frame offset, so that a copy
// of a frame inside a body never passes as a frame. The body is XORed with
// pseudo-random numbers seeded by the same two values, so that a completely
// written frame practically never contains a sector of zeros.
const (
	frameMagic      = 0xA6E7
	frameHeaderSize = 16
	frameAlignment  = 16
	framePadByte    = 0xA6 // not 0, which would look like an unwritten sector
	// maxBodySize is the largest size of a frame body, in bytes.
	maxBodySize = 1 << 30
	// sectorSize is the smallest unit that a disk writes atomically, in bytes.
	sectorSize = 512
)

// frameKind is the type of the record in a frame. The values are stored on
// disk.
type frameKind uint8

const (
	kindSegmentHeader frameKind = 1 // first frame of a segment
	kindBatch         frameKind = 2
	kindSnapshot      frameKind = 3 // only frame of a snapshot file
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumSeed returns the CRC-32C of the salt of the frame at an offset.
func checksumSeed(number uint64, off int64) uint32 {
	var salt [16]byte
	binary.BigEndian.PutUint64(salt[:], number)
	binary.BigEndian.PutUint64(salt[8:], uint64(off))
	return crc32.Update(0, castagnoli, salt[:])
}

// frameSize returns the size of a frame with a body of n bytes.
func frameSize(n int) int {
	return (frameHeaderSize + n + frameAlignment - 1) / frameAlignment * frameAlignment
}

// finishFrame masks the body in buf, pads it and fills in the header. buf
// consists of space for the header, followed by the body.
func finishFrame(buf []byte, k frameKind, number uint64, off int64) []byte {
	n := len(buf) - frameHeaderSize
	mask(buf[frameHeaderSize:], number, off)
	buf = append(buf, bytes.Repeat([]byte{framePadByte}, frameSize(n)-len(buf))...)
	seed := checksumSeed(number, off)
	h := buf[:frameHeaderSize]
	binary.BigEndian.PutUint16(h, frameMagic)
	h[2] = byte(k)
	h[3] = 0
	binary.BigEndian.PutUint32(h[4:], uint32(n))
	binary.BigEndian.PutUint32(h[8:], crc32.Update(seed^uint32(k), castagnoli, buf[frameHeaderSize:]))
	binary.BigEndian.PutUint32(h[12:], crc32.Update(seed, castagnoli, h[:12]))
	return buf
}

// mask XORs a body with the pseudo-random numbers of its frame in place.
// Applying it twice restores the body.
func mask(body []byte, number uint64, off int64) {
	rng := rand.NewPCG(number, uint64(off))
	for len(body) >= 8 {
		binary.LittleEndian.PutUint64(body, binary.LittleEndian.Uint64(body)^rng.Uint64())
		body = body[8:]
	}
	for i := range body {
		body[i] ^= byte(rng.Uint64())
	}
}

// hasZeroSector reports whether b, which starts at an offset of a file,
// contains only zeros in any of the sectors that it touches.
func hasZeroSector(b []byte, off int64) bool {
	for len(b) > 0 {
		n := min(len(b), sectorSize-int(off%sectorSize))
		if bytes.Count(b[:n], []byte{0}) == n {
			return true
		}
		b = b[n:]
		off += int64(n)
	}
	return false
}

// frameStatus is the result of parsing a frame.
type frameStatus uint8

const (
	frameValid frameStatus = iota
	// frameTorn means that the frame is incomplete, as a crash before fsync
	// leaves it.
	frameTorn
	// frameCorrupt means that the bytes changed after they were synced.
	frameCorrupt
)

// parseFrame returns the kind and the body of the frame at an offset of a
// file and the offset of the next frame. It unmasks the body in place.
func parseFrame(file []byte, number uint64, off int64) (k frameKind, body []byte, end int64, status frameStatus) {
	rest := file[off:]
	if len(rest) < frameHeaderSize {
		return 0, nil, 0, frameTorn
	}
	h := rest[:frameHeaderSize]
	seed := checksumSeed(number, off)
	if !headerValid(h, seed) {
		if bytes.Count(h, []byte{0}) == frameHeaderSize && !hasFrameHeader(file, number, off+frameAlignment) {
			return 0, nil, 0, frameTorn
		}
		return 0, nil, 0, frameCorrupt
	}
	k = frameKind(h[2])
	n := int(binary.BigEndian.Uint32(h[4:]))
	size := frameSize(n)
	if size > len(rest) {
		return 0, nil, 0, frameTorn
	}
	frame := rest[:size]
	if crc32.Update(seed^uint32(k), castagnoli, frame[frameHeaderSize:]) == binary.BigEndian.Uint32(h[8:]) {
		body = frame[frameHeaderSize : frameHeaderSize+n]
		mask(body, number, off)
		return k, body, off + int64(size), frameValid
	}
	if size == len(rest) && hasZeroSector(frame, off) {
		return 0, nil, 0, frameTorn
	}
	return 0, nil, 0, frameCorrupt
}

func headerValid(h []byte, seed uint32) bool {
	return binary.BigEndian.Uint16(h) == frameMagic &&
		binary.BigEndian.Uint32(h[4:]) <= maxBodySize &&
		crc32.Update(seed, castagnoli, h[:12]) == binary.BigEndian.Uint32(h[12:])
}

// hasFrameHeader reports whether a file contains a valid frame header at or
// after an offset.
func hasFrameHeader(file []byte, number uint64, off int64) bool {
	for ; off+frameHeaderSize <= int64(len(file)); off += frameAlignment {
		h := file[off : off+frameHeaderSize]
		if binary.BigEndian.Uint16(h) == frameMagic && headerValid(h, checksumSeed(number, off)) {
			return true
		}
	}
	return false
}
