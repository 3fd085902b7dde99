package main

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/amaranthwell/amaranthwell/entry"
	"github.com/amaranthwell/amaranthwell/operator"
)

// Times and sizes of reading the configuration.
const (
	configurationWait  = 5 * time.Second
	configurationLimit = 100
	configurationRetry = 500 * time.Millisecond
	appendTimeout      = 5 * time.Second
)

// A follower reads the configuration's stream of the log, puts what is accepted
// in force, and publishes snapshots of it before the records expire. One
// goroutine owns its state.
type follower struct {
	log         operator.Log
	logger      log.Logger
	reader      *operator.Reader
	republisher *operator.Republisher
	snapshots   chan []byte
	apply       func(event)
	current     func(operator.Current)
	applied     uint64
}

// run follows the log until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		page, asked, err := f.read(ctx)
		if err != nil {
			f.wait(ctx)
			continue
		}
		verdicts, err := f.reader.Page(page)
		if err != nil {
			_ = f.logger.Log("event", "configuration-page-refused", "err", err)
			f.wait(ctx)
		}
		for _, v := range verdicts {
			f.logVerdict(v)
		}
		f.republisher.Page(asked, page, verdicts)
		f.publish()
		f.republish(ctx)
	}
}

// read reads the next page. A snapshot from a peer ends the wait for one.
func (f *follower) read(ctx context.Context) (operator.Page, time.Time, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		page operator.Page
		err  error
	}
	answers := make(chan answer, 1)
	asked := time.Now()
	go func() {
		page, err := f.log.Read(ctx, operator.Stream, f.reader.Next(), configurationWait, configurationLimit)
		answers <- answer{page, err}
	}()
	select {
	case a := <-answers:
		return a.page, asked, a.err
	case s := <-f.snapshots:
		cancel()
		<-answers
		f.adopt(s)
		return operator.Page{}, asked, context.Canceled
	}
}

// wait pauses after an error, unless a peer sends a snapshot.
func (f *follower) wait(ctx context.Context) {
	timer := time.NewTimer(configurationRetry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case s := <-f.snapshots:
		f.adopt(s)
	}
}

// adopt takes a snapshot from a peer.
func (f *follower) adopt(snapshot []byte) {
	if err := f.reader.Adopt(snapshot); err == nil {
		_ = f.logger.Log("event", "configuration-adopted", "offset", f.reader.History().Offset())
	}
	f.publish()
}

// publish puts the reader's configuration in force.
func (f *follower) publish() {
	h := f.reader.History()
	if h.Offset() == f.applied {
		return
	}
	f.applied = h.Offset()
	tables, offset, snapshot := h.Tables(), h.Offset(), h.Snapshot()
	if tables != nil {
		f.apply(func(now time.Time, i *entry.Instance) { i.SetTables(now, tables, offset, snapshot) })
	}
	f.current(f.reader.Current())
}

// republish appends a snapshot to the log if one is due.
func (f *follower) republish(ctx context.Context) {
	if !f.republisher.Due(time.Now(), f.reader) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := f.log.Append(ctx, operator.Stream, f.reader.History().Snapshot())
	f.republisher.Attempted(time.Now())
	_ = f.logger.Log("event", "configuration-republished", "offset", f.reader.History().Offset(), "err", err)
}

func (f *follower) logVerdict(v operator.Verdict) {
	_ = f.logger.Log("event", "configuration-edit", "outcome", v.Outcome, "offset", v.Offset,
		"revision", v.Revision, "author", v.Author, "detail", v.Detail)
}
