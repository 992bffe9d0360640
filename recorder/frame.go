package recorder

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// frameHeaderBytes is the size of a frame's header. A frame is a header and a
// payload. The header holds, in little-endian byte order:
//
//	bytes  0 to  3: frameMagic
//	bytes  4 to  7: length of the payload
//	bytes  8 to 15: number of the frame in its file, starting at 0
//	bytes 16 to 19: CRC-32C of the payload
//	bytes 20 to 23: CRC-32C of bytes 0 to 19
const frameHeaderBytes = 24

// frameMagic is the first field of each frame. hasLaterFrame searches for it.
const frameMagic = 0xC1C1AE01

// maxFrameBytes is the maximum size of a frame's payload.
const maxFrameBytes = 256 << 20

// castagnoli is the polynomial table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame with the given number and payload to b.
func appendFrame(b []byte, number uint64, payload []byte) []byte {
	var h [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(h[0:], frameMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(h[8:], number)
	binary.LittleEndian.PutUint32(h[16:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[20:], crc32.Checksum(h[:20], castagnoli))
	return append(append(b, h[:]...), payload...)
}

// readFrame returns the number and payload of the frame at the start of b. ok
// is false if that frame is incomplete or damaged.
func readFrame(b []byte) (number uint64, payload []byte, ok bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, false
	}
	if crc32.Checksum(b[:20], castagnoli) != binary.LittleEndian.Uint32(b[20:]) {
		return 0, nil, false
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxFrameBytes || len(b) < frameHeaderBytes+n {
		return 0, nil, false
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, false
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, true
}

// hasLaterFrame reports whether b contains, at any offset, an undamaged frame
// with a number above after.
func hasLaterFrame(b []byte, after uint64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(b, magic)
		if i < 0 {
			return false
		}
		if number, _, ok := readFrame(b[i:]); ok && number > after {
			return true
		}
		b = b[i+1:]
	}
}
