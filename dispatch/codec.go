package dispatch

import (
	"net/netip"
	"time"

	"github.com/amaranthwell/amaranthwell/peer"
)

func encodeJob(now time.Time, j Job) *peer.Job {
	out := &peer.Job{
		Id:            j.ID,
		Route:         j.Route,
		Pool:          j.Pool,
		Urgency:       int32(j.Urgency),
		MaxAttempts:   int32(j.MaxAttempts),
		Stretch:       float32(j.Stretch),
		SlackNanos:    int64(j.Slack),
		Spec:          []byte(j.Spec),
		AgeNanos:      int64(now.Sub(j.Arrived)),
		PatienceNanos: int64(j.CallerDeadline.Sub(now)),
		Round:         uint32(j.EarlierLeaders),
		Zone:          j.Zone,
	}
	if j.EarlierLeaders > 0 {
		out.SettleNanos = int64(j.EarlierRunsEndBy.Sub(now))
	}
	for _, s := range j.Steps {
		step := &peer.Step{
			Tasks:         uint32(s.Tasks),
			Millicores:    uint32(s.Needs.Millicores),
			MemoryMib:     uint32(s.Needs.Memory),
			Accelerators:  uint32(s.Needs.Accelerators),
			EstimateNanos: int64(s.Estimate),
			Label:         s.Label,
			Rack:          s.Rack,
			MaxPerWorker:  uint32(s.MaxPerWorker),
		}
		for _, before := range s.After {
			step.After = append(step.After, uint32(before))
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

func decodeJob(now time.Time, j *peer.Job) Job {
	out := Job{
		ID:               j.Id,
		Route:            j.Route,
		Pool:             j.Pool,
		Urgency:          int(j.Urgency),
		MaxAttempts:      int(j.MaxAttempts),
		Stretch:          float64(j.Stretch),
		Slack:            time.Duration(j.SlackNanos),
		Spec:             string(j.Spec),
		Arrived:          now.Add(-time.Duration(j.AgeNanos)),
		CallerDeadline:   now.Add(time.Duration(j.PatienceNanos)),
		EarlierLeaders:   int(j.Round),
		EarlierRunsEndBy: now.Add(time.Duration(j.SettleNanos)),
		Zone:             j.Zone,
	}
	for _, s := range j.Steps {
		step := Step{
			Tasks:        int(s.Tasks),
			Needs:        Resources{Millicores: int(s.Millicores), Memory: int(s.MemoryMib), Accelerators: int(s.Accelerators)},
			Estimate:     time.Duration(s.EstimateNanos),
			Label:        s.Label,
			Rack:         s.Rack,
			MaxPerWorker: int(s.MaxPerWorker),
		}
		for _, before := range s.After {
			step.After = append(step.After, int(before))
		}
		out.Steps = append(out.Steps, step)
	}
	return out
}

func encodeEnd(e End) *peer.JobEnd {
	return &peer.JobEnd{Id: e.ID, State: peer.JobState(e.State), Reason: e.Reason, RetryAfterNanos: int64(e.RetryAfter), Zone: e.Zone}
}

func decodeEnd(e *peer.JobEnd) End {
	return End{ID: e.Id, State: State(e.State), Reason: e.Reason, RetryAfter: time.Duration(e.RetryAfterNanos), Zone: e.Zone}
}

func encodeWorker(e *tableEntry) *peer.Worker {
	w := e.worker
	return &peer.Worker{
		Id:           w.ID,
		Address:      w.Address.String(),
		Pool:         w.Pool,
		Zone:         w.Zone,
		Rack:         w.Rack,
		Labels:       w.Labels,
		Millicores:   uint32(w.Capacity.Millicores),
		MemoryMib:    uint32(w.Capacity.Memory),
		Accelerators: uint32(w.Capacity.Accelerators),
		Leaving:      w.Leaving,
		Gone:         e.gone,
		BornMillis:   w.Incarnation,
		Revision:     e.revision,
		Version:      w.Version,
	}
}

// decodeWorker decodes w and reports whether its address is valid.
func decodeWorker(w *peer.Worker) (Worker, bool) {
	addr, err := netip.ParseAddrPort(w.Address)
	return Worker{
		ID:          w.Id,
		Address:     addr,
		Pool:        w.Pool,
		Zone:        w.Zone,
		Rack:        w.Rack,
		Labels:      w.Labels,
		Capacity:    Resources{Millicores: int(w.Millicores), Memory: int(w.MemoryMib), Accelerators: int(w.Accelerators)},
		Leaving:     w.Leaving,
		Incarnation: w.BornMillis,
		Version:     w.Version,
	}, err == nil
}
