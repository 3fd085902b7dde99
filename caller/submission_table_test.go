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

func newTable(t failer, maxRecords int) *caller.SubmissionTable[string] {
	t.Helper()
	table, err := caller.NewSubmissionTable[string](caller.SubmissionTableConfig{
		Start:          issuerStart,
		UseWithin:      time.Minute,
		KeepFor:        2 * time.Minute,
		MaxRecords:     maxRecords,
		MaxAnswerBytes: 1 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func ExampleSubmissionTable() {
	start := time.Unix(1_000_000, 0)
	table, err := caller.NewSubmissionTable[string](caller.SubmissionTableConfig{
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
	first, _ := table.Submit(start, job, "tablet")
	repeat, _ := table.Submit(start, job, "tablet, connected anew")
	waiters := table.Finish(start, job.Key, caller.Answer{Status: caller.Complete, Results: [][]byte{[]byte("jpeg")}})
	late, answer := table.Submit(start, job, "tablet, once more")
	fmt.Println(first, repeat)
	fmt.Println(waiters)
	fmt.Println(late, answer.Status, len(answer.Results))
	// Output:
	// accept wait
	// [tablet tablet, connected anew]
	// answered complete 1
}

func TestNewSubmissionTableRejectsInvalidConfig(t *testing.T) {
	good := caller.SubmissionTableConfig{UseWithin: time.Second, KeepFor: time.Second, MaxRecords: 1}
	tests := map[string]func(*caller.SubmissionTableConfig){
		"UseWithin":      func(c *caller.SubmissionTableConfig) { c.UseWithin = 0 },
		"KeepFor":        func(c *caller.SubmissionTableConfig) { c.KeepFor = time.Second - 1 },
		"MaxRecords":     func(c *caller.SubmissionTableConfig) { c.MaxRecords = 0 },
		"MaxAnswerBytes": func(c *caller.SubmissionTableConfig) { c.MaxAnswerBytes = -1 },
	}
	for field, invalidate := range tests {
		is := is.New(t)
		cfg := good
		invalidate(&cfg)
		_, err := caller.NewSubmissionTable[int](cfg)
		var configErr *caller.ConfigError
		is.True(errors.As(err, &configErr))
		is.Equal(configErr.Field, field)
	}
}

// TestSubmitDistinguishesTasksWithEqualConcatenation checks that jobs whose
// tasks differ only in where one ends and the next begins are not taken for the
// same job: a digest without the lengths would be equal.
func TestSubmitDistinguishesTasksWithEqualConcatenation(t *testing.T) {
	is := is.New(t)
	table := newTable(t, 10)
	job := caller.Job{Key: caller.Key{Serial: 1}, Route: "a", Tasks: [][]byte{[]byte("ab"), []byte("c")}}
	table.Submit(issuerStart, job, "w")
	job.Tasks = [][]byte{[]byte("a"), []byte("bc")}
	decision, answer := table.Submit(issuerStart, job, "v")
	is.Equal(decision, caller.Answered)
	is.Equal(answer.Status, caller.Unknown)
	is.Equal(answer.Reason, caller.ReasonKeyReused)
}

// TestRefusedJobsTakeNoRecords checks that jobs that are refused for overload,
// however many there are, do not count towards MaxRecords.
func TestRefusedJobsTakeNoRecords(t *testing.T) {
	is := is.New(t)
	table := newTable(t, 2)
	for serial := range uint64(1000) {
		job := caller.Job{Key: caller.Key{Serial: serial + 1}}
		decision, _ := table.Submit(issuerStart, job, "w")
		is.Equal(decision, caller.Accept)
		overload := caller.Answer{Status: caller.NotRun, Reason: caller.ReasonOverload}
		is.Equal(len(table.Finish(issuerStart, job.Key, overload)), 1)
	}
	is.Equal(table.Records(), 0)
	decision, answer := table.Submit(issuerStart, caller.Job{Key: caller.Key{Serial: 1}}, "w")
	is.Equal(decision, caller.Answered)
	is.Equal(answer.Status, caller.NotRun)
}

// TestRefusalsInAnyOrderLastUntilKeyExpires checks that refusals are kept until
// the youngest refused key expires, even if the keys were refused in another
// order than they were issued. A block that kept the time of issue of the last
// refused key, instead of the youngest, would be dropped too early.
func TestRefusalsInAnyOrderLastUntilKeyExpires(t *testing.T) {
	is := is.New(t)
	table := newTable(t, 1)
	job := func(serial uint64, issued time.Duration) caller.Job {
		return caller.Job{Key: caller.Key{Serial: serial, Issued: issued}}
	}
	refuse := func(now time.Time, job caller.Job) {
		decision, answer := table.Submit(now, job, "w")
		is.Equal(decision, caller.Answered)
		is.Equal(answer.Status, caller.NotRun)
	}
	young := job(3, 30*time.Second)
	table.Submit(issuerStart, job(1, 0), "w")
	refuse(issuerStart.Add(30*time.Second), young)
	refuse(issuerStart.Add(30*time.Second), job(2, 0))
	table.Finish(issuerStart, job(1, 0).Key, caller.Answer{Status: caller.NotRun, Reason: caller.ReasonOverload})
	table.Expire(issuerStart.Add(80 * time.Second)) // the old keys are 80 s old, the young one 50 s
	refuse(issuerStart.Add(80*time.Second), young)
}

// liveHeapBytes returns the size of the live heap in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// reportHeapGrowth runs b.N steps and reports the growth of the live heap per
// step over the second half of them.
func reportHeapGrowth(b *testing.B, unit string, step func(serial uint64)) {
	half := uint64(b.N / 2)
	for serial := range half {
		step(serial + 1)
	}
	before := liveHeapBytes()
	for serial := half; serial < uint64(b.N); serial++ {
		step(serial + 1)
	}
	grown := float64(liveHeapBytes()) - float64(before)
	b.ReportMetric(grown/float64(uint64(b.N)-half), unit)
}

func BenchmarkEndedRecordMemory(b *testing.B) {
	table := newTable(b, b.N+1)
	reportHeapGrowth(b, "bytes/record", func(serial uint64) {
		job := caller.Job{Key: caller.Key{Serial: serial}, Route: "previews"}
		table.Submit(issuerStart, job, "w")
		table.Finish(issuerStart, job.Key, caller.Answer{Status: caller.Failed, Reason: caller.ReasonTaskFailed})
	})
	runtime.KeepAlive(table)
}

func BenchmarkRunningRecordMemory(b *testing.B) {
	table := newTable(b, b.N+1)
	reportHeapGrowth(b, "bytes/record", func(serial uint64) {
		table.Submit(issuerStart, caller.Job{Key: caller.Key{Serial: serial}, Route: "previews"}, "w")
	})
	runtime.KeepAlive(table)
}

func benchmarkRefusalMemory(b *testing.B, gap uint64) {
	// The set must not drop a block, so maxBlocks exceeds the b.N blocks that
	// the refusals need at most.
	table := newTable(b, b.N+1)
	for serial := range uint64(b.N) + 1 {
		table.Submit(issuerStart, caller.Job{Key: caller.Key{Serial: 1<<40 + serial}}, "w")
	}
	b.ResetTimer()
	reportHeapGrowth(b, "bytes/refusal", func(serial uint64) {
		table.Submit(issuerStart, caller.Job{Key: caller.Key{Serial: serial * gap}}, "w")
	})
	runtime.KeepAlive(table)
}

func BenchmarkRefusalMemoryDense(b *testing.B) { benchmarkRefusalMemory(b, 1) }

// BenchmarkRefusalMemorySparse measures the worst case: each refused key lies
// in a block of its own.
func BenchmarkRefusalMemorySparse(b *testing.B) { benchmarkRefusalMemory(b, 512) }

func BenchmarkKeyIssuerIssue(b *testing.B) {
	issuer := newKeyIssuer(b, "127.0.0.1:7000", 1)
	b.ReportAllocs()
	for b.Loop() {
		issuer.Issue(issuerStart)
	}
}
