package entry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/operator"
)

// drainZones puts tables in force at all instances that drain zones of the only pool.
func (sim *simulation) drainZones(offset uint64, zones ...string) {
	tables := *sim.tables
	tables.Pools = []operator.Pool{{Name: "editing", Servers: sim.tables.Pools[0].Servers, DrainedZones: zones}}
	sim.tables = &tables
	for n := range len(sim.nodes) {
		sim.deliver(sim.nodes[instanceAddress(n)], func(now time.Time, i *entry.Instance) { i.SetTables(now, &tables, offset, []byte("snapshot")) })
	}
}

// startsIn reports whether a task has started on a server of zone since a time.
func (sim *simulation) startsIn(zone string, since time.Time) bool {
	return slices.ContainsFunc(sim.tables.Pools[0].Servers, func(s operator.Server) bool {
		return s.Zone == zone && sim.startedAt[s.Address].After(since)
	})
}

// Guards against tasks that start on the servers of a zone that the tables drain, at
// several moments of an overload, and against running or waiting tasks that are lost: all
// jobs complete, and each task is started once. Tasks start there again once the zone is
// back.
func TestNoTaskStartsInAZoneThatTheTablesDrain(t *testing.T) {
	for moment := 50 * time.Millisecond; moment <= 500*time.Millisecond; moment += 50 * time.Millisecond {
		t.Run(moment.String(), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(9, 3, 6)
			sim.run(settleTime)
			var ids []entry.CallerID
			for range 10 {
				ids = append(ids, sim.submit(instanceAddress(1), caller.Job{Route: "thumbnails", Tasks: payloads(100)}))
			}
			sim.run(moment)
			is.True(sim.startsIn("a", simulationStart))
			sim.drainZones(2, "a")
			sim.run(10 * time.Millisecond) // starts that are under way
			drained := sim.now
			sim.run(15 * time.Second)
			is.True(!sim.startsIn("a", drained))
			is.True(sim.startsIn("b", drained))
			for _, id := range ids {
				is.Equal(len(sim.answers[id]), 1)
				is.Equal(sim.answers[id][0].Status, caller.Complete)
			}
			is.Equal(len(sim.starts), 1000) // 10 jobs of 100 tasks
			for _, n := range sim.starts {
				is.Equal(n, 1)
			}
			sim.drainZones(3)
			returned := sim.now
			sim.submit(instanceAddress(1), caller.Job{Route: "thumbnails", Tasks: payloads(100)})
			sim.run(5 * time.Second)
			is.True(sim.startsIn("a", returned))
		})
	}
}

// Guards against jobs that wait until their timeout while all zones are drained: they are
// refused at once, and no task starts.
func TestJobsAreRefusedWhenAllZonesOfAPoolAreDrained(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(10, 3, 6)
	sim.run(settleTime)
	sim.drainZones(2, "a", "b", "c")
	id := sim.submit(instanceAddress(0), caller.Job{Route: "thumbnails", Tasks: payloads(3)})
	sim.run(50 * time.Millisecond)
	is.Equal(len(sim.answers[id]), 1)
	is.Equal(sim.answers[id][0].Status, caller.NotRun)
	is.Equal(sim.answers[id][0].Reason, caller.ReasonDrained)
	is.Equal(len(sim.starts), 0)
}
