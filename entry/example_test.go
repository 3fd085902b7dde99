package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/operator"
)

// A single instance owns all jobs that reach it and holds all backend servers. The
// program that embeds it provides the clock, the sockets and the goroutines.
func ExampleInstance() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	i, err := entry.New(entry.Config{
		Self:        netip.MustParseAddrPort("127.0.2.1:7000"),
		Zone:        "hr-north-a",
		Incarnation: 1,
		Start:       now,
		Random:      rand.New(rand.NewPCG(1, 1)),
	})
	if err != nil {
		panic(err)
	}
	i.SetTables(now, &operator.Tables{
		Routes: []operator.Route{{Name: "previews", Pool: "editing", Share: 1, Timeout: time.Second}},
		Pools: []operator.Pool{{Name: "editing", Servers: []operator.Server{{
			Address: netip.MustParseAddrPort("127.0.1.1:9000"), Zone: "hr-north-a", Slots: 8,
		}}}},
	}, 1, nil)
	i.Submit(now, 1, caller.Job{Route: "previews", Tasks: [][]byte{[]byte("raw")}})
	for _, s := range i.Take(now).Starts {
		fmt.Printf("start %s on %v\n", s.Payload, s.Server)
		i.TaskDone(now, s.Task, backend.Outcome{Kind: backend.Done, Body: []byte("preview")})
	}
	for _, a := range i.Take(now).Answers {
		fmt.Printf("%s: %s\n", a.Answer.Status, a.Answer.Results)
	}
	// Output:
	// start raw on 127.0.1.1:9000
	// complete: [preview]
}
