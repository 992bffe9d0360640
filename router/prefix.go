package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of the prompt text that one block covers, in bytes.
const BlockBytes = 512

// maxBlocks bounds the blocks of a prompt that are looked at.
const maxBlocks = 512

// Block names a prefix of a prompt: the hash of everything up to the end of one
// block.
type Block uint64

// Blocks appends the blocks of a prompt to dst. A tail shorter than a block has
// none.
func Blocks(dst []Block, prompt []byte) []Block {
	var chained [8]byte
	for len(prompt) >= BlockBytes && len(dst) < maxBlocks {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.Write(chained[:])
		_, _ = d.Write(prompt[:BlockBytes])
		sum := d.Sum64()
		dst = append(dst, Block(sum))
		binary.LittleEndian.PutUint64(chained[:], sum)
		prompt = prompt[BlockBytes:]
	}
	return dst
}

// probeStride is the distance of the depths that are looked at in long
// prefixes, in blocks.
const probeStride = 8

// nextDepth returns the depth to look at after d: 1, 2, 4, 8 and then every
// eighth block.
func nextDepth(d int) int {
	switch {
	case d == 0:
		return 1
	case d < probeStride:
		return d * 2
	default:
		return d + probeStride
	}
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable
// Pseudorandom Number Generators", 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
