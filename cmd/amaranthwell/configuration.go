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

// Times of following the configuration.
const (
	// endsPerRetention is the number of looks at the log's end in the time
	// for which it keeps a record.
	endsPerRetention = 64
	appendTimeout    = 5 * time.Second
)

// snapshotTopic is the internal topic of the configurations that peers send.
const snapshotTopic = "peer-snapshots"

// A follower reads the configuration's stream of the log, puts what is accepted
// in force, and appends snapshots of it before the records expire.
type follower struct {
	log       *logservice.LogClient
	logger    log.Logger
	retention time.Duration
	snapshots *gochannel.GoChannel
	// apply hands an event to the control goroutine, and show a
	// configuration to the operators' port.
	apply func(event)
	show  func(operator.Configuration)

	mu          sync.Mutex
	reader      *operator.Reader
	republisher *operator.SnapshotScheduler
	applied     uint64
	// inForce is the revision last logged to be in force.
	inForce uint64
}

// run follows the log until ctx ends.
func (f *follower) run(ctx context.Context) error {
	router, err := message.NewRouter(message.RouterConfig{}, routerLogger{f.logger})
	if err != nil {
		return err
	}
	router.AddConsumerHandler("configuration", operator.Stream, f.log, f.takeRecord)
	router.AddConsumerHandler("peer-snapshots", snapshotTopic, f.snapshots, f.takeSnapshot)
	go f.watchEnd(ctx)
	return router.Run(ctx)
}

// offer hands over a configuration that a peer sent.
func (f *follower) offer(snapshot []byte) {
	_ = f.snapshots.Publish(snapshotTopic, message.NewMessage("", snapshot))
}

// takeRecord applies a record of the log, or learns of records that expired.
func (f *follower) takeRecord(msg *message.Message) error {
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
		return nil // A snapshot was ahead of the record.
	}
	verdicts, err := f.reader.ApplyPage(page)
	if err != nil {
		_ = f.logger.Log("event", "configuration-record-refused", "err", err)
	}
	for _, v := range verdicts {
		_ = f.logger.Log("event", "configuration-edit", "outcome", v.Outcome, "offset", v.Offset,
			"revision", v.Revision, "author", v.Author, "detail", v.Detail)
	}
	f.republisher.ObservePage(time.Now(), page, verdicts)
	f.publish()
	return nil
}

// takeSnapshot adopts a configuration from a peer, if it is ahead.
func (f *follower) takeSnapshot(msg *message.Message) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.reader.Adopt(msg.Payload); err != nil {
		return nil //nolint:nilerr // A snapshot that is not ahead changes nothing.
	}
	_ = f.logger.Log("event", "configuration-adopted", "offset", f.reader.State().Offset())
	f.publish()
	return nil
}

// publish puts the reader's configuration in force.
func (f *follower) publish() {
	h := f.reader.State()
	if h.Offset() == f.applied {
		return
	}
	f.applied = h.Offset()
	tables, offset, snapshot := h.Tables(), h.Offset(), h.Snapshot()
	if tables != nil {
		f.apply(func(now time.Time, i *entry.Instance) { i.SetTables(now, tables, offset, snapshot) })
	}
	f.show(f.reader.Current())
	if h.Revision() != f.inForce {
		f.inForce = h.Revision()
		_ = f.logger.Log("event", "configuration-in-force", "revision", h.Revision(), "offset", offset, "author", h.Author())
	}
}

// watchEnd looks at the log's end from time to time and appends a snapshot when
// one is due, until ctx ends.
func (f *follower) watchEnd(ctx context.Context) {
	ticker := time.NewTicker(f.retention / endsPerRetention)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.lookAtEnd(ctx)
			f.republish(ctx)
		}
	}
}

// lookAtEnd tells the republisher where the log ends.
func (f *follower) lookAtEnd(ctx context.Context) {
	f.mu.Lock()
	next := f.reader.Next()
	f.mu.Unlock()
	asked := time.Now()
	page, err := f.log.Read(ctx, operator.Stream, next, 0, 1)
	if err != nil || len(page.Records) > 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.republisher.ObservePage(asked, page, nil)
}

// republish appends a snapshot if one is due.
func (f *follower) republish(ctx context.Context) {
	f.mu.Lock()
	due := f.republisher.Due(time.Now(), f.reader)
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
	f.republisher.Attempted(time.Now())
}
