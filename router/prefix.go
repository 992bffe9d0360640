package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the number of bytes of prompt text that a block covers.
const BlockBytes = 512

// maxBlocks is the largest number of blocks of a prompt that are used.
const maxBlocks = 512

// Block identifies a prefix of a prompt. It is the hash of the text from the
// start of the prompt to the end of one block.
type Block uint64

// Blocks appends the blocks of a prompt to dst and returns the extended slice.
// It ignores a tail that is shorter than a block.
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

// The router examines every depth of a prefix up to denseDepth and then every
// probeStride-th one; both are in blocks.
const (
	denseDepth  = 64
	probeStride = 8
)

// nextDepth returns the next depth to examine after d.
func nextDepth(d int) int {
	if d < denseDepth {
		return d + 1
	}
	return d + probeStride
}

// lastDepth returns the greatest depth to examine in a prefix of n blocks.
func lastDepth(n int) int {
	if n > denseDepth {
		return n - (n-denseDepth)%probeStride
	}
	return n
}

// previousDepth returns the depth to examine before d, or 0 if there is none.
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
