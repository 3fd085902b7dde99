package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// keyLead is how long before its start a job's client fetches its key.
const keyLead = 100 * time.Millisecond

// A stream is one route's open-loop load: jobs start at the moments of a
// Poisson process, whatever became of the earlier ones.
type stream struct {
	route string
	// load is the nominal task time offered a second as a part of the fleet.
	load  float64
	entry int
	// waves, if not nil, replaces the Poisson process by cancellation waves.
	waves *waves
}

// waves configures cancellation waves: many jobs that start at once and are
// nearly all cancelled a little later.
type waves struct {
	every       time.Duration
	jobs        int
	cancelAfter time.Duration
	// cancelled is the part of the jobs that are cancelled, in [0, 1].
	cancelled float64
}

// A generator submits the jobs of a phase's streams.
type generator struct {
	client      *client
	seed        uint64
	fleet       *fleet
	meanJobTime time.Duration
	jobs        sync.WaitGroup
}

// run submits the jobs of all streams from begin to end, and returns when all
// have been submitted; some may not have been answered then. The jobs of a
// stream depend on the seed, the stream's index and its load only.
func (g *generator) run(ctx context.Context, streams []stream, phase string, begin, end time.Time) {
	var all sync.WaitGroup
	for i, s := range streams {
		r := rand.New(rand.NewPCG(g.seed, uint64(i)))
		all.Go(func() {
			if s.waves != nil {
				g.runWaves(ctx, s, r, phase, begin, end)
				return
			}
			g.runStream(ctx, s, r, phase, begin, end)
		})
	}
	all.Wait()
}

func (g *generator) runStream(ctx context.Context, s stream, r *rand.Rand, phase string, begin, end time.Time) {
	if s.load <= 0 {
		return
	}
	jobsPerSecond := s.load * float64(g.fleet.capacity()) / float64(g.meanJobTime)
	start := begin
	for n := 0; ; n++ {
		start = start.Add(time.Duration(r.ExpFloat64() / jobsPerSecond * float64(time.Second)))
		if !start.Before(end) || ctx.Err() != nil {
			return
		}
		j := newJob(r, s.route)
		j.id = fmt.Sprintf("%s-%s-%d", phase, s.route, n)
		g.submit(ctx, submission{job: j, start: start, entry: s.entry})
	}
}

func (g *generator) runWaves(ctx context.Context, s stream, r *rand.Rand, phase string, begin, end time.Time) {
	n := 0
	for start := begin.Add(s.waves.every); start.Before(end); start = start.Add(s.waves.every) {
		for range s.waves.jobs {
			j := newJob(r, s.route)
			j.id = fmt.Sprintf("%s-%s-wave-%d", phase, s.route, n)
			n++
			sub := submission{job: j, start: start, entry: s.entry}
			if r.Float64() < s.waves.cancelled {
				sub.cancelAfter = s.waves.cancelAfter
			}
			g.submit(ctx, sub)
		}
	}
}

// submit starts the job's client a little ahead of the job's start.
func (g *generator) submit(ctx context.Context, s submission) {
	sleepUntil(ctx, s.start.Add(-keyLead))
	g.jobs.Go(func() { g.client.run(ctx, s) })
}

// wait waits until every submitted job has its outcome.
func (g *generator) wait() {
	g.jobs.Wait()
}
