package messenger

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/internal/wire"
)

// MaxFrameBytes is the maximum size of an encoded frame.
const MaxFrameBytes = 16 << 20

// lengthBytes is the size of the length prefix of a frame.
const lengthBytes = 4

// writeFrame writes f with its length prefix in a single Write. It returns an
// error if f exceeds MaxFrameBytes.
func writeFrame(w io.Writer, f *wire.Frame) error {
	n := proto.Size(f)
	if n > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds %d: send it in parts", n, MaxFrameBytes)
	}
	b := make([]byte, lengthBytes, lengthBytes+n)
	binary.BigEndian.PutUint32(b, uint32(n))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	_, err = w.Write(b)
	return err
}

// readFrame reads one frame with its length prefix. It returns an error if the
// frame exceeds MaxFrameBytes.
func readFrame(r io.Reader) (*wire.Frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxFrameBytes {
		return nil, fmt.Errorf("frame of %d bytes exceeds %d: the peer speaks another protocol", n, MaxFrameBytes)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	var f wire.Frame
	if err := proto.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	return &f, nil
}
