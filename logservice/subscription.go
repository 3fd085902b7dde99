package logservice

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"github.com/amaranthwell/amaranthwell/operator"
)

// readLimit is the largest number of records that a subscription reads at once.
const readLimit = 100

// subscription reads one stream and delivers its records to one subscriber.
type subscription struct {
	client   *LogClient
	stream   string
	messages chan *message.Message
	backoff  backoff
	// next is the offset of the next record to be delivered.
	next uint64
}

// newSubscription returns a subscription to stream that begins at the offset from. It
// has its own source of jitter. The caller holds c.mu.
func (c *LogClient) newSubscription(stream string, from uint64) *subscription {
	source := rand.NewPCG(c.cfg.Rand.Uint64(), c.cfg.Rand.Uint64())
	return &subscription{
		client:   c,
		stream:   stream,
		messages: make(chan *message.Message),
		backoff:  backoff{cfg: c.cfg.Backoff, rand: rand.New(source)},
		next:     from,
	}
}

// run reads and delivers records until ctx ends.
func (s *subscription) run(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := s.read(ctx)
		if err != nil {
			s.pause(ctx, err)
			continue
		}
		s.backoff.reset()
		if !s.deliverPage(ctx, page) {
			return
		}
	}
}

// read reads the next page. It returns an error if the read fails, if the stream ends
// before s.next, or if the offsets of the records are not consecutive.
func (s *subscription) read(ctx context.Context) (operator.Page, error) {
	page, err := s.client.Read(ctx, s.stream, s.next, s.client.cfg.Wait, readLimit)
	if err != nil {
		return operator.Page{}, err
	}
	if page.Next < s.next {
		return operator.Page{}, errors.Newf("the log ends before offset %d, at %d", s.next, page.Next)
	}
	expected := max(s.next, page.First)
	for _, r := range page.Records {
		if r.Offset != expected {
			return operator.Page{}, errors.Newf("record has offset %d, expected %d", r.Offset, expected)
		}
		expected++
	}
	return page, nil
}

// pause logs the error of a failed read and waits for the next pause of the backoff, or
// until ctx ends.
func (s *subscription) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	wait := s.backoff.next()
	_ = level.Warn(s.client.cfg.Logger).Log("event", "log-not-read", "stream", s.stream, "offset", s.next, "wait", wait, "err", err)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// deliverPage delivers the gap before the page, if any, and then its records. It
// returns false if ctx ends before all are acknowledged.
func (s *subscription) deliverPage(ctx context.Context, page operator.Page) bool {
	if page.First > s.next {
		gap := Gap{From: s.next, To: page.First - 1}
		if !s.deliver(ctx, message.Metadata{gapKey: fmt.Sprintf("%d-%d", gap.From, gap.To)}, nil) {
			return false
		}
		s.next = page.First
	}
	for _, r := range page.Records {
		if !s.deliver(ctx, message.Metadata{offsetKey: strconv.FormatUint(r.Offset, 10)}, r.Body) {
			return false
		}
		s.next = r.Offset + 1
	}
	return true
}

// deliver sends a message, and sends it again after each negative acknowledgement,
// until it is acknowledged. It returns false if ctx ends first.
func (s *subscription) deliver(ctx context.Context, metadata message.Metadata, body []byte) bool {
	for {
		msg := message.NewMessage(uuid.NewString(), body)
		msg.Metadata = metadata
		msgCtx, cancel := context.WithCancel(ctx)
		msg.SetContext(msgCtx)
		acked, ended := s.deliverOnce(ctx, msg)
		cancel()
		if acked || ended {
			return acked
		}
	}
}

// deliverOnce sends msg and waits until it is acknowledged or negatively
// acknowledged. ended is true if ctx ends first.
func (s *subscription) deliverOnce(ctx context.Context, msg *message.Message) (acked, ended bool) {
	select {
	case s.messages <- msg:
	case <-ctx.Done():
		return false, true
	}
	select {
	case <-msg.Acked():
		return true, false
	case <-msg.Nacked():
		return false, false
	case <-ctx.Done():
		return false, true
	}
}
