package main

import (
	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/operator"
)

// newLog returns a client of the log at url. It returns an error if url is invalid.
func newLog(url string) (operator.Log, error) {
	return logservice.NewLogClient(logservice.LogConfig{URL: url})
}
