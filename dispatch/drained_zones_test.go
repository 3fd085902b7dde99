package dispatch_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// zoneA is drained in the tests, and zoneB is not.
const (
	zoneA = "hr-north-a"
	zoneB = "hr-north-b"
)

// newTwoZoneInstance returns an instance of zoneB that knows one worker in each zone, and
// no list of drained zones.
func newTwoZoneInstance() *scriptedInstance {
	s := &scriptedInstance{now: simulationStart, clockStart: simulationStart}
	s.Instance = dispatch.NewInstance(s.now, dispatch.Config{
		Self: selfAddress, Zone: zoneB, Zones: []string{zoneA, zoneB}, Wall: s.now,
	})
	s.listTwoWorkers()
	return s
}

// listTwoWorkers has the instance read the worker table from the store.
func (s *scriptedInstance) listTwoWorkers() {
	var workers []dispatch.Worker
	for n, zone := range []string{zoneA, zoneB} {
		workers = append(workers, dispatch.Worker{
			ID: "w-" + zone, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80), Pool: "editor", Zone: zone,
			Capacity: dispatch.Resources{Millicores: 9000, Memory: 100}, Version: 1,
		})
	}
	s.SetWorkers(s.now, workers)
}

// leadBoth makes the instance lead both zones.
func (s *scriptedInstance) leadBoth() {
	for !s.Leading() {
		s.peerReplies(0)
		s.advance(10 * time.Millisecond)
	}
	s.RecordWorkersRead(s.now)
	for range 10 {
		s.peerReplies(0)
		s.advance(20 * time.Millisecond)
	}
}

// peerReplies delivers a reply of an instance of zoneA, with its list of drained zones.
func (s *scriptedInstance) peerReplies(revision uint64, drained ...string) {
	s.Receive(s.now, firstLeader, &peer.Envelope{Zone: zoneA, Beat: &peer.Beat{Reply: true, DrainedRevision: revision, DrainedZones: drained}})
}

// startsOf submits four jobs, and returns the workers on which their tasks start within
// 50 ms, in order and without duplicates.
func (s *scriptedInstance) startsOf(first int) []string {
	s.effects.Starts = nil
	for n := range 4 {
		s.Submit(s.now, dispatch.CallerID(first+n), s.job(fmt.Sprintf("%016x", first+n)))
	}
	s.advance(50 * time.Millisecond)
	var workers []string
	for _, start := range s.effects.Starts {
		workers = append(workers, start.Worker)
	}
	slices.Sort(workers)
	return slices.Compact(workers)
}

// events returns the subjects of the decisions with the given event.
func (s *scriptedInstance) events(event string) []string {
	var subjects []string
	for _, d := range s.effects.Decisions {
		if d.Event == event {
			subjects = append(subjects, d.Subject)
		}
	}
	return subjects
}

// Guards against a present leader that starts tasks in a drained zone, or that stops
// commanding the zone: its workers are polled as before.
func TestLeaderStartsNoTaskInADrainedZone(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	s.SetDrainedZones(s.now, 1, nil)
	s.leadBoth()
	is.Equal(s.startsOf(1), []string{"w-" + zoneA}) // the first of equal workers
	s.SetDrainedZones(s.now, 2, []string{zoneA})
	s.effects.Polls = nil
	is.Equal(s.startsOf(10), []string{"w-" + zoneB})
	s.advance(2 * time.Second)
	is.True(slices.ContainsFunc(s.effects.Polls, func(p dispatch.Poll) bool { return p.Worker == "w-"+zoneA }))
	is.Equal(s.DrainedZones(), []dispatch.DrainedZone{{Name: zoneA, Since: s.DrainedZones()[0].Since, Running: 4}})
	s.SetDrainedZones(s.now, 3, nil)
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.DrainedZones()), 0)
	is.Equal(s.events("zone-drained"), []string{zoneA})
	is.Equal(s.events("zone-returned"), []string{zoneA})
}

// Guards against a leader that has neither the store's list nor a peer's, and takes it for
// an empty one, as after a start while the store is down.
func TestLeaderWithoutAListStartsNothing(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	s.leadBoth()
	is.Equal(s.startsOf(1), nil)
	s.peerReplies(0) // a peer that knows no list either
	is.Equal(s.startsOf(10), nil)
	s.peerReplies(1, zoneA) // the first list comes from a peer
	is.Equal(s.startsOf(20), []string{"w-" + zoneB})
}

