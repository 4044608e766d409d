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
//	magic  2 bytes
//	kind   1 byte
//	zero   1 byte
//	length 4 bytes, of the body
//	body   4 bytes, CRC-32C of salt, kind, masked body and padding
//	header 4 bytes, CRC-32C of salt and the 12 bytes before
//
// The salt is the file's number and the frame's offset, so that an image of
// a frame inside of a body is never taken for a frame. The body is masked
// with random numbers of that seed, so that a sector of zeros is never part
// of a frame that was written whole.
const (
	frameMagic  = 0xA6E7
	frameHeader = 16
	frameAlign  = 16
	framePad    = 0xA6
	// maxBody bounds the body of a frame, in bytes.
	maxBody = 1 << 30
	// sector is the smallest part of a file that a disk writes at once.
	sector = 512
)

// kind is the kind of a frame. The values are stored on disk.
type kind uint8

const (
	kindStart    kind = 1 // first frame of a segment
	kindBatch    kind = 2
	kindSnapshot kind = 3 // only frame of a snapshot file
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func salted(number uint64, off int64) uint32 {
	var salt [16]byte
	binary.BigEndian.PutUint64(salt[:], number)
	binary.BigEndian.PutUint64(salt[8:], uint64(off))
	return crc32.Update(0, castagnoli, salt[:])
}

// frameSize returns the size of a frame with a body of n bytes.
func frameSize(n int) int {
	return (frameHeader + n + frameAlign - 1) / frameAlign * frameAlign
}

// seal turns buf, which is room for a header and a body, into the frame at
// an offset of a file.
func seal(buf []byte, k kind, number uint64, off int64) []byte {
	n := len(buf) - frameHeader
	mask(buf[frameHeader:], number, off)
	buf = append(buf, bytes.Repeat([]byte{framePad}, frameSize(n)-len(buf))...)
	salt := salted(number, off)
	h := buf[:frameHeader]
	binary.BigEndian.PutUint16(h, frameMagic)
	h[2] = byte(k)
	h[3] = 0
	binary.BigEndian.PutUint32(h[4:], uint32(n))
	binary.BigEndian.PutUint32(h[8:], crc32.Update(salt^uint32(k), castagnoli, buf[frameHeader:]))
	binary.BigEndian.PutUint32(h[12:], crc32.Update(salt, castagnoli, h[:12]))
	return buf
}

// mask masks or unmasks a body in place.
func mask(body []byte, number uint64, off int64) {
	random := rand.NewPCG(number, uint64(off))
	for len(body) >= 8 {
		binary.LittleEndian.PutUint64(body, binary.LittleEndian.Uint64(body)^random.Uint64())
		body = body[8:]
	}
	for i := range body {
		body[i] ^= byte(random.Uint64())
	}
}

// blankSector reports whether the bytes at an offset of a file have a sector
// that is all zeros.
func blankSector(b []byte, off int64) bool {
	for len(b) > 0 {
		n := min(len(b), sector-int(off%sector))
		if bytes.Count(b[:n], []byte{0}) == n {
			return true
		}
		b = b[n:]
		off += int64(n)
	}
	return false
}

// fault says what is wrong with the bytes at an offset.
type fault uint8

const (
	faultNone fault = iota
	// faultTorn: the bytes are what a crash leaves of a frame that was not
	// synced.
	faultTorn
	// faultDamaged: the bytes were changed after they were synced.
	faultDamaged
)

// parse returns the kind and the body of the frame at an offset of a file
// and the offset behind it. It unmasks the body in place.
func parse(file []byte, number uint64, off int64) (k kind, body []byte, end int64, bad fault) {
	rest := file[off:]
	if len(rest) < frameHeader {
		return 0, nil, 0, faultTorn
	}
	h := rest[:frameHeader]
	salt := salted(number, off)
	if !headerValid(h, salt) {
		if bytes.Count(h, []byte{0}) == frameHeader && !anyFrame(file, number, off+frameAlign) {
			return 0, nil, 0, faultTorn
		}
		return 0, nil, 0, faultDamaged
	}
	k = kind(h[2])
	n := int(binary.BigEndian.Uint32(h[4:]))
	size := frameSize(n)
	if size > len(rest) {
		return 0, nil, 0, faultTorn
	}
	whole := rest[:size]
	if crc32.Update(salt^uint32(k), castagnoli, whole[frameHeader:]) == binary.BigEndian.Uint32(h[8:]) {
		body = whole[frameHeader : frameHeader+n]
		mask(body, number, off)
		return k, body, off + int64(size), faultNone
	}
	if size == len(rest) && blankSector(whole, off) {
		return 0, nil, 0, faultTorn
	}
	return 0, nil, 0, faultDamaged
}

func headerValid(h []byte, salt uint32) bool {
	return binary.BigEndian.Uint16(h) == frameMagic &&
		binary.BigEndian.Uint32(h[4:]) <= maxBody &&
		crc32.Update(salt, castagnoli, h[:12]) == binary.BigEndian.Uint32(h[12:])
}

// anyFrame reports whether the header of a frame is found at or after an
// offset.
func anyFrame(file []byte, number uint64, off int64) bool {
	for ; off+frameHeader <= int64(len(file)); off += frameAlign {
		h := file[off : off+frameHeader]
		if binary.BigEndian.Uint16(h) == frameMagic && headerValid(h, salted(number, off)) {
			return true
		}
	}
	return false
}
