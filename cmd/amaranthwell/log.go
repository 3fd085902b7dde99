package main

import (
	"github.com/amaranthwell/amaranthwell/operator"
	"github.com/amaranthwell/amaranthwell/platform"
)

// newLog returns the log at url, or an error if url is not one.
func newLog(url string) (operator.Log, error) {
	return platform.NewLogClient(platform.LogConfig{URL: url})
}
