package operator_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/amaranthwell/amaranthwell/operator"
)

// TestMain fixes the seed of random schedules unless the command line gives one.
// The seed reproduces a failing schedule, so rapid need not write a file for it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		mustSet("rapid.seed", "20261204")
	}
	mustSet("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func mustSet(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// newTables returns tables with one route, which has the given share.
func newTables(share int) *operator.Tables {
	return &operator.Tables{
		Routes: []operator.Route{{
			Name: "previews", Pool: "editing", Urgency: 90, Share: share, Timeout: 5 * time.Second, Cores: 0.5,
		}},
		Pools: []operator.Pool{{Name: "editing", Servers: []operator.Server{{
			Address: netip.MustParseAddrPort("127.0.0.1:7000"), Zone: "hr-north-a", Rack: "rack-1",
			Slots: 8, Connections: 64, Cores: 16, MemoryMiB: 65536,
		}}}},
	}
}

// newID returns the n-th ID of a fixed sequence.
func newID(n int) uuid.UUID {
	return uuid.NewSHA1(uuid.NameSpaceOID, fmt.Append(nil, n))
}

// newEdit returns an edit with the n-th ID and author, whose tables have one route with
// the given share.
func newEdit(n int, base uint64, share int) operator.Edit {
	return operator.Edit{
		ID: newID(n), Author: fmt.Sprintf("author-%d", n), Base: base,
		At: time.Date(2026, 12, 4, 9, 0, n, 0, time.UTC), Tables: newTables(share),
	}
}

// mustEncode returns the record of an edit.
func mustEncode(e operator.Edit) []byte {
	body, err := e.Encode()
	if err != nil {
		panic(err)
	}
	return body
}