// Guards against a new leader that does not know what its predecessor knew. The store has
// refused it since its start, and the request arrived just before the leader died.
func TestNewLeaderKnowsTheDrainedZonesOfItsPredecessor(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	for range 20 {
		s.Receive(s.now, secondLeader, &peer.Envelope{Zone: zoneB, Beat: &peer.Beat{
			Leads: []*peer.Lead{{Zone: zoneA, Term: 1024}, {Zone: zoneB, Term: 1024}}, DrainedRevision: 7, DrainedZones: []string{zoneA},
		}})
		s.advance(50 * time.Millisecond)
	}
	s.leadBoth()
	is.Equal(s.startsOf(1), []string{"w-" + zoneB})
}

// Guards against a leader that was paused while a zone was drained. It has to lead again
// before it starts tasks, and learns of the request by then.
func TestLeaderThatWasPausedLearnsOfADrainedZone(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	s.SetDrainedZones(s.now, 1, nil)
	s.leadBoth()
	s.effects.Starts = nil
	s.now = s.now.Add(3 * time.Second) // paused
	for n := range 4 {
		s.Submit(s.now, dispatch.CallerID(n), s.job(fmt.Sprintf("%016x", n)))
	}
	s.advance(10 * time.Millisecond)
	is.True(!s.Leading())
	s.peerReplies(2, zoneA)
	s.leadBoth()
	is.Equal(s.startsOf(10), []string{"w-" + zoneB})
	for _, start := range s.effects.Starts {
		is.Equal(start.Worker, "w-"+zoneB)
	}
}

// Guards against a leader that was cut off from the store and all peers, so that the
// request arrived during the cut, and that takes an older list for the latest one
// afterwards: the present leader's heartbeat and a late answer of the store may arrive in
// any order.
func TestLeaderThatWasCutOffLearnsOfADrainedZone(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	s.SetDrainedZones(s.now, 1, nil)
	s.leadBoth()
	s.advance(5 * time.Second)
	is.Equal(s.startsOf(20), []string{"w-" + zoneA}) // the last known list applies
	s.peerReplies(3, zoneA)
	s.SetDrainedZones(s.now, 2, nil)
	s.peerReplies(1)
	is.Equal(s.startsOf(1), []string{"w-" + zoneB})
	is.Equal(s.events("zone-returned"), nil)
}

// Guards against a leader that has just read a worker table from before the request, or one
// that lists the zone's workers as new.
func TestStaleWorkerTableDoesNotReturnADrainedZone(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	s.SetDrainedZones(s.now, 2, []string{zoneA})
	s.leadBoth()
	s.listTwoWorkers()
	s.advance(100 * time.Millisecond)
	s.SetWorkers(s.now, nil)
	s.advance(4 * time.Second)
	s.listTwoWorkers()
	s.advance(100 * time.Millisecond)
	is.Equal(s.startsOf(1), []string{"w-" + zoneB})
}

// Guards against lists that are mixed up when a request is repeated, and when a second
// zone is drained before the first is back.
func TestRepeatedAndOverlappingDrainRequests(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	s.SetDrainedZones(s.now, 1, nil)
	s.leadBoth()
	s.SetDrainedZones(s.now, 2, []string{zoneA})
	since := s.DrainedZones()[0].Since
	s.advance(100 * time.Millisecond)
	s.SetDrainedZones(s.now, 3, []string{zoneA}) // the same request again
	s.advance(10 * time.Millisecond)
	is.Equal(s.events("zone-drained"), []string{zoneA})
	is.Equal(s.DrainedZones()[0].Since, since)
	s.SetDrainedZones(s.now, 4, []string{zoneA, zoneB})
	is.Equal(s.startsOf(1), nil)
	s.SetDrainedZones(s.now, 5, []string{zoneB})
	is.Equal(s.startsOf(10), []string{"w-" + zoneA})
	is.Equal(s.events("zone-drained"), []string{zoneA, zoneB})
	is.Equal(s.events("zone-returned"), []string{zoneA})
}

// Guards against jobs that wait in vain while all zones are drained: they are refused at
// once, as not run. A pool of which a zone that is not drained has a worker is served, even
// if that worker does not answer at present.
func TestJobsAreRefusedAtOnceWhenAllZonesAreDrained(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	s.SetDrainedZones(s.now, 1, []string{zoneA})
	s.leadBoth()
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-other", Address: netip.MustParseAddrPort("10.0.1.9:80"), Pool: "other", Zone: zoneB, Leaving: true,
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	s.advance(10 * time.Millisecond)
	s.SetDrainedZones(s.now, 2, []string{zoneA, zoneB})
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	other := s.job("5c0e7a21d94b36f9")
	other.Pool = "none" // no worker at all, for which no drained zone is the reason
	s.Submit(s.now, 2, other)
	s.advance(10 * time.Millisecond)
	ends := s.endsOf("5c0e7a21d94b36f8")
	is.Equal(len(ends), 1)
	is.Equal(ends[0].State, dispatch.NotRun)
	is.Equal(ends[0].Reason, "drained")
	is.True(ends[0].RetryAfter > 0)
	is.Equal(s.endsOf("5c0e7a21d94b36f9"), nil)
}

