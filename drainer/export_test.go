package drainer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/messenger"
)

// Answer handles a call whose encoded request is b and returns the response.
func (d *Drainer) Answer(ctx context.Context, method messenger.Method, b []byte) (proto.Message, error) {
	return d.handleCall(ctx, method, func(m proto.Message) error { return proto.Unmarshal(b, m) })
}
