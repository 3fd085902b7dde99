package dispatch_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/peer"
)

// versionedWorker returns an entry of the worker w-1.
func versionedWorker(version int64, leaving bool) dispatch.Worker {
	return dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: "hr-north-a",
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100}, Leaving: leaving, Version: version,
	}
}

// peerEntry returns the entry of the worker w-1 as a peer sends it.
func peerEntry(version int64, revision uint64) *peer.Worker {
	return &peer.Worker{
		Id: "w-1", Address: "10.0.1.1:80", Pool: "editor", Zone: "hr-north-a", Millicores: 9000, MemoryMib: 100,
		Version: version, Revision: revision,
	}
}

// removedEntry returns the removal of the worker w-1 as a peer sends it.
func removedEntry() *peer.Worker {
	return &peer.Worker{Id: "w-1", Zone: "hr-north-a", Gone: true, Version: 9, Revision: tableRevision}
}

// receiveTable delivers a heartbeat of the leader of a zone, with entries of its worker
// table.
func (s *scriptedInstance) receiveTable(leader netip.AddrPort, zone string, term uint64, entries ...*peer.Worker) {
	s.Receive(s.now, leader, &peer.Envelope{
		Zone: zone, Workers: entries,
		Beat: &peer.Beat{Leads: []*peer.Lead{{Zone: zone, Term: term}}, TableRevision: tableRevision},
	})
}

// tableRevision is the newest revision of the leaders' worker tables.
const tableRevision = 7

// takeOverFrom makes a leader leave and name the instance as its successor.
func (s *scriptedInstance) takeOverFrom(leader netip.AddrPort, term uint64) {
	s.Receive(s.now, leader, &peer.Envelope{
		Zone: "hr-north-a", Leaving: true,
		Beat: &peer.Beat{Leads: []*peer.Lead{{Zone: "hr-north-a", Term: term}}, Successor: selfAddress.String()},
	})
	s.advance(20 * time.Millisecond)
}

// Guards against tasks that start on a leaving worker, because an older entry of the
// worker, sent by another leader, has replaced the newer one.
func TestOlderEntryFromPeerDoesNotReplaceNewerOne(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.SetWorker(s.now, versionedWorker(8, true))
	laterTerm := uint64(1) << 62
	s.receiveTable(secondLeader, "hr-north-a", laterTerm, peerEntry(3, tableRevision))
	s.advance(20 * time.Millisecond)
	is.True(!s.Leading())
	s.takeOverFrom(secondLeader, laterTerm)
	is.True(s.Leading())
	s.RecordWorkersRead(s.now)
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 0)

	// The worker stays after all: the later entry counts.
	s.SetWorker(s.now, versionedWorker(9, false))
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
}

// Guards against instances that send each other whole worker tables without end, because
// one leader lists a worker that another leader has removed.
func TestRemovalByLeaderOfAnotherZoneRequestsNoTableAgain(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.receiveTable(firstLeader, "hr-north-a", 1024, peerEntry(3, tableRevision))
	s.receiveTable(secondLeader, "hr-north-b", 1024, removedEntry())
	s.Take(s.now)

	s.now = s.now.Add(100 * time.Millisecond)
	s.receiveTable(firstLeader, "hr-north-a", 1024)
	s.receiveTable(secondLeader, "hr-north-b", 1024)
	replies := 0
	for _, send := range s.Take(s.now).Sends {
		replies++
		is.Equal(send.Envelope.Beat.WorkersRevision, uint64(tableRevision)) // up to there the instance has the peer's table
	}
	is.Equal(replies, 2)
}

// Guards against tasks that a new leader starts on a leaving worker, because it uses a
// worker table that it has not read from the store for long.
func TestNewLeaderReadsTheWorkerTableBeforeItStartsTasks(t *testing.T) {
	for _, test := range []struct {
		name     string
		answered bool
	}{{"the store answers", true}, {"the store is down", false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedInstance()
			s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
			s.SetWorker(s.now, versionedWorker(3, false))
			s.RecordWorkersRead(s.now)
			s.heartbeats(firstLeader, 1024, 2*time.Second)
			s.takeOverFrom(firstLeader, 1024)
			is.True(s.Leading())
			job := s.job("5c0e7a21d94b36f8")
			job.Slack = 2 * time.Second
			s.Submit(s.now, 1, job)
			s.advance(100 * time.Millisecond)
			is.Equal(len(s.effects.Starts), 0) // the table is 2 s old
			if test.answered {
				s.RecordWorkersRead(s.now)
				s.advance(10 * time.Millisecond)
			} else {
				s.advance(300 * time.Millisecond)
			}
			is.Equal(len(s.effects.Starts), 1)
		})
	}
}

// Guards against a new leader that forgets a worker, which the store has not listed for
// long, before it knows what is running there.
func TestNewLeaderPollsWorkersThatAreNotListed(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.SetWorker(s.now, versionedWorker(3, false))
	s.heartbeats(firstLeader, 1024, 500*time.Millisecond)
	s.RemoveWorker(s.now, "w-1")
	s.heartbeats(firstLeader, 1024, 5*time.Second)
	s.report.Running = []dispatch.RunningTask{{Task: dispatch.TaskID{Job: "5c0e7a21d94b36f9"}, Number: 3, Percent: 10}}
	s.takeOverFrom(firstLeader, 1024)
	s.advance(500 * time.Millisecond)
	is.True(len(s.effects.Stops) > 0) // the run was found, and its job was not forwarded
}

// Guards against tasks that a leader starts on a leaving worker although another leader has
// sent it the entry, while the store does not answer the leader itself.
func TestLeaderLearnsFromPeersThatAWorkerLeaves(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.SetWorker(s.now, versionedWorker(3, false))
	leaving := peerEntry(8, 1)
	leaving.Leaving = true
	s.receiveTable(firstLeader, "hr-north-b", 1024, leaving)
	s.receiveTable(firstLeader, "hr-north-b", 1024, peerEntry(5, 2)) // an older one, as from a third instance
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 0)
}

// Guards against a worker that is not used, because the leader of another zone has removed
// it while its own zone's leader lists it.
func TestRemovalByLeaderOfAnotherZoneKeepsTheWorker(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.receiveTable(firstLeader, "hr-north-a", 1024, peerEntry(3, tableRevision))
	s.receiveTable(secondLeader, "hr-north-b", 1024, removedEntry())
	s.takeOverFrom(firstLeader, 1024)
	s.RecordWorkersRead(s.now)
	s.Submit(s.now, 1, s.job("5c0e7a21d94b36f8"))
	s.advance(20 * time.Millisecond)
	is.Equal(len(s.effects.Starts), 1)
}

// Guards against a worker that stays unknown, because its entry was ignored before the
// sender came to lead the worker's zone.
func TestTableOfANewLeaderIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.heartbeat(firstLeader, 1024)
	s.receiveTable(secondLeader, "hr-north-b", 1024, peerEntry(0, tableRevision)) // version 0: an instance that does not know it
	s.heartbeat(secondLeader, 2048)                                               // leads zone a from now on
	s.advance(20 * time.Millisecond)
	s.effects = dispatch.Effects{}
	s.heartbeat(secondLeader, 2048)
	s.advance(20 * time.Millisecond)
	var revisions []uint64
	for _, send := range s.effects.Sends {
		if send.To == secondLeader {
			revisions = append(revisions, send.Envelope.Beat.WorkersRevision)
		}
	}
	is.Equal(revisions, []uint64{0}) // the whole table
}
