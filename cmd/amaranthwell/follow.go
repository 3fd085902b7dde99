package main

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthwell/amaranthwell/dispatch"
	"github.com/amaranthwell/amaranthwell/platform"
)

const (
	// tablesWait is how long a read of the operators' records waits for a new one. Only
	// an answer shows that there is none, so that the wait bounds for how long a silent
	// connection goes unnoticed.
	tablesWait = time.Second
	// workersEvery is the time between a leader's reads of the changes of the worker
	// table.
	workersEvery = 700 * time.Millisecond
	// minPause and maxPause are the bounds of the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 1500 * time.Millisecond
)

// follow starts the goroutines that read the operators' tables, the worker table and
// the members from the store, and write the number of workers to it.
func (s *service) follow(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { s.retry(ctx, "tables", s.followTables); return nil })
	group.Go(func() error { s.retry(ctx, "workers", s.followWorkers); return nil })
	group.Go(func() error { s.retry(ctx, "members", s.joinMembers); return nil })
	group.Go(func() error { s.retry(ctx, "worker-count", s.writeWorkerCounts); return nil })
}

// retry calls f until it returns nil or ctx ends. The pause between calls doubles, up
// to maxPause, and starts again at minPause after a call that lasted longer than
// maxPause. readName is the name in the log of what f reads or, for the number of
// workers, writes.
func (s *service) retry(ctx context.Context, readName string, f func(context.Context) error) {
	pause := minPause
	for ctx.Err() == nil {
		start := time.Now()
		err := f(ctx)
		if err == nil {
			return
		}
		if time.Since(start) > maxPause {
			pause = minPause
		}
		s.failedReads.Store(readName, true)
		// The kept connections may be silent, too.
		s.store.Close()
		_ = s.logger.Log("event", "store-lost", "reading", readName, "error", err, "pause", pause)
		sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// recordStoreAnswer records that the store has answered the kind of read with the given
// name. If that kind of read had failed before, it logs that the store answers again.
func (s *service) recordStoreAnswer(readName string) {
	if _, failed := s.failedReads.LoadAndDelete(readName); failed {
		_ = s.logger.Log("event", "store-regained", "reading", readName)
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

// followTables applies each new version of the operators' tables, and the list of the
// drained availability zones, which are records of the same topic. It returns the first
// error of the store; the next call reads all records again.
func (s *service) followTables(ctx context.Context) error {
	records, next, err := s.store.Newest(ctx, platform.OperatorTopic)
	if err != nil {
		return err
	}
	drained := make(drainRequests)
	for {
		s.recordStoreAnswer("tables")
		drained.apply(records)
		s.setDrainedZones(next, drained)
		s.loop.post(func(now time.Time, i *dispatch.Instance) { i.RecordTablesRead(now) })
		for _, r := range records {
			if r.Key == platform.ConfigurationKey && !r.Deleted {
				s.applyTables(r.Value)
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

// followWorkers reads the worker table whenever this instance leads a zone. It
// returns the first error of the store, or nil once ctx ends.
func (s *service) followWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		if !s.loop.leading.Load() {
			select {
			case <-ctx.Done():
			case <-s.loop.leadingChanged:
			}
			continue
		}
		if err := s.readWorkers(ctx); err != nil {
			return err
		}
	}
	return nil
}

// readWorkers reads the worker table, and then reads changes of the table while this
// instance leads a zone. It returns nil if records have expired before they were read, so
// that the caller reads the whole table again.
func (s *service) readWorkers(ctx context.Context) error {
	records, next, err := s.store.Newest(ctx, platform.WorkerTopic)
	if err != nil {
		return err
	}
	s.recordStoreAnswer("workers")
	s.setWorkers(records)
	s.recordWorkerCount(len(records))
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
		s.applyWorkerChanges(records)
	}
	return nil
}

// recordWorkerCount makes writeWorkerCounts write a number of workers, in place of one
// that is not written yet. It does not block.
func (s *service) recordWorkerCount(workers int) {
	for {
		select {
		case s.workerCounts <- workers:
			return
		default:
		}
		select {
		case <-s.workerCounts:
		default:
		}
	}
}

// writeWorkerCounts writes the number of workers to the store whenever it differs from
// expectedWorkers. It returns the first error of the store, or nil once ctx ends. After an
// error the number is written again.
func (s *service) writeWorkerCounts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case workers := <-s.workerCounts:
			if err := s.writeWorkerCount(ctx, workers); err != nil {
				// Unless a later number is waiting, this one is written again.
				select {
				case s.workerCounts <- workers:
				default:
				}
				return err
			}
		}
	}
}

// writeWorkerCount writes the number of workers to the store if it differs from
// expectedWorkers.
func (s *service) writeWorkerCount(ctx context.Context, workers int) error {
	if s.expectedWorkers.Load() == int64(workers) {
		return nil
	}
	if err := s.store.AppendWorkerCount(ctx, workers); err != nil {
		return err
	}
	s.recordStoreAnswer("worker-count")
	s.expectedWorkers.Store(int64(workers))
	return nil
}

// setWorkers replaces the worker table of the instance.
func (s *service) setWorkers(records []platform.Record) {
	var workers []dispatch.Worker
	for _, r := range records {
		if w, ok := s.decodeWorker(r); ok {
			workers = append(workers, w)
		}
	}
	s.loop.post(func(now time.Time, i *dispatch.Instance) { i.SetWorkers(now, workers) })
}

// applyWorkerChanges applies changes of the worker table, which are in the order in
// which they were written. Of several changes of one worker it applies only the last.
func (s *service) applyWorkerChanges(records []platform.Record) {
	latest := make(map[string]platform.Record)
	for _, r := range records {
		latest[r.Key] = r
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
	s.loop.post(func(now time.Time, i *dispatch.Instance) {
		i.RecordWorkersRead(now)
		for _, w := range changed {
			i.SetWorker(now, w)
		}
		for _, id := range removed {
			i.RemoveWorker(now, id)
		}
	})
}

// decodeWorker decodes the entry of a worker. It returns false for a removed worker,
// and for an unreadable entry, which it logs.
func (s *service) decodeWorker(r platform.Record) (dispatch.Worker, bool) {
	if r.Deleted {
		return dispatch.Worker{}, false
	}
	w, err := platform.DecodeWorker(r.Key, r.Value)
	if err == nil && !slices.Contains(s.node.Zones, w.Zone) {
		err = &platform.UnusableWorkerError{ID: r.Key, Field: "zone"}
	}
	if err != nil {
		_ = s.logger.Log("event", "worker-entry-unreadable", "id", r.Key, "error", err)
		return dispatch.Worker{}, false
	}
	// Version 0 means that the version is not known.
	w.Version = r.Offset + 1
	return w, true
}

// joinMembers adds this instance to the members in the store and reads the other
// members from it.
func (s *service) joinMembers(ctx context.Context) error {
	member := platform.Member{Address: s.node.PeerAddress, Zone: s.node.Zone, Weight: dispatch.Weight(s.node.Millicores, s.node.LinkBits)}
	if err := s.store.AppendMember(ctx, member); err != nil {
		return err
	}
	records, _, err := s.store.Newest(ctx, platform.MemberTopic)
	if err != nil {
		return err
	}
	s.recordStoreAnswer("members")
	for _, r := range records {
		if r.Deleted {
			continue
		}
		if err := s.applyMember(r); err != nil {
			_ = s.logger.Log("event", "member-entry-unreadable", "id", r.Key, "error", err)
		}
	}
	return nil
}

// applyMember applies a record of MemberTopic, which holds either an instance's address
// and zone or the number of workers.
func (s *service) applyMember(r platform.Record) error {
	workers, ok, err := platform.DecodeWorkerCount(r)
	if err != nil {
		return err
	}
	if ok {
		s.expectedWorkers.Store(int64(workers))
		s.loop.post(func(now time.Time, i *dispatch.Instance) { i.SetExpectedWorkers(now, workers) })
		return nil
	}
	member, err := platform.DecodeMember(r)
	if err != nil {
		return err
	}
	s.loop.post(func(now time.Time, i *dispatch.Instance) {
		i.AddMember(now, member.Address, member.Zone, member.Weight)
	})
	return nil
}
