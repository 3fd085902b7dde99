package caller_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/amaranthwell/amaranthwell/caller"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func newBook(t fataler, maxRecords int) *caller.SubmissionTable[string] {
	t.Helper()
	book, err := caller.NewSubmissionTable[string](caller.SubmissionTableConfig{
		Start:          keysStart,
		UseWithin:      time.Minute,
		KeepFor:        2 * time.Minute,
		MaxRecords:     maxRecords,
		MaxAnswerBytes: 1 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	return book
}

func ExampleSubmissionTable() {
	start := time.Unix(1_000_000, 0)
	book, err := caller.NewSubmissionTable[string](caller.SubmissionTableConfig{
		Start:          start,
		UseWithin:      time.Minute,
		KeepFor:        time.Minute,
		MaxRecords:     1000,
		MaxAnswerBytes: 1 << 20,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	job := caller.Job{Key: caller.Key{Serial: 1}, Route: "previews", Tasks: [][]byte{[]byte("raw")}}
	first, _ := book.Submit(start, job, "tablet")
	repeat, _ := book.Submit(start, job, "tablet, connected anew")
	waiters := book.Finish(start, job.Key, caller.Answer{Status: caller.Complete, Results: [][]byte{[]byte("jpeg")}})
	late, answer := book.Submit(start, job, "tablet, once more")
	fmt.Println(first, repeat)
	fmt.Println(waiters)
	fmt.Println(late, answer.Status, len(answer.Results))
	// Output:
	// accept wait
	// [tablet tablet, connected anew]
	// answered complete 1
}

func TestNewBookRejectsBadConfig(t *testing.T) {
	good := caller.SubmissionTableConfig{UseWithin: time.Second, KeepFor: time.Second, MaxRecords: 1}
	tests := map[string]func(*caller.SubmissionTableConfig){
		"UseWithin":      func(c *caller.SubmissionTableConfig) { c.UseWithin = 0 },
		"KeepFor":        func(c *caller.SubmissionTableConfig) { c.KeepFor = time.Second - 1 },
		"MaxRecords":     func(c *caller.SubmissionTableConfig) { c.MaxRecords = 0 },
		"MaxAnswerBytes": func(c *caller.SubmissionTableConfig) { c.MaxAnswerBytes = -1 },
	}
	for field, spoil := range tests {
		is := is.New(t)
		cfg := good
		spoil(&cfg)
		_, err := caller.NewSubmissionTable[int](cfg)
		var configErr *caller.ConfigError
		is.True(errors.As(err, &configErr))
		is.Equal(configErr.Field, field)
	}
}

func TestBookTellsJobsApartByTaskBounds(t *testing.T) {
	is := is.New(t)
	book := newBook(t, 10)
	job := caller.Job{Key: caller.Key{Serial: 1}, Route: "a", Tasks: [][]byte{[]byte("ab"), []byte("c")}}
	book.Submit(keysStart, job, "w")
	job.Tasks = [][]byte{[]byte("a"), []byte("bc")}
	decision, answer := book.Submit(keysStart, job, "v")
	is.Equal(decision, caller.Answered)
	is.Equal(answer.Status, caller.Unknown)
	is.Equal(answer.Reason, caller.ReasonKeyReused)
}

// A flood's refusals must leave the records to the jobs that run.
func TestBookRefusalsTakeNoRecords(t *testing.T) {
	is := is.New(t)
	book := newBook(t, 2)
	for serial := range uint64(1000) {
		job := caller.Job{Key: caller.Key{Serial: serial + 1}}
		decision, _ := book.Submit(keysStart, job, "w")
		is.Equal(decision, caller.Accept)
		overload := caller.Answer{Status: caller.NotRun, Reason: caller.ReasonOverload}
		is.Equal(len(book.Finish(keysStart, job.Key, overload)), 1)
	}
	is.Equal(book.Records(), 0)
	decision, answer := book.Submit(keysStart, caller.Job{Key: caller.Key{Serial: 1}}, "w")
	is.Equal(decision, caller.Answered)
	is.Equal(answer.Status, caller.NotRun)
}

// Refusals that come in another order than the keys were issued in must last
// as long as the youngest key may be used.
func TestBookRefusalsLastInAnyOrder(t *testing.T) {
	is := is.New(t)
	book := newBook(t, 1)
	job := func(serial uint64, issued time.Duration) caller.Job {
		return caller.Job{Key: caller.Key{Serial: serial, Issued: issued}}
	}
	refuse := func(now time.Time, job caller.Job) {
		decision, answer := book.Submit(now, job, "w")
		is.Equal(decision, caller.Answered)
		is.Equal(answer.Status, caller.NotRun)
	}
	young := job(3, 30*time.Second)
	book.Submit(keysStart, job(1, 0), "w")
	refuse(keysStart.Add(30*time.Second), young)
	refuse(keysStart.Add(30*time.Second), job(2, 0))
	book.Finish(keysStart, job(1, 0).Key, caller.Answer{Status: caller.NotRun, Reason: caller.ReasonOverload})
	book.Expire(keysStart.Add(80 * time.Second)) // the old keys are 80 s old, the young one 50 s
	refuse(keysStart.Add(80*time.Second), young)
}

// heapBytes returns the bytes of live heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// reportSlope reports the growth of the heap from half of b.N steps to all.
func reportSlope(b *testing.B, unit string, step func(serial uint64)) {
	half := uint64(b.N / 2)
	for serial := range half {
		step(serial + 1)
	}
	before := heapBytes()
	for serial := half; serial < uint64(b.N); serial++ {
		step(serial + 1)
	}
	grown := float64(heapBytes()) - float64(before)
	b.ReportMetric(grown/float64(uint64(b.N)-half), unit)
}

func BenchmarkBookEndedRecord(b *testing.B) {
	book := newBook(b, b.N+1)
	reportSlope(b, "bytes/record", func(serial uint64) {
		job := caller.Job{Key: caller.Key{Serial: serial}, Route: "previews"}
		book.Submit(keysStart, job, "w")
		book.Finish(keysStart, job.Key, caller.Answer{Status: caller.Failed, Reason: caller.ReasonTaskFailed})
	})
	runtime.KeepAlive(book)
}

func BenchmarkBookOpenRecord(b *testing.B) {
	book := newBook(b, b.N+1)
	reportSlope(b, "bytes/record", func(serial uint64) {
		book.Submit(keysStart, caller.Job{Key: caller.Key{Serial: serial}, Route: "previews"}, "w")
	})
	runtime.KeepAlive(book)
}

func benchmarkBookRefusal(b *testing.B, gap uint64) {
	// The set must not give up a block: there are at most b.N of them.
	book := newBook(b, b.N+1)
	for serial := range uint64(b.N) + 1 {
		book.Submit(keysStart, caller.Job{Key: caller.Key{Serial: 1<<40 + serial}}, "w")
	}
	b.ResetTimer()
	reportSlope(b, "bytes/refusal", func(serial uint64) {
		book.Submit(keysStart, caller.Job{Key: caller.Key{Serial: serial * gap}}, "w")
	})
	runtime.KeepAlive(book)
}

func BenchmarkBookRefusalDense(b *testing.B) { benchmarkBookRefusal(b, 1) }

// Every refused key lies in a block of its own: the worst case.
func BenchmarkBookRefusalSparse(b *testing.B) { benchmarkBookRefusal(b, 512) }

func BenchmarkKeysIssue(b *testing.B) {
	keys := newKeys(b, "127.0.0.1:7000", 1)
	b.ReportAllocs()
	for b.Loop() {
		keys.Issue(keysStart)
	}
}
