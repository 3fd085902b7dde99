package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// keyFetchLead is the time before a job's start at which its client fetches the
// key.
const keyFetchLead = 100 * time.Millisecond

// A stream is the open-loop load of one route: jobs start at the times of a
// Poisson process, independently of the outcomes of earlier jobs.
type stream struct {
	route string
	// load is the nominal task run time offered per second, as a fraction of
	// the fleet's capacity.
	load  float64
	entry int
	// waves, if not nil, replaces the Poisson process with cancellation waves.
	waves *waves
}

// waves configures cancellation waves: jobs that start at the same time and most
// of which are cancelled shortly afterwards.
type waves struct {
	interval    time.Duration
	jobsPerWave int
	cancelAfter time.Duration
	// cancelledFraction is the expected fraction of cancelled jobs, in [0, 1].
	cancelledFraction float64
}

// A generator submits the jobs of a phase's streams.
type generator struct {
	client      *client
	seed        uint64
	fleet       *fleet
	meanJobTime time.Duration
	jobs        sync.WaitGroup
}

// run submits the jobs of all streams that start from begin to end. It returns
// once all are submitted, when some may still be unanswered. The jobs of a stream
// depend only on the seed, the stream's index, and its load or waves.
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
	for start := begin.Add(s.waves.interval); start.Before(end); start = start.Add(s.waves.interval) {
		for range s.waves.jobsPerWave {
			j := newJob(r, s.route)
			j.id = fmt.Sprintf("%s-%s-wave-%d", phase, s.route, n)
			n++
			sub := submission{job: j, start: start, entry: s.entry}
			if r.Float64() < s.waves.cancelledFraction {
				sub.cancelAfter = s.waves.cancelAfter
			}
			g.submit(ctx, sub)
		}
	}
}

// submit starts the client's run of s in a goroutine, keyFetchLead before the
// job's start.
func (g *generator) submit(ctx context.Context, s submission) {
	sleepUntil(ctx, s.start.Add(-keyFetchLead))
	g.jobs.Go(func() { g.client.run(ctx, s) })
}

// wait blocks until the outcomes of all submitted jobs are recorded.
func (g *generator) wait() {
	g.jobs.Wait()
}
