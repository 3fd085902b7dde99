package standin_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/amaranthwell/amaranthwell/standin"
)

func ExampleStore() {
	store := standin.NewStore(standin.StoreConfig{})
	appendRecord := func() {
		w := httptest.NewRecorder()
		body := "\x00\x00\x00\x06record"
		store.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/log-append?topic=s&part=0", strings.NewReader(body)))
		fmt.Println(w.Code, strings.TrimSpace(w.Body.String()))
	}
	appendRecord()
	store.SetFaults(standin.StoreFaults{Down: true})
	appendRecord()
	// Output:
	// 200 {"end":1,"offset":0}
	// 503 the store is down
}
