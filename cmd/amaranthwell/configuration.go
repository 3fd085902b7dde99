package main

import (
	"context"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/go-kit/log"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/operator"
)

const (
	// endChecksPerRetention is how often the end of the log is read during the time
	// for which the log keeps a record.
	endChecksPerRetention = 64
	// appendTimeout limits the time to append a snapshot.
	appendTimeout = 5 * time.Second
)

// snapshotTopic is the in-process topic for configurations that peers send.
const snapshotTopic = "peer-snapshots"

// A follower reads the configuration's stream of the log and activates each accepted
// configuration. It appends snapshots to the log before the records expire.
type follower struct {
	log    *logservice.LogClient
	logger log.Logger
	// retention is how long the log keeps a record.
	retention time.Duration
	// snapshots carries the configurations that peers sent, under snapshotTopic.
	snapshots *gochannel.GoChannel
	// apply queues an event for the control goroutine. setCurrent sets the
	// configuration that the operators' port shows.
	apply      func(entryEvent)
	setCurrent func(operator.Configuration)

	mu     sync.Mutex
	reader *operator.Reader
	// scheduler decides when to append a snapshot to the log.
	scheduler *operator.SnapshotScheduler
	// appliedOffset is the offset of the configuration that was last put in force.
	appliedOffset uint64
	// loggedRevision is the last revision that was logged as in force.
	loggedRevision uint64
}

// run follows the log until ctx ends.
func (f *follower) run(ctx context.Context) error {
	router, err := message.NewRouter(message.RouterConfig{}, routerLogger{f.logger})
	if err != nil {
		return err
	}
	router.AddConsumerHandler("configuration", operator.Stream, f.log, f.applyRecord)
	router.AddConsumerHandler("peer-snapshots", snapshotTopic, f.snapshots, f.adoptSnapshot)
	go f.watchEnd(ctx)
	return router.Run(ctx)
}

// queueSnapshot queues a configuration that a peer sent.
func (f *follower) queueSnapshot(snapshot []byte) {
	_ = f.snapshots.Publish(snapshotTopic, message.NewMessage("", snapshot))
}

// applyRecord applies a record of the log, or skips a gap in which all records have
// expired.
func (f *follower) applyRecord(msg *message.Message) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := operator.Page{First: 1}
	if gap, ok := logservice.GapOf(msg); ok {
		page.First, page.Next = gap.To+1, gap.To+1
	} else {
		offset := logservice.OffsetOf(msg)
		page.Next = offset + 1
		page.Records = []operator.Record{{Offset: offset, Body: msg.Payload}}
	}
	if page.Next <= f.reader.State().Offset()+1 {
		return nil // A snapshot already contains the record.
	}
	decisions, err := f.reader.ApplyPage(page)
	if err != nil {
		_ = f.logger.Log("event", "configuration-record-refused", "err", err)
	}
	for _, d := range decisions {
		_ = f.logger.Log("event", "configuration-edit", "outcome", d.Outcome, "offset", d.Offset,
			"revision", d.Revision, "author", d.Author, "detail", d.Detail)
	}
	f.scheduler.ObservePage(time.Now(), page, decisions)
	f.activate()
	return nil
}

// adoptSnapshot adopts a configuration that a peer sent, if it is newer than the
// reader's.
func (f *follower) adoptSnapshot(msg *message.Message) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.reader.Adopt(msg.Payload); err != nil {
		return nil //nolint:nilerr // A snapshot that is not newer changes nothing.
	}
	_ = f.logger.Log("event", "configuration-adopted", "offset", f.reader.State().Offset())
	f.activate()
	return nil
}

// activate puts the reader's configuration in force if it has changed.
func (f *follower) activate() {
	state := f.reader.State()
	if state.Offset() == f.appliedOffset {
		return
	}
	f.appliedOffset = state.Offset()
	tables, offset, snapshot := state.Tables(), state.Offset(), state.Snapshot()
	if tables != nil {
		f.apply(func(now time.Time, i *entry.Instance) { i.SetTables(now, tables, offset, snapshot) })
	}
	f.setCurrent(f.reader.Current())
	if state.Revision() != f.loggedRevision {
		f.loggedRevision = state.Revision()
		_ = f.logger.Log("event", "configuration-in-force", "revision", state.Revision(), "offset", offset, "author", state.Author())
	}
}

// watchEnd periodically reads the log's end and appends a snapshot when one is due,
// until ctx ends.
func (f *follower) watchEnd(ctx context.Context) {
	ticker := time.NewTicker(f.retention / endChecksPerRetention)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.checkEnd(ctx)
			f.republish(ctx)
		}
	}
}

// checkEnd reads the end of the log and passes it to the snapshot scheduler, unless the read
// fails or returns a record that the follower has not applied yet.
func (f *follower) checkEnd(ctx context.Context) {
	f.mu.Lock()
	next := f.reader.Next()
	f.mu.Unlock()
	requested := time.Now()
	page, err := f.log.Read(ctx, operator.Stream, next, 0, 1)
	if err != nil || len(page.Records) > 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduler.ObservePage(requested, page, nil)
}

// republish appends a snapshot to the log if one is due.
func (f *follower) republish(ctx context.Context) {
	f.mu.Lock()
	due := f.scheduler.Due(time.Now(), f.reader)
	snapshot, offset := f.reader.State().Snapshot(), f.reader.State().Offset()
	f.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := f.log.Append(ctx, operator.Stream, snapshot)
	_ = f.logger.Log("event", "configuration-republished", "offset", offset, "err", err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduler.Attempted(time.Now())
}
