package httpjson_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/cockroachdb/errors"

	"github.com/amaranthwell/amaranthwell/httpjson"
)

func ExampleDo() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/offset" {
			http.Error(w, "no such call", http.StatusNotFound)
			return
		}
		fmt.Fprint(w, `{"offset":7}`)
	}))
	defer server.Close()
	for _, path := range []string{"/offset", "/other"} {
		req, err := http.NewRequest(http.MethodGet, server.URL+path, http.NoBody)
		if err != nil {
			fmt.Println(err)
			return
		}
		var answer struct {
			Offset int `json:"offset"`
		}
		err = httpjson.Do(http.DefaultClient, req, &answer)
		var status *httpjson.StatusError
		fmt.Println(answer.Offset, errors.As(err, &status))
	}
	// Output:
	// 7 false
	// 0 true
}
