package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// requestTimeout is the time limit of a request, including its response.
const requestTimeout = 2 * time.Second

// requestCommand makes one HTTP request, so that scripts need no separate HTTP
// client.
type requestCommand struct {
	Method string `long:"method" default:"GET" description:"method of the request"`
	Body   string `long:"body" description:"body of the request"`
	Args   struct {
		URL string `positional-arg-name:"URL" required:"yes"`
	} `positional-args:"yes"`

	ctx context.Context
}

// Execute makes the request and prints the body of the response. It returns an
// error if there is no response or its status is not 2xx.
func (c *requestCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, c.Args.URL, strings.NewReader(c.Body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Newf("unexpected response from %s: %s", c.Args.URL, response.Status)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
