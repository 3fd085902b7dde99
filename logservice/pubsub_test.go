package logservice_test

import (
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/standin"
)

// publish appends one record for each body.
func publish(is *is.I, client *logservice.LogClient, bodies ...string) {
	is.Helper()
	for _, body := range bodies {
		is.NoErr(client.Publish("s", message.NewMessage("", []byte(body))))
	}
}

// receive checks that the next message holds the record with the given offset and body,
// and acknowledges the message.
func receive(is *is.I, messages <-chan *message.Message, offset uint64, body string) {
	is.Helper()
	msg := <-messages
	is.Equal(logservice.OffsetOf(msg), offset)
	is.Equal(string(msg.Payload), body)
	msg.Ack()
}

// receiveGap checks that the next message reports the gap want, and acknowledges the
// message.
func receiveGap(is *is.I, messages <-chan *message.Message, want logservice.Gap) {
	is.Helper()
	msg := <-messages
	gap, ok := logservice.GapOf(msg)
	is.True(ok)
	is.Equal(gap, want)
	is.Equal(len(msg.Payload), 0)
	msg.Ack()
}

// TestSubscriberSurvivesOutage checks that a subscriber continues at its offset
// after failed reads, and neither skips nor repeats a record.
func TestSubscriberSurvivesOutage(t *testing.T) {
	is := is.New(t)
	failed := make(chan struct{}, 1)
	logger := log.LoggerFunc(func(...any) error {
		select {
		case failed <- struct{}{}:
		default:
		}
		return nil
	})
	backoff := logservice.BackoffConfig{Min: time.Millisecond, Max: 2 * time.Millisecond}
	store, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{Logger: logger, Backoff: backoff})
	messages, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	publish(is, client, "a")
	receive(is, messages, 1, "a")
	for _, faults := range []standin.StoreFaults{{Down: true}, {DropRequests: 1_000_000}} {
		store.SetFaults(faults)
		for range 3 { // one report may be left from the previous fault
			<-failed
		}
	}
	store.SetFaults(standin.StoreFaults{})
	publish(is, client, "b", "c")
	receive(is, messages, 2, "b")
	receive(is, messages, 3, "c")
}

func TestSubscriberReportsGap(t *testing.T) {
	is := is.New(t)
	store, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{})
	publish(is, client, "a", "b", "c", "d")
	store.Expire("s", 2)
	messages, err := client.SubscribeFrom(t.Context(), "s", 2)
	is.NoErr(err)
	receiveGap(is, messages, logservice.Gap{From: 2, To: 2})
	receive(is, messages, 3, "c")
	receive(is, messages, 4, "d")
}

// TestSubscriberReportsGapUpToTheEnd guards against a subscriber that does not report
// expired records if the stream has no later record yet.
func TestSubscriberReportsGapUpToTheEnd(t *testing.T) {
	is := is.New(t)
	store, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{})
	publish(is, client, "a", "b")
	store.Expire("s", 2)
	messages, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	receiveGap(is, messages, logservice.Gap{From: 1, To: 2})
	publish(is, client, "c")
	receive(is, messages, 3, "c")
}

func TestSubscriberDeliversAgainAfterNack(t *testing.T) {
	is := is.New(t)
	_, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{})
	publish(is, client, "a", "b")
	messages, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	(<-messages).Nack()
	receive(is, messages, 1, "a")
	receive(is, messages, 2, "b")
}

func TestPublishStopsAtTheFirstFailure(t *testing.T) {
	is := is.New(t)
	store, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{})
	store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	err := client.Publish("s", message.NewMessage("", []byte("a")), message.NewMessage("", []byte("b")))
	var unknown *logservice.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	publish(is, client, "c")
	messages, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	receive(is, messages, 1, "a")
	receive(is, messages, 2, "c")
}

func TestCloseEndsSubscriptions(t *testing.T) {
	is := is.New(t)
	_, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{})
	waiting, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	is.NoErr(client.Close())
	_, open := <-waiting
	is.True(!open)
	_, err = client.Subscribe(t.Context(), "s")
	is.True(errors.Is(err, logservice.ErrClosed))
	is.True(errors.Is(client.Publish("s", message.NewMessage("", nil)), logservice.ErrClosed))
}
