package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/platform"
)

const (
	// tablesWait is for how long a read of the operators' records waits.
	tablesWait = 25 * time.Second
	// workersEvery is the time between a leader's reads of the worker table.
	workersEvery = 700 * time.Millisecond
	// firstPause and lastPause bound the pauses between calls that fail.
	firstPause = 100 * time.Millisecond
	lastPause  = 1500 * time.Millisecond
)

// follow starts what keeps up with the store.
func (s *service) follow(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { s.keep(ctx, "tables", s.followTables); return nil })
	group.Go(func() error { s.keep(ctx, "workers", s.followWorkers); return nil })
	group.Go(func() error { s.keep(ctx, "members", s.joinMembers); return nil })
}

// keep calls f again and again until it returns nil or ctx ends, with pauses
// that grow while it fails at once.
func (s *service) keep(ctx context.Context, what string, f func(context.Context) error) {
	pause := firstPause
	for ctx.Err() == nil {
		start := time.Now()
		err := f(ctx)
		if err == nil {
			return
		}
		if time.Since(start) > lastPause {
			pause = firstPause
		}
		s.lost.Store(what, true)
		_ = s.logger.Log("event", "store-lost", "reading", what, "error", err, "pause", pause)
		sleep(ctx, pause)
		pause = min(2*pause, lastPause)
	}
}

// answered notes that the store has answered a reader of what.
func (s *service) answered(what string) {
	if _, lost := s.lost.LoadAndDelete(what); lost {
		_ = s.logger.Log("event", "store-regained", "reading", what)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// followTables takes each new version of the operators' tables. It returns an
// error once the store fails.
func (s *service) followTables(ctx context.Context) error {
	records, next, err := s.store.Newest(ctx, platform.OperatorTopic)
	if err != nil {
		return err
	}
	for {
		s.answered("tables")
		for _, r := range records {
			if r.Key == platform.ConfigurationKey && !r.Deleted {
				s.takeTables(r.Value)
			}
		}
		var from int64
		records, from, err = s.store.ReadKeyed(ctx, platform.OperatorTopic, next, tablesWait)
		if err != nil {
			return err
		}
		next = from
	}
}

// followWorkers keeps the worker table while this instance leads. It returns an
// error once the store fails.
func (s *service) followWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.loop.leading.Load() {
			select {
			case <-ctx.Done():
			case <-s.loop.lead:
			}
			continue
		}
		if err := s.readWorkers(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readWorkers reads the worker table and its changes while this instance leads.
func (s *service) readWorkers(ctx context.Context) error {
	records, next, err := s.store.Newest(ctx, platform.WorkerTopic)
	if err != nil {
		return err
	}
	s.answered("workers")
	s.takeAllWorkers(records)
	if fleet := int64(len(records)); s.fleet.Swap(fleet) != fleet {
		if err := s.store.AppendWorkerCount(ctx, len(records)); err != nil {
			return err
		}
	}
	for s.loop.leading.Load() && ctx.Err() == nil {
		sleep(ctx, workersEvery)
		records, from, err := s.store.ReadKeyed(ctx, platform.WorkerTopic, next, 0)
		var expired *platform.ExpiredError
		if errors.As(err, &expired) {
			return nil
		}
		if err != nil {
			return err
		}
		next = from
		s.takeWorkers(records)
	}
	return nil
}

// takeAllWorkers takes the worker table as a whole.
func (s *service) takeAllWorkers(records []platform.Record) {
	var workers []dispatch.Worker
	for _, r := range records {
		if w, ok := s.decodeWorker(r); ok {
			workers = append(workers, w)
		}
	}
	s.loop.do(func(now time.Time, i *dispatch.Instance) { i.SetWorkers(now, workers) })
}

// takeWorkers takes changes of the worker table, of which the last one counts
// for each worker.
func (s *service) takeWorkers(records []platform.Record) {
	latest := make(map[string]platform.Record)
	for _, r := range records {
		latest[r.Key] = r
	}
	if len(latest) == 0 {
		return
	}
	changed := make(map[string]dispatch.Worker)
	var removed []string
	for key, r := range latest {
		if r.Deleted {
			removed = append(removed, key)
			continue
		}
		if w, ok := s.decodeWorker(r); ok {
			changed[key] = w
		}
	}
	s.loop.do(func(now time.Time, i *dispatch.Instance) {
		for _, w := range changed {
			i.SetWorker(now, w)
		}
		for _, id := range removed {
			i.RemoveWorker(now, id)
		}
	})
}

// decodeWorker reports whether the record is a worker's entry.
func (s *service) decodeWorker(r platform.Record) (dispatch.Worker, bool) {
	if r.Deleted {
		return dispatch.Worker{}, false
	}
	w, err := platform.DecodeWorker(r.Key, r.Value)
	if err != nil {
		_ = s.logger.Log("event", "worker-entry-unreadable", "id", r.Key, "error", err)
		return dispatch.Worker{}, false
	}
	return w, true
}

// joinMembers makes this instance known in the store, and the others known
// here.
func (s *service) joinMembers(ctx context.Context) error {
	if err := s.store.AppendMember(ctx, platform.Member{Address: s.node.PeerAddress, Zone: s.node.Zone}); err != nil {
		return err
	}
	records, _, err := s.store.Newest(ctx, platform.MemberTopic)
	if err != nil {
		return err
	}
	s.answered("members")
	for _, r := range records {
		if r.Deleted {
			continue
		}
		if err := s.takeMember(r); err != nil {
			_ = s.logger.Log("event", "member-entry-unreadable", "id", r.Key, "error", err)
		}
	}
	return nil
}

// takeMember takes what a record tells of another instance, or of the fleet.
func (s *service) takeMember(r platform.Record) error {
	workers, ok, err := platform.DecodeWorkerCount(r)
	if err != nil {
		return err
	}
	if ok {
		s.fleet.Store(int64(workers))
		s.loop.do(func(now time.Time, i *dispatch.Instance) { i.SetExpectedWorkers(now, workers) })
		return nil
	}
	member, err := platform.DecodeMember(r)
	if err != nil {
		return err
	}
	s.loop.do(func(now time.Time, i *dispatch.Instance) { i.AddMember(now, member.Address, member.Zone) })
	return nil
}
