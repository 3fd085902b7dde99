package main

import (
	"github.com/amaranthwell/amaranthwell/logservice"
	"github.com/amaranthwell/amaranthwell/operator"
)

// newLog returns the log at url, or an error if url is not one.
func newLog(url string) (operator.Log, error) {
	return logservice.NewLogClient(logservice.LogConfig{URL: url})
}
