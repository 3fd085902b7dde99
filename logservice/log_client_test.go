package logservice_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/amaranthwell/amaranthwell/httpjson"
	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/standin"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// newLogClient returns a store and a client of the store. Both are closed when the test
// ends.
func newLogClient(t *testing.T, cfg standin.StoreConfig, clientCfg logservice.LogConfig) (*standin.Store, *logservice.LogClient) {
	t.Helper()
	store := standin.NewStore(cfg)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	clientCfg.URL = server.URL
	client, err := logservice.NewLogClient(clientCfg)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	return store, client
}

func ExampleLogClient() {
	server := httptest.NewServer(standin.NewStore(standin.StoreConfig{}))
	defer server.Close()
	client, err := logservice.NewLogClient(logservice.LogConfig{URL: server.URL})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	messages, err := client.Subscribe(context.Background(), "configuration")
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := client.Publish("configuration", message.NewMessage("", []byte("edit"))); err != nil {
		fmt.Println(err)
		return
	}
	msg := <-messages
	fmt.Println(logservice.OffsetOf(msg), string(msg.Payload))
	msg.Ack()
	// Output: 1 edit
}

// TestAppendDistinguishesRefusedFromUnknown checks that an append is reported as
// refused only if its record was not written: a caller may repeat a refused append.
func TestAppendDistinguishesRefusedFromUnknown(t *testing.T) {
	var refused *logservice.RefusedError
	var unknown *logservice.UnknownOutcomeError
	for _, test := range []struct {
		name    string
		faults  standin.StoreFaults
		target  any
		written int
	}{
		{name: "down", faults: standin.StoreFaults{Down: true}, target: &refused},
		{name: "lost answer", faults: standin.StoreFaults{LoseAnswers: 1}, target: &unknown, written: 1},
		{name: "dropped request", faults: standin.StoreFaults{DropRequests: 1}, target: &unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			store, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{})
			// The first append opens the connection, so that the fault affects a
			// request on an open connection.
			_, err := client.Append(t.Context(), "s", []byte("w"))
			is.NoErr(err)
			store.SetFaults(test.faults)
			_, err = client.Append(t.Context(), "s", []byte("x"))
			is.True(errors.As(err, test.target))
			store.SetFaults(standin.StoreFaults{})
			page, err := client.Read(t.Context(), "s", 2, 0, 10)
			is.NoErr(err)
			is.Equal(len(page.Records), test.written)
			is.Equal(page.Next, uint64(test.written+2))
		})
	}
}

func TestAppendOverLimitIsRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	_, client := newLogClient(t, standin.StoreConfig{AppendsPerSecond: 1, Now: func() time.Time { return now }}, logservice.LogConfig{})
	offset, err := client.Append(t.Context(), "s", []byte("x"))
	is.NoErr(err)
	is.Equal(offset, uint64(1))
	_, err = client.Append(t.Context(), "s", []byte("x"))
	var refused *logservice.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status, http.StatusTooManyRequests)
}

func TestAppendToClosedPortIsRefused(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client, err := logservice.NewLogClient(logservice.LogConfig{URL: server.URL})
	is.NoErr(err)
	defer client.Close()
	_, err = client.Append(t.Context(), "s", []byte("x"))
	var refused *logservice.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status, 0)
}

func TestAppendWithoutAnswerInTimeIsUnknown(t *testing.T) {
	is := is.New(t)
	// The store answers only after the client's timeout.
	store, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{Timeout: time.Millisecond})
	store.SetFaults(standin.StoreFaults{Delay: 100 * time.Millisecond})
	_, err := client.Append(t.Context(), "s", []byte("x"))
	var unknown *logservice.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
}

func TestReadReturnsStatusOfStoreThatIsDown(t *testing.T) {
	is := is.New(t)
	store, client := newLogClient(t, standin.StoreConfig{}, logservice.LogConfig{})
	store.SetFaults(standin.StoreFaults{Down: true})
	_, err := client.Read(t.Context(), "s", 1, 0, 10)
	var status *httpjson.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusServiceUnavailable)
}

func TestNewLogClientChecksConfig(t *testing.T) {
	for field, cfg := range map[string]logservice.LogConfig{
		"url":     {URL: "127.0.0.1:7100"},
		"backoff": {URL: "http://127.0.0.1:7100", Backoff: logservice.BackoffConfig{Min: 2, Max: 1}},
	} {
		is := is.New(t)
		_, err := logservice.NewLogClient(cfg)
		var configErr *logservice.ConfigError
		is.True(errors.As(err, &configErr))
		is.Equal(configErr.Field, field)
	}
}
