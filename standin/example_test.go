package standin_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/amaranthwell/amaranthwell/standin"
)

func ExampleLog() {
	log := standin.NewLog(standin.LogConfig{AppendDelay: -1})
	appendRecord := func() {
		w := httptest.NewRecorder()
		log.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/streams/s/records", strings.NewReader("record")))
		fmt.Println(w.Code, strings.TrimSpace(w.Body.String()))
	}
	appendRecord()
	log.SetFaults(standin.LogFaults{Down: true})
	appendRecord()
	// Output:
	// 200 {"offset":1}
	// 503 the log is down
}
