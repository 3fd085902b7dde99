package dispatch_test

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/dispatch"
)

// previewed returns the preview of a job, and checks that it has no effects.
func (s *scriptedInstance) previewed(is *is.I, home string, job dispatch.Job) dispatch.Preview {
	is.Helper()
	s.holdPolls = true // an answer would be followed by the next poll
	s.take()
	p := s.Preview(s.now, home, job)
	is.Equal(s.Take(s.now), dispatch.Effects{})
	is.Equal(s.Preview(s.now, home, job), p)
	s.holdPolls = false
	s.answerPolls(s.heldPolls)
	s.heldPolls = nil
	return p
}

// leave marks the worker of the home zone as leaving.
func (s *scriptedInstance) leave() {
	s.SetWorker(s.now, dispatch.Worker{
		ID: "w-1", Address: netip.MustParseAddrPort("10.0.1.1:80"), Pool: "editor", Zone: homeZone,
		Capacity: dispatch.Resources{Millicores: 9000, Memory: 100}, Leaving: true,
	})
}

// TestPreviewIsWhatHappensToTheJob guards against a preview that differs from the decision
// about the same job when it is submitted at the same time, for leaders with free, busy,
// drained and lost workers.
func TestPreviewIsWhatHappensToTheJob(t *testing.T) {
	for _, test := range []struct {
		name     string
		tasks    int
		prepare  func(*scriptedInstance)
		outcome  dispatch.PreviewOutcome
		reason   string
		to       string
		fit      int
		obstacle string
	}{
		{"free", 1, func(s *scriptedInstance) { s.lead() }, dispatch.PreviewStarts, "", "", 1, ""},
		{"two of three tasks", 3, func(s *scriptedInstance) {
			s.lead()
			s.addWorkers("editor", 2, 1)
			s.advance(50 * time.Millisecond)
		}, dispatch.PreviewWaits, "busy", "", 2, ""},
		{"overloaded", 1, func(s *scriptedInstance) {
			s.lead()
			s.occupy("5c0e7a21d94b36f8", time.Second)
		}, dispatch.PreviewRefused, "no-capacity", "", 0, "busy"},
		{"drained", 1, func(s *scriptedInstance) {
			s.lead()
			s.SetDrainedZones(s.now, 2, []string{homeZone})
		}, dispatch.PreviewRefused, "drained", "", 0, "drained"},
		{"no workers", 1, func(s *scriptedInstance) {
			s.lead()
			s.RemoveWorker(s.now, "w-1")
			s.advance(3 * time.Second)
		}, dispatch.PreviewWaits, "no-workers", "", 0, ""},
		{"redirected", 1, func(s *scriptedInstance) {
			s.Instance = newInstanceOfTwoZones().Instance
			s.leadHomeZone()
			s.leave()
			s.leadsWithRoom()
		}, dispatch.PreviewRedirected, "no-workers", otherZone, 0, "leaving"},
		{"zone lost, others full", 1, func(s *scriptedInstance) {
			s.Instance = newInstanceOfTwoZones().Instance
			s.leadHomeZone()
			s.leave()
		}, dispatch.PreviewWaits, "leaving", "", 0, "leaving"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedInstance()
			test.prepare(s)
			job := s.large("5c0e7a21d94b36f9", test.tasks)
			p := s.previewed(is, "", job)
			is.Equal(p.Leader.Address, selfAddress)
			is.True(p.Decision != nil)
			d := p.Decision
			t.Logf("%+v", *d)
			is.Equal(d.Outcome, test.outcome)
			is.Equal(d.Reason, test.reason)
			is.Equal(d.RedirectedTo, test.to)
			is.Equal(d.Workers.Fit, test.fit)
			is.Equal(d.Outcome != dispatch.PreviewStarts && d.Start != nil, d.Start != nil && *d.Start > 0)
			if test.obstacle != "" {
				is.Equal(d.Workers.Others[test.obstacle], 1)
			}
			is.Equal(d.Outcome == dispatch.PreviewStarts, len(d.Workers.Chosen) == test.tasks)
			s.checkOutcome(is, job, d)
		})
	}
}

// checkOutcome submits job and checks that it goes where d says.
func (s *scriptedInstance) checkOutcome(is *is.I, job dispatch.Job, d *dispatch.PreviewDecision) {
	is.Helper()
	s.effects = dispatch.Effects{}
	s.Submit(s.now, 2, job)
	s.take()
	starts := []string{}
	for _, start := range s.effects.Starts {
		starts = append(starts, start.Worker)
	}
	chosen := []string{}
	for _, w := range d.Workers.Chosen {
		chosen = append(chosen, w.ID)
	}
	is.Equal(starts, chosen)
	ends := s.endsOf(job.ID)
	is.Equal(len(ends) > 0, d.Outcome == dispatch.PreviewRefused)
	for _, end := range ends {
		is.Equal(end.Reason, d.Reason)
		is.True(end.RetryAfter >= time.Duration(d.RetryAfter) && end.RetryAfter <= time.Duration(d.RetryAfterLatest))
	}
	s.advance(20 * time.Millisecond) // a redirect is decided at the next tick
	sent := s.jobSent(secondLeader)
	is.Equal(sent != nil, d.Outcome == dispatch.PreviewRedirected)
	if sent != nil {
		is.Equal(sent.Zone, d.RedirectedTo)
	}
}

