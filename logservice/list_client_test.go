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
	"github.com/amaranthwell/amaranthwell/standin"
)

func TestListLagsAndFails(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	list := standin.NewInstances(standin.InstancesConfig{Lag: time.Second, Now: func() time.Time { return now }})
	server := httptest.NewServer(list)
	defer server.Close()
	client, err := logservice.NewListClient(logservice.ListConfig{URL: server.URL + "/"})
	is.NoErr(err)
	defer client.Close()

	address := netip.MustParseAddrPort("127.0.2.1:7000")
	list.Put(standin.Instance{Address: address, Kind: "entry", Zone: "hr-north-a", Leaving: true})
	got, err := client.List(t.Context())
	is.NoErr(err)
	is.Equal(len(got.Instances), 0)
	now = now.Add(time.Second)
	got, err = client.List(t.Context())
	is.NoErr(err)
	is.Equal(got.Instances, []logservice.Instance{
		{Address: address, Kind: logservice.EntryInstance, Zone: "hr-north-a", Leaving: true},
	})

	list.SetDown(true)
	_, err = client.List(t.Context())
	var status *httpjson.StatusError
	is.True(errors.As(err, &status))
}