// Guards against a job that is given up while its tasks run in a drained zone: they end
// normally. What then remains of the job cannot be started and is given up.
func TestTasksInADrainedZoneEndNormally(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.Submit(s.now, 1, s.large("5c0e7a21d94b36f8", 2))
	s.Submit(s.now, 2, s.large("5c0e7a21d94b36f9", 3))
	s.advance(10 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	start := s.effects.Starts[0]
	s.StartDone(s.now, start, dispatch.Accepted, s.now.Sub(s.clockStart))
	s.SetDrainedZones(s.now, 2, []string{zoneA})
	s.report.Running = []dispatch.RunningTask{{Task: start.Task, Number: start.Number}}
	s.advance(100 * time.Millisecond)
	is.Equal(s.endsOf("5c0e7a21d94b36f9")[0].State, dispatch.NotRun)
	is.Equal(len(s.endsOf("5c0e7a21d94b36f8")), 0)
	is.Equal(len(s.effects.Stops), 0)
	is.Equal(s.DrainedZones()[0].Running, 1)
	s.report.Running = nil
	s.report.Finished = []dispatch.FinishedTask{{Sequence: 1, Task: start.Task, Number: start.Number, Result: dispatch.RunSucceeded}}
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
	is.Equal(len(s.effects.Stops), 0)
	is.Equal(s.endsOf("5c0e7a21d94b36f8")[0].State, dispatch.Overdue) // one of its tasks has run
	is.Equal(s.DrainedZones()[0].Running, 0)
}

// Guards against a new leader of a drained zone that gives up a job, or stops its run, of
// which the former leader started a task there.
func TestNewLeaderOfADrainedZoneAdoptsItsRuns(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	task := dispatch.TaskID{Job: "5c0e7a21d94b36f8"}
	s.report.Running = []dispatch.RunningTask{{Task: task, Number: 1, Percent: 10}}
	s.SetDrainedZones(s.now, 2, []string{zoneA})
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: zoneA,
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100},
	})
	s.holdPolls = true
	for !s.Leading() {
		s.Receive(s.now, secondLeader, &peer.Envelope{Zone: zoneA, Beat: &peer.Beat{Reply: true}})
		s.advance(10 * time.Millisecond)
	}
	s.RecordWorkersRead(s.now)
	s.forward(&peer.Job{
		Id: task.Job, Pool: "editor", MaxAttempts: 1, Stretch: 2, SlackNanos: int64(time.Second), PatienceNanos: int64(5 * time.Second),
		Round: 1, SettleNanos: int64(time.Second), Steps: []*peer.Step{{Tasks: 1, Millicores: 1000, EstimateNanos: int64(time.Second)}},
	})
	s.advance(50 * time.Millisecond) // the worker has not answered yet
	is.Equal(s.events("job-overdue"), nil)
	s.holdPolls = false
	s.answerPolls(s.heldPolls)
	for range 30 {
		s.Receive(s.now, firstLeader, &peer.Envelope{Zone: zoneA, Beat: &peer.Beat{Reply: true, EchoNanos: s.now.UnixNano()}})
		s.report.Running[0].Percent++
		s.advance(20 * time.Millisecond)
	}
	is.Equal(len(s.effects.Stops), 0)
	is.Equal(s.events("run-adopted"), []string{task.Job})
	is.Equal(s.events("job-overdue"), nil)
}

// Guards against a surge on the workers of a zone that returns, which may have restarted:
// of equally fast workers those whose speeds are known get tasks first.
func TestReturnedZoneIsNotPreferred(t *testing.T) {
	is := is.New(t)
	s := newTwoZoneInstance()
	s.SetDrainedZones(s.now, 1, []string{zoneA})
	s.leadBoth()
	s.SetDrainedZones(s.now, 2, nil)
	is.Equal(s.startsOf(1), []string{"w-" + zoneB})
	s.Submit(s.now, 9, s.large("5c0e7a21d94b36f8", 1)) // fits only on the idle worker
	s.advance(10 * time.Millisecond)
	is.Equal(s.effects.Starts[len(s.effects.Starts)-1].Worker, "w-"+zoneA)
}
