package main

import (
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/logservice"
)

// newLog returns the log at url, or an error if url is not one.
func newLog(url string) (operator.Log, error) {
	return logservice.NewLogClient(logservice.LogConfig{URL: url})
}
