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

// Depths of a prefix that are looked at: every one up to denseDepth, then one in
// probeStride, in blocks.
const (
	denseDepth  = 64
	probeStride = 8
)

// nextDepth returns the depth to look at after d.
func nextDepth(d int) int {
	if d < denseDepth {
		return d + 1
	}
	return d + probeStride
}

// lastDepth returns the greatest depth to look at in n blocks.
func lastDepth(n int) int {
	if n > denseDepth {
		return n - (n-denseDepth)%probeStride
	}
	return n
}

// previousDepth returns the depth to look at before d, or 0.
func previousDepth(d int) int {
	if d > denseDepth {
		return d - probeStride
	}
	return d - 1
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
