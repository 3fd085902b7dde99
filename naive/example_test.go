package naive_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/amaranthwell/amaranthwell/naive"
)

func ExampleServer() {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer backend.Close()
	s, err := naive.New(naive.Config{
		Servers:     []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://"))},
		MaxRunning:  1,
		MaxAttempts: 3,
		Timeout:     time.Minute,
	})
	if err != nil {
		panic(err)
	}
	defer s.Close()
	w := httptest.NewRecorder()
	job := `{"key":"k","route":"previews","tasks":["cmF3"]}`
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(job)))
	fmt.Println(strings.TrimSpace(w.Body.String()))
	// Output: {"key":"k","status":"complete","results":["cmF3"]}
}
