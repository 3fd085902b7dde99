package logservice

import (
	"context"
	"fmt"
	"strconv"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
)

// The metadata keys of messages.
const (
	// offsetKey holds the record's offset.
	offsetKey = "offset"
	// gapKey holds the first and the last offset of a gap as "from-to".
	gapKey = "gap"
)

// ErrClosed reports the use of a LogClient after its Close.
var ErrClosed = errors.New("log client closed")

var (
	_ message.Publisher  = (*LogClient)(nil)
	_ message.Subscriber = (*LogClient)(nil)
)

// A Gap is a range of records that expired before a subscription read them.
type Gap struct {
	// From is the offset of the first missing record.
	From uint64
	// To is the offset of the last missing record.
	To uint64
}

// GapOf returns the gap that the message reports. It returns false if the message holds
// a record. A message that reports a gap is delivered between the records before and
// after the gap and has no payload.
func GapOf(msg *message.Message) (Gap, bool) {
	var g Gap
	_, err := fmt.Sscanf(msg.Metadata.Get(gapKey), "%d-%d", &g.From, &g.To)
	return g, err == nil
}

// OffsetOf returns the offset of the record that the message holds, or zero if it holds
// none.
func OffsetOf(msg *message.Message) uint64 {
	offset, err := strconv.ParseUint(msg.Metadata.Get(offsetKey), 10, 64)
	if err != nil {
		return 0
	}
	return offset
}

// Publish appends the payloads of the messages to the stream, in order, and
// sets their offsets. At the first failure it returns the error of Append and does
// not append the remaining messages. The metadata of messages is not stored.
func (c *LogClient) Publish(stream string, messages ...*message.Message) error {
	if c.ctx.Err() != nil {
		return ErrClosed
	}
	for _, msg := range messages {
		offset, err := c.Append(msg.Context(), stream, msg.Payload)
		if err != nil {
			return err
		}
		msg.Metadata.Set(offsetKey, strconv.FormatUint(offset, 10))
	}
	return nil
}

// Subscribe delivers the stream's records, beginning at offset 1. Each record is
// delivered after the previous one is acknowledged. A record that is negatively acknowledged is delivered
// again. Records that expired before they were read are reported by a message for
// which GapOf returns the range. The channel is closed when ctx ends or c is closed.
func (c *LogClient) Subscribe(ctx context.Context, stream string) (<-chan *message.Message, error) {
	return c.SubscribeFrom(ctx, stream, 1)
}

// SubscribeFrom delivers records as Subscribe does, but beginning at the offset from.
// Zero means 1.
func (c *LogClient) SubscribeFrom(ctx context.Context, stream string, from uint64) (<-chan *message.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	s := c.newSubscription(stream, max(from, 1))
	c.subscriptions.Add(1)
	go func() {
		defer c.subscriptions.Done()
		defer stop()
		defer cancel()
		defer close(s.messages)
		s.run(ctx)
	}()
	return s.messages, nil
}

// Close ends the subscriptions, waits until their channels are closed and
// closes the connections. Its error is always nil. Later calls of Publish and
// Subscribe return ErrClosed.
func (c *LogClient) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.subscriptions.Wait()
	c.store.Close()
	return nil
}
