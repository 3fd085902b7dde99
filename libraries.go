//go:build libraries

// Package libraries pins libraries until the packages that use them land.
package libraries

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/ThreeDotsLabs/watermill"
	_ "github.com/ThreeDotsLabs/watermill/message"
	_ "github.com/ThreeDotsLabs/watermill/message/router/middleware"
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/go-kit/log"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/matryer/is"
	_ "github.com/pelletier/go-toml/v2"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)
