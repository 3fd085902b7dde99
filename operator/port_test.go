package operator_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/operator"
)

type fakeInstance struct {
	err     error
	current operator.Configuration
}

func (i *fakeInstance) Ready() error                    { return i.err }
func (i *fakeInstance) Current() operator.Configuration { return i.current }

// TestHandler checks the status and the body of each path of the operators' port,
// with and without a configuration.
func TestHandler(t *testing.T) {
	set := metrics.NewSet()
	set.NewCounter("jobs_total").Inc()
	ready := &fakeInstance{current: operator.Configuration{Offset: 7, Revision: 3, Author: "ana", Tables: newTables(1)}}
	starting := &fakeInstance{err: errors.New("no configuration")}
	tests := []struct {
		path     string
		instance *fakeInstance
		status   int
		want     string
	}{
		{"/health", starting, 200, "ok"},
		{"/ready", starting, 503, "no configuration"},
		{"/ready", ready, 200, "ready"},
		{"/metrics", ready, 200, "jobs_total 1"},
		{"/configuration", ready, 200, `{"offset":7,"revision":3,"author":"ana","gap":false,"mismatches":0,"tables":{"routes":[{"name":"previews"`},
		{"/configuration", starting, 200, `"tables":null`},
		{"/other", ready, 404, ""},
	}
	for _, test := range tests {
		is := is.New(t)
		handler := operator.NewHandler(operator.HandlerConfig{Instance: test.instance, Metrics: set})
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest("GET", test.path, nil))
		is.Equal(response.Code, test.status)
		is.True(strings.Contains(response.Body.String(), test.want))
	}
}