// TestPreviewAtAReceiver guards against a receiver that names no leader, or that decides
// without leading. Without a leader it would refuse the job itself.
func TestPreviewAtAReceiver(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	p := s.previewed(is, "", s.job("1"))
	is.Equal(p.Leader, nil)
	is.Equal(p.Decision, nil)

	s.follow(500*time.Millisecond, secondLeader, 2048)
	p = s.previewed(is, "", s.job("1"))
	is.Equal(p.Refusal, "")
	is.Equal(p.Home, homeZone)
	is.Equal(p.Leader.Address, firstLeader)
	is.Equal(p.Leader.Term, uint64(1024))
	is.True(p.Leader.Live)
	is.Equal(p.Leader.Age, dispatch.Millis(50*time.Millisecond))
	is.Equal(p.Decision, nil)
	is.Equal(p.WorkersAge, nil)
	p = s.previewed(is, otherZone, s.job("1")) // for a receiver of the other zone
	is.Equal(p.Leader.Address, secondLeader)

	s.Close(s.now, s.now)
	p = s.previewed(is, "", s.job("1"))
	is.Equal(p.Refusal, "leaving")
	is.True(p.RetryAfter >= dispatch.Millis(time.Second))
}

// TestPreviewWithoutALeader guards against a preview that names a leader that is lost.
func TestPreviewWithoutALeader(t *testing.T) {
	is := is.New(t)
	s := newInstanceOfTwoZones()
	s.follow(500*time.Millisecond, secondLeader, 2048)
	for range 200 {
		s.leads(secondLeader, otherZone, 2048)
		s.now = s.now.Add(10 * time.Millisecond)
		if p := s.Preview(s.now, "", s.job("1")); !p.Leader.Live {
			is.Equal(p.Decision, nil)
			return
		}
	}
	t.Fatal("the lost leader stays live")
}

// TestPreviewShowsTheQueueAhead guards against a preview that omits the jobs ahead or counts
// those behind.
func TestPreviewShowsTheQueueAhead(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	s.occupy("5c0e7a21d94b36f8", 60*time.Millisecond)
	for n, urgency := range []int{0, 0, 3} {
		j := s.large([]string{"a", "b", "c"}[n], 1)
		j.Urgency, j.Slack = urgency, 2*time.Second
		s.Submit(s.now, dispatch.CallerID(2+n), j)
	}
	j := s.large("d", 1)
	j.Urgency, j.Slack = 1, 2*time.Second
	d := s.previewed(is, "", j).Decision
	is.Equal(d.Outcome, dispatch.PreviewWaits)
	is.Equal(d.Reason, "busy")
	is.Equal(len(d.Ahead), 1)
	is.Equal(d.Ahead[0].Jobs, 2)
	is.Equal(d.Ahead[0].Urgency, 0)
	is.True(d.Ahead[0].CoreSeconds > 0.9 && d.Ahead[0].CoreSeconds < 1.2) // 2 jobs, 9 cores, 60 ms
	is.True(*d.Start > 0 && *d.End > *d.Start)
}

// TestPreviewChangesNoLaterDecision runs two equal floods of a leader, one of them with many
// previews. A preview that changes the queue, an estimate, the demand or a size would change
// later starts and refusals.
func TestPreviewChangesNoLaterDecision(t *testing.T) {
	is := is.New(t)
	var models [2]*loadModel
	outcomes := make(map[dispatch.PreviewOutcome]int)
	for n := range models {
		m := newLoadModel(7)
		models[n] = m
		var probe func()
		probe = func() {
			m.after(7*time.Millisecond, probe)
			if n == 0 {
				return
			}
			for _, k := range modelKinds {
				d := m.Preview(m.now, "", dispatch.Job{
					Route: k.route, Pool: "editor", Urgency: k.urgency, Stretch: 1.6, Slack: 60 * time.Millisecond, CallerDeadline: m.now.Add(modelPatience),
					Steps: []dispatch.Step{{Tasks: 2 * k.tasks, Needs: dispatch.Resources{Millicores: modelTaskCPU, Memory: 10}, Estimate: k.run}},
				}).Decision
				outcomes[d.Outcome]++
			}
		}
		m.after(0, probe)
		m.flood(3*time.Second, [3]float64{2.2, 2.2, 2.2})
		m.run(time.Second)
	}
	t.Logf("%v", outcomes)
	for _, outcome := range []dispatch.PreviewOutcome{dispatch.PreviewStarts, dispatch.PreviewWaits, dispatch.PreviewRefused} {
		is.True(outcomes[outcome] > 0)
	}
	is.True(len(models[0].decisions) > 100)
	is.True(reflect.DeepEqual(models[0].decisions, models[1].decisions))
	is.True(reflect.DeepEqual(models[0].starts, models[1].starts))
}

// TestPreviewAsJSON guards against durations without a unit or that lose their value.
func TestPreviewAsJSON(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.lead()
	p := s.previewed(is, "", s.job("1"))
	text, err := json.Marshal(p)
	is.NoErr(err)
	var decoded dispatch.Preview
	is.NoErr(json.Unmarshal(text, &decoded))
	is.Equal(decoded.Decision.Objective, p.Decision.Objective)
	is.Equal(decoded.Decision.Workers, p.Decision.Workers)
	var fields map[string]any
	is.NoErr(json.Unmarshal(text, &fields))
	is.Equal(fields["decision"].(map[string]any)["objective_ms"], 210.0) // 2 x 60 ms + 100 ms - 10 ms
}
