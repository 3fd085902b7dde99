package caller

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// jobSeeds holds bodies that scanJob accepts and bodies that it leaves to
// unmarshalJob.
var jobSeeds = []string{
	`{"route":"previews","timeout":"2s","tasks":["cmF3","","AA==","AAA="]}`,
	` { "tasks" : [ "cmF3" ] , "route" : "r" , "key" : "" } `,
	`{"key":"x","route":"r","tasks":["AAAA"]}`,
	`{"route":"r","tasks":["AA\n==","AAA"]}`,
	"{\"route\":\"r\",\"tasks\":[\"AA\n==AA\r\"]}",
	"{\"route\":\"r\",\"tasks\":[\"AAAA\n\n\r\n\"]}",
	`{"route":"a\"b","Tasks":["AAAA"],"tasks":null}`,
	`{"route":"r","route":"s","tasks":["AB==", "====", "A==="]}`,
	`{"route":"r","tasks":[null]}`,
	"{\"route\":\"\xff\",\"tasks\":[\"\"]}",
	"{\"route\":\"a\tb\",\"tasks\":[\"\"]}",
	`{"route":"a\u0041","tasks":[""]}`,
	`{"route":"\ud800` + "\xff" + `","tasks":[""],}`,
	`{"route":"r","tasks":[""]}{}`,
	`{}`, `[]`, `null`, ``, `{`, `{"tasks":[`, `{"tasks":["`,
}

// FuzzDecodeJob checks that scanJob accepts nothing that encoding/json rejects
// or decodes differently, and that every error is a *RequestError.
func FuzzDecodeJob(f *testing.F) {
	for _, seed := range jobSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		scanned, ok := scanJob(body)
		want, err := unmarshalJob(body)
		if ok && (err != nil || !reflect.DeepEqual(scanned, want)) {
			t.Fatalf("scanned %+v, want %+v (%v)", scanned, want, err)
		}
		job, err := decodeJob(body)
		var requestErr *RequestError
		switch {
		case err != nil && !errors.As(err, &requestErr):
			t.Fatalf("untyped error %T", err)
		case err == nil && (len(job.Tasks) == 0 || len(job.Tasks) > MaxTasks || job.Timeout < 0):
			t.Fatalf("bad job %+v", job)
		}
	})
}

// TestScanJobAllocatesOneTaskBuffer checks that scanJob rejects a repeated
// field. Each array of tasks allocates a buffer as large as the rest of the
// body, so many arrays in one body would take memory without bound.
func TestScanJobAllocatesOneTaskBuffer(t *testing.T) {
	if _, ok := scanJob([]byte(`{"route":"r","tasks":[""],"tasks":[""]}`)); ok {
		t.Fatal("scanned the tasks twice")
	}
}

// FuzzParseKey checks that each key has exactly one text form, and that every
// error is a *KeyError.
func FuzzParseKey(f *testing.F) {
	for _, owner := range []string{"127.0.0.1:7000", "[::1]:7000", "[::ffff:127.0.0.1]:7000"} {
		key := Key{Owner: netip.MustParseAddrPort(owner), Incarnation: 1, Issued: time.Hour, Serial: 2, MAC: 3}
		f.Add(key.String())
	}
	for _, seed := range []string{"", "AQ", strings.Repeat("A", 50), strings.Repeat("_", 66)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		var keyErr *KeyError
		switch {
		case err == nil && key.String() != text:
			t.Fatalf("%q became %q", text, key.String())
		case err != nil && !errors.As(err, &keyErr):
			t.Fatalf("untyped error %T", err)
		}
	})
}

// benchmarkBody returns the body of a job of MaxTasks tasks.
func benchmarkBody(taskBytes int) []byte {
	task := base64.StdEncoding.EncodeToString(make([]byte, taskBytes))
	tasks := strings.Repeat(`,"`+task+`"`, MaxTasks)[1:]
	return fmt.Appendf(nil, `{"route":"previews","timeout":"2s","tasks":[%s]}`, tasks)
}

func BenchmarkDecodeJob(b *testing.B) {
	decoders := map[string]func([]byte) (jobBody, error){
		"library": unmarshalJob,
		"scan": func(body []byte) (jobBody, error) {
			fields, _ := scanJob(body)
			return fields, nil
		},
	}
	for _, taskBytes := range []int{100, 4000} {
		body := benchmarkBody(taskBytes)
		for _, name := range []string{"library", "scan"} {
			b.Run(fmt.Sprintf("%s/task-bytes=%d", name, taskBytes), func(b *testing.B) {
				b.SetBytes(int64(len(body)))
				b.ReportAllocs()
				for b.Loop() {
					fields, err := decoders[name](body)
					if err != nil || len(fields.Tasks) != MaxTasks {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
