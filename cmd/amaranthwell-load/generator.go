package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// keyFetchLead is how long before a job's intended start its client fetches the key.
const keyFetchLead = 100 * time.Millisecond

// A stream is the open-loop load of one route: jobs start at the times of a
// Poisson process, independently of the outcomes of earlier jobs.
type stream struct {
	route string
	// load is the run time at nominal speed of the tasks offered per second, as a
	// fraction of the fleet's capacity.
	load float64
	// entry is the index of the entry instance that receives the jobs, or anyEntry.
	entry int
	// waves, if not nil, replaces the Poisson process with cancellation waves.
	waves *waves
}

// waves configures cancellation waves. The jobs of a wave start at the same time, and
// most of them are cancelled shortly afterwards.
type waves struct {
	// interval is the time between the starts of two waves.
	interval    time.Duration
	jobsPerWave int
	// cancelAfter is the time from the start of a job to its cancellation.
	cancelAfter time.Duration
	// cancelledFraction is the expected fraction of cancelled jobs, in [0, 1].
	cancelledFraction float64
}

// A generator submits the jobs of a phase's streams.
type generator struct {
	client *client
	seed   uint64
	fleet  *fleet
	// meanJobTime is the mean of the total run time of a job at nominal speed.
	meanJobTime time.Duration
	// jobs counts the jobs whose outcomes are not recorded yet.
	jobs sync.WaitGroup
}

// run submits the jobs of all streams whose intended start is in [begin, end). It returns
// once all are submitted, when some may still be unanswered. The jobs of a stream depend
// only on the seed, the index of the stream, and the load or waves of the stream.
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

// submit waits until keyFetchLead before the job's intended start, and then lets the
// client run s in a goroutine.
func (g *generator) submit(ctx context.Context, s submission) {
	sleepUntil(ctx, s.start.Add(-keyFetchLead))
	g.jobs.Go(func() { g.client.run(ctx, s) })
}

// wait blocks until the outcomes of all submitted jobs are recorded.
func (g *generator) wait() {
	g.jobs.Wait()
}
