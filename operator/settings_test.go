package operator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

const settingsFile = `
peer-address = "127.0.0.1:7100"
caller-address = "127.0.0.1:7101"
operator-address = "127.0.0.1:7102"
zone = "hr-north-a"
log = "http://127.0.0.1:7200"
instances = "http://127.0.0.1:7201/v1/instances"
`

// TestParseSettings checks the values of a settings file, with and without the optional
// settings.
func TestParseSettings(t *testing.T) {
	is := is.New(t)
	s, err := operator.ParseSettings(operator.File{Body: []byte(settingsFile)})
	is.NoErr(err)
	is.Equal(s.PeerAddress.Port(), uint16(7100))
	is.Equal(s.Log.Host, "127.0.0.1:7200")
	is.Equal(s.LogRetention, operator.DefaultLogRetention)
	is.Equal(s.MaxWaitingJobs, operator.DefaultMaxWaitingJobs)

	s, err = operator.ParseSettings(operator.File{Body: []byte(settingsFile + "max-waiting-jobs = 5\nlog-retention = \"24h\"")})
	is.NoErr(err)
	is.Equal(s.MaxWaitingJobs, 5)
	is.Equal(s.LogRetention, 24*time.Hour)
}

// TestParseSettingsReportsProblems checks that each problem is reported at its key.
func TestParseSettingsReportsProblems(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"empty", settingsFile, "", []string{"peer-address", "caller-address", "operator-address", "log", "instances", "zone"}},
		{"unknown key", "zone =", "rack = \"a\"\nzone =", []string{"rack"}},
		{"same address", "7102", "7100", []string{"operator-address"}},
		{"host name", "127.0.0.1:7100", "localhost:7100", []string{"peer-address"}},
		{"scheme", `"http://127.0.0.1:7200`, `"ftp://127.0.0.1:7200`, []string{"log"}},
		{"jobs", "zone =", "max-waiting-jobs = 0\nzone =", []string{"max-waiting-jobs"}},
		{"retention", "zone =", "log-retention = \"1s\"\nzone =", []string{"log-retention"}},
		{"type", `"hr-north-a"`, "3", []string{"zone"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			body := strings.ReplaceAll(settingsFile, test.old, test.new)
			_, err := operator.ParseSettings(operator.File{Name: "entry.toml", Body: []byte(body)})
			var check *operator.CheckError
			is.True(errors.As(err, &check))
			var keys []string
			for _, p := range check.Problems {
				keys = append(keys, p.Key)
			}
			is.Equal(keys, test.want)
		})
	}
}
