package backend_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/backend"
	"github.com/amaranthwell/amaranthwell/operator"
)

// Guards against tasks that start on the servers of a drained zone, and against running
// tasks there that are lost: their slots are occupied until they end.
func TestNoTaskStartsInADrainedZone(t *testing.T) {
	is := is.New(t)
	now := begin
	sched := newScheduler(t)
	sched.SetRoutes([]operator.Route{{Name: "previews", Pool: "editing", Share: 1}})
	rows := servers(2, 2)
	rows[0].Zone, rows[1].Zone = "hr-north-a", "hr-north-b"
	sched.SetServers(now, rows)
	for id := range 8 {
		sched.Push(now, backend.Task[int]{ID: id, Route: "previews"})
	}
	var inA []int
	for range 4 {
		start, ok := sched.Next(now)
		is.True(ok)
		if start.Server == rows[0].Address {
			inA = append(inA, start.ID)
		}
	}
	is.Equal(len(inA), 2)
	sched.SetDrainedZones([]string{"hr-north-a"})
	sched.SetServers(now, rows)
	is.Equal(sched.Running(rows[0].Address), 2)
	is.Equal(sched.Load().Slots, 2)
	for _, id := range inA {
		now = now.Add(time.Second)
		sched.Done(now, id, backend.Outcome{Kind: backend.Done})
	}
	is.Equal(sched.Running(rows[0].Address), 0)
	_, ok := sched.Next(now)
	is.True(!ok)
	sched.SetDrainedZones(nil)
	start, ok := sched.Next(now)
	is.True(ok)
	is.Equal(start.Server, rows[0].Address)
}
