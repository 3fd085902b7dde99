package caller_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"pgregory.net/rapid"
)

// modelRecord is the state of one key in the reference model.
type modelRecord struct {
	key caller.Key
	// accepted is the job that was accepted under the key, or nil.
	accepted *caller.Job
	// answer is the answer to the accepted job, or nil while it is running.
	answer  *caller.Answer
	endedAt time.Time
	// notRun is set if a submission under the key was answered with NotRun.
	notRun bool
	// waiting holds the numbers of the waiters for the answer.
	waiting []int
}

// tableMachine compares a SubmissionTable with a reference model: a list of all
// keys that drops nothing. Its exported methods are the actions of the rapid
// state machine.
type tableMachine struct {
	cfg   caller.SubmissionTableConfig
	table *caller.SubmissionTable[int]
	now   time.Time
	// latest is the latest time passed to the SubmissionTable; issued is the
	// time of issue of the newest key.
	latest time.Time
	issued time.Duration
	keys   []*modelRecord
	// answers maps the number of each answered waiter to the number of
	// answers that it got. waiters is the number of waiters so far.
	answers map[int]int
	waiters int
	// maxKeptBytes is an upper bound of the size of all answers ever recorded.
	maxKeptBytes int
}

func newTableMachine(t *rapid.T) *tableMachine {
	useWithin := time.Duration(rapid.IntRange(1, 10).Draw(t, "use-within")) * time.Second
	cfg := caller.SubmissionTableConfig{
		Start:          time.Unix(1000, 0),
		UseWithin:      useWithin,
		KeepFor:        useWithin + time.Duration(rapid.IntRange(0, 5).Draw(t, "keep-longer"))*time.Second,
		MaxRecords:     rapid.IntRange(1, 6).Draw(t, "max-records"),
		MaxAnswerBytes: rapid.IntRange(0, 400).Draw(t, "max-answer-bytes"),
	}
	table, err := caller.NewSubmissionTable[int](cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &tableMachine{cfg: cfg, table: table, now: cfg.Start, latest: cfg.Start, answers: make(map[int]int)}
}

// Issue adds a key. A gap between the serials of two keys stands for issued
// keys that are never used.
func (m *tableMachine) Issue(t *rapid.T) {
	serial := uint64(rapid.SampledFrom([]int{1, 1, 1, 200, 600, 3000}).Draw(t, "gap"))
	if n := len(m.keys); n > 0 {
		serial += m.keys[n-1].key.Serial
	}
	m.issued = max(m.issued, m.now.Sub(m.cfg.Start))
	key := caller.Key{Serial: serial, Issued: m.issued, MAC: serial * 7}
	m.keys = append(m.keys, &modelRecord{key: key})
}

// Move changes the current time, sometimes backwards. The steps are coarse, so
// that the current time often equals a time at which a key or a record expires.
func (m *tableMachine) Move(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(-6, 10).Draw(t, "steps")) * time.Second / 2)
}

// observeNow records that now was passed to the SubmissionTable.
func (m *tableMachine) observeNow() {
	if m.now.After(m.latest) {
		m.latest = m.now
	}
}

func (m *tableMachine) Expire(*rapid.T) {
	m.observeNow()
	m.table.Expire(m.now)
}

func (m *tableMachine) Submit(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	rec := rapid.SampledFrom(m.keys).Draw(t, "key")
	payload := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "payload")
	job := caller.Job{Key: rec.key, Route: "previews", Tasks: [][]byte{[]byte(payload)}}
	m.waiters++
	w := m.waiters
	m.observeNow()
	if issued := m.cfg.Start.Add(rec.key.Issued); issued.After(m.latest) {
		m.latest = issued
	}
	decision, answer := m.table.Submit(m.now, job, w)
	switch decision {
	case caller.Accept:
		m.checkAccept(t, rec)
		rec.accepted = &job
		rec.waiting = append(rec.waiting, w)
	case caller.Wait:
		if rec.accepted == nil || rec.answer != nil || !reflect.DeepEqual(*rec.accepted, job) {
			t.Fatalf("submission waits for a job that is not running: %+v", rec)
		}
		rec.waiting = append(rec.waiting, w)
	default:
		m.answers[w]++
		m.checkAnswer(t, rec, job, answer)
		rec.notRun = rec.notRun || answer.Status == caller.NotRun
	}
}

func (m *tableMachine) checkAccept(t *rapid.T, rec *modelRecord) {
	if rec.accepted != nil {
		t.Fatalf("accepted twice: %+v", rec)
	}
	if rec.notRun {
		t.Fatalf("accepted after not-run: %+v", rec)
	}
	if m.age(rec) >= m.cfg.UseWithin {
		t.Fatalf("accepted at age %s", m.age(rec))
	}
}

