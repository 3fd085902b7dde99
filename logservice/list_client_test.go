package logservice_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/httpjson"
	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/peer"
	"github.com/amaranthwell/amaranthwell/platform"
	"github.com/amaranthwell/amaranthwell/standin"
)

// newListClient returns a client of store. The client is closed when the test ends.
func newListClient(t *testing.T, store *standin.Store) *logservice.ListClient {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client, err := logservice.NewListClient(logservice.ListConfig{URL: server.URL + "/"})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// TestListHoldsServersAndAnnouncedInstances checks that unreadable entries of the
// store and entry instances without recent announcements are not listed.
func TestListHoldsServersAndAnnouncedInstances(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore(standin.StoreConfig{})
	client := newListClient(t, store)
	now := time.Unix(100, 0)
	server := standin.NewLeasedWorker(standin.LeasedWorkerConfig{ID: "w-1", MaxTasks: 1})
	store.Put(platform.WorkerTopic, "w-1", server.ListRecord("editor", "127.0.1.1:9000", "hr-north-a"))
	store.Put(platform.WorkerTopic, "w-2", []byte("left by another writer"))
	self := peer.Instance{Address: netip.MustParseAddrPort("127.0.2.1:7000"), Kind: peer.EntryInstance, Zone: "hr-north-a"}
	is.NoErr(client.Announce(t.Context(), self))

	list, err := client.List(t.Context(), now)
	is.NoErr(err)
	is.Equal(list.Instances, []peer.Instance{
		{Address: netip.MustParseAddrPort("127.0.1.1:9000"), Kind: peer.BackendServer, Zone: "hr-north-a"},
		self,
	})

	// A leaving instance is listed as leaving, and is no longer listed once its
	// announcement is too old.
	self.Leaving = true
	is.NoErr(client.Announce(t.Context(), self))
	now = now.Add(time.Minute)
	list, err = client.List(t.Context(), now)
	is.NoErr(err)
	is.Equal(list.Instances[1], self)
	now = now.Add(time.Minute)
	list, err = client.List(t.Context(), now)
	is.NoErr(err)
	is.Equal(len(list.Instances), 1)
}

func TestListFailsWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore(standin.StoreConfig{})
	client := newListClient(t, store)
	store.SetDown(true)
	_, err := client.List(t.Context(), time.Unix(100, 0))
	var status *httpjson.StatusError
	is.True(errors.As(err, &status))
}
