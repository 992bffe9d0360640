package drainer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/messenger"
)

// Answer answers a call whose request is encoded in b.
func (d *Drainer) Answer(ctx context.Context, method messenger.Method, b []byte) (proto.Message, error) {
	return d.answer(ctx, method, func(m proto.Message) error { return proto.Unmarshal(b, m) })
}