func (m *tableMachine) checkAnswer(t *rapid.T, rec *modelRecord, job caller.Job, answer caller.Answer) {
	if answer.Key != job.Key {
		t.Fatalf("answer for another key: %+v", answer)
	}
	mismatch := rec.accepted != nil && !reflect.DeepEqual(*rec.accepted, job)
	switch {
	case answer.Status == caller.NotRun:
		if rec.accepted != nil && (rec.answer == nil || rec.answer.Status != caller.NotRun) {
			t.Fatalf("not-run of a job that was accepted: %+v", rec)
		}
	case answer.Status == caller.Unknown && answer.Reason == caller.ReasonKeyReused:
		if !mismatch {
			t.Fatalf("key-reused for an equal job: %+v", rec)
		}
	case answer.Status == caller.Unknown && answer.Reason == caller.ReasonKeyExpired:
		m.checkExpired(t, rec)
	case mismatch || rec.answer == nil || answer.Status != rec.answer.Status || answer.Reason != rec.answer.Reason:
		t.Fatalf("answer differs from the first: %+v, but now %+v", rec, answer)
	case answer.Status == caller.Complete && !reflect.DeepEqual(answer, *rec.answer):
		t.Fatalf("results differ from the first: %+v, but now %+v", rec, answer)
	}
}

// checkExpired checks that an answer with ReasonKeyExpired is right: either the
// key is too old for its first use, or its record is due to expire, or its
// answer may have been dropped because of MaxAnswerBytes.
func (m *tableMachine) checkExpired(t *rapid.T, rec *modelRecord) {
	if rec.accepted == nil || rec.notRun || rec.answer != nil && rec.answer.Status == caller.NotRun {
		if m.age(rec) < m.cfg.UseWithin {
			t.Fatalf("expired at age %s: %+v", m.age(rec), rec)
		}
		return
	}
	if rec.answer == nil {
		t.Fatalf("expired although running: %+v", rec)
	}
	due := m.latest.Sub(rec.endedAt) >= m.cfg.KeepFor
	if dropped := rec.answer.Status == caller.Complete && m.maxKeptBytes > m.cfg.MaxAnswerBytes; !due && !dropped {
		t.Fatalf("expired early: %+v", rec)
	}
}

func (m *tableMachine) Finish(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no keys")
	}
	rec := rapid.SampledFrom(m.keys).Draw(t, "key")
	answer := rapid.SampledFrom([]caller.Answer{
		{Status: caller.Complete, Results: [][]byte{make([]byte, 100)}},
		{Status: caller.Failed, Reason: caller.ReasonTaskFailed, Message: "task 3"},
		{Status: caller.NotRun, Reason: caller.ReasonOverload},
		{Status: caller.NotRun, Reason: caller.ReasonUnknownRoute},
	}).Draw(t, "answer")
	answer.Key = rec.key
	m.observeNow()
	waiters := m.table.Finish(m.now, rec.key, answer)
	if !reflect.DeepEqual(waiters, rec.waiting) {
		t.Fatalf("finish of %+v returned %v", rec, waiters)
	}
	if rec.waiting == nil {
		return
	}
	for _, w := range waiters {
		m.answers[w]++
	}
	rec.waiting = nil
	rec.answer = &answer
	rec.endedAt = m.latest
	m.maxKeptBytes += 200
}

// Check checks the invariants after every action.
func (m *tableMachine) Check(t *rapid.T) {
	if n := m.table.Records(); n > m.cfg.MaxRecords {
		t.Fatalf("%d records", n)
	}
	if n := m.table.AnswerBytes(); n < 0 || n > m.cfg.MaxAnswerBytes {
		t.Fatalf("%d answer bytes", n)
	}
	if m.table.Records() == 0 && m.table.AnswerBytes() != 0 {
		t.Fatalf("%d answer bytes without a record", m.table.AnswerBytes())
	}
	running := 0
	waiting := 0
	for _, rec := range m.keys {
		waiting += len(rec.waiting)
		if rec.waiting != nil {
			running++
		}
	}
	if running != m.table.Running() {
		t.Fatalf("%d running, want %d", m.table.Running(), running)
	}
	if len(m.answers)+waiting != m.waiters {
		t.Fatalf("%d waiters, %d answered, %d waiting", m.waiters, len(m.answers), waiting)
	}
	for w, n := range m.answers {
		if n != 1 {
			t.Fatalf("waiter %d got %d answers", w, n)
		}
	}
}

// age returns the age of rec's key at the latest time.
func (m *tableMachine) age(rec *modelRecord) time.Duration {
	return m.latest.Sub(m.cfg.Start.Add(rec.key.Issued))
}

// TestSubmissionTableAgreesWithReferenceModel checks random sequences of operations
// against the reference model. It guards against jobs that run twice under one
// key, answers that are lost or differ from the first, false not-run answers,
// and memory beyond the limits.
func TestSubmissionTableAgreesWithReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(newTableMachine(t)))
	})
}

func TestKeyTextRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := rapid.SampledFrom([]string{"127.0.0.1:1", "[::1]:65535", "[::ffff:127.0.0.1]:7000"}).Draw(t, "owner")
		issuer := newKeyIssuer(t, owner, rapid.Uint64().Draw(t, "incarnation"))
		age := time.Duration(rapid.Int64Range(0, int64(1000*24*time.Hour)).Draw(t, "age"))
		key := issuer.Issue(issuerStart.Add(age))
		parsed, err := caller.ParseKey(key.String())
		if err != nil || parsed != key || issuer.Verify(parsed) != nil {
			t.Fatal(fmt.Sprint(key, parsed, err))
		}
		var decoded caller.Key
		form, _ := key.MarshalBinary()
		if err := decoded.UnmarshalBinary(form); err != nil || decoded != key {
			t.Fatal(fmt.Sprint(key, decoded, err))
		}
	})
}
