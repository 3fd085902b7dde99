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

// receive acknowledges the next message, which must be the record.
func receive(is *is.I, messages <-chan *message.Message, offset uint64, body string) {
	is.Helper()
	msg := <-messages
	is.Equal(logservice.OffsetOf(msg), offset)
	is.Equal(string(msg.Payload), body)
	msg.Ack()
}

// receiveGap acknowledges the next message, which must report the gap.
func receiveGap(is *is.I, messages <-chan *message.Message, want logservice.Gap) {
	is.Helper()
	msg := <-messages
	gap, ok := logservice.GapOf(msg)
	is.True(ok)
	is.Equal(gap, want)
	is.Equal(len(msg.Payload), 0)
	msg.Ack()
}

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
	standinLog, client := newLog(t, standin.StoreConfig{}, logservice.LogConfig{Logger: logger, Backoff: backoff})
	messages, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	publish(is, client, "a")
	receive(is, messages, 1, "a")
	for _, faults := range []standin.StoreFaults{{Down: true}, {DropRequests: 1_000_000}} {
		standinLog.SetFaults(faults)
		for range 3 { // one report may be left of the fault before
			<-failed
		}
	}
	standinLog.SetFaults(standin.StoreFaults{})
	publish(is, client, "b", "c")
	receive(is, messages, 2, "b")
	receive(is, messages, 3, "c")
}

func TestSubscriberReportsGap(t *testing.T) {
	is := is.New(t)
	standinLog, client := newLog(t, standin.StoreConfig{}, logservice.LogConfig{})
	publish(is, client, "a", "b", "c", "d")
	standinLog.Expire("s", 2)
	messages, err := client.SubscribeFrom(t.Context(), "s", 2)
	is.NoErr(err)
	receiveGap(is, messages, logservice.Gap{From: 2, To: 2})
	receive(is, messages, 3, "c")
	receive(is, messages, 4, "d")
}

func TestSubscriberReportsGapUpToTheEnd(t *testing.T) {
	is := is.New(t)
	standinLog, client := newLog(t, standin.StoreConfig{}, logservice.LogConfig{})
	publish(is, client, "a", "b")
	standinLog.Expire("s", 2)
	messages, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	receiveGap(is, messages, logservice.Gap{From: 1, To: 2})
	publish(is, client, "c")
	receive(is, messages, 3, "c")
}

func TestSubscriberDeliversAgainAfterNack(t *testing.T) {
	is := is.New(t)
	_, client := newLog(t, standin.StoreConfig{}, logservice.LogConfig{})
	publish(is, client, "a", "b")
	messages, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	(<-messages).Nack()
	receive(is, messages, 1, "a")
	receive(is, messages, 2, "b")
}

func TestPublishStopsAtTheFirstFailure(t *testing.T) {
	is := is.New(t)
	standinLog, client := newLog(t, standin.StoreConfig{}, logservice.LogConfig{})
	standinLog.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	err := client.Publish("s", message.NewMessage("", []byte("a")), message.NewMessage("", []byte("b")))
	var unknown *logservice.UnknownError
	is.True(errors.As(err, &unknown))
	publish(is, client, "c")
	messages, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	receive(is, messages, 1, "a")
	receive(is, messages, 2, "c")
}

func TestCloseEndsSubscriptions(t *testing.T) {
	is := is.New(t)
	_, client := newLog(t, standin.StoreConfig{}, logservice.LogConfig{})
	waiting, err := client.Subscribe(t.Context(), "s")
	is.NoErr(err)
	is.NoErr(client.Close())
	_, open := <-waiting
	is.True(!open)
	_, err = client.Subscribe(t.Context(), "s")
	is.True(errors.Is(err, logservice.ErrClosed))
	is.True(errors.Is(client.Publish("s", message.NewMessage("", nil)), logservice.ErrClosed))
}
