package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The size of the system under test, the times of the run and the load.
const (
	zones            = 2
	instancesPerZone = 2
	workersPerZone   = 3
	tasksPerWorker   = 4
	taskTime         = 120 * time.Millisecond
	// During the faults one of longTasks tasks takes longTaskTime, longer than it takes
	// until a caller submits its job again.
	longTasks    = 12
	longTaskTime = 2500 * time.Millisecond
	// cpuShare is the processor capacity of an instance in cores. It is enough to lead
	// the workers of one zone, but not those of both.
	cpuShare = 0.02
	// One of impatientCallers callers closes its first connection after impatience.
	impatientCallers = 10
	impatience       = 400 * time.Millisecond
	// lateShare is the share of the commands to workers that are carried out lateTime
	// later, and get no answer, while that fault lasts.
	lateShare = 0.5
	lateTime  = 3 * time.Second
	// quickRestart is too short for peers to notice the silence of a process.
	quickRestart = 100 * time.Millisecond
	faultPhase   = 6 * time.Second
	arrivalGap   = 25 * time.Millisecond
	// resubmitAfter is the time after which a caller submits a job again whose
	// outcome is unknown.
	resubmitAfter = 1300 * time.Millisecond
	// callerTimeout is a caller's deadline for each request.
	callerTimeout = 2500 * time.Millisecond
	// The instances of each seed have addresses in a subnet 127.0.N.0/24 of their own.
	// N is in [firstSubnet, firstSubnet+subnets).
	firstSubnet = 10
	subnets     = 200
	// configurationDeadline is the time after the last fault within which a new
	// configuration must be in force: 3 s until an instance counts as connected again,
	// and 2 s for the configuration, by the bounds of the platform's deployments.
	configurationDeadline = 5 * time.Second
)

// seeds returns the first seed, SOAK_FIRST or 0, and the number of seeds to run,
// SOAK_SEEDS or 1.
func seeds() (first, n uint64) {
	n = 1
	if v, err := strconv.ParseUint(os.Getenv("SOAK_SEEDS"), 10, 64); err == nil {
		n = v
	}
	if v, err := strconv.ParseUint(os.Getenv("SOAK_FIRST"), 10, 64); err == nil {
		first = v
	}
	return first, n
}

// TestNoTaskRunsTwiceUnderRandomFaults runs jobs while random faults overlap. It
// checks that no task has two runs at once, that a job did not run if all its answers
// report that it did not, and that jobs succeed once the faults are over. Then all
// connections to the store go silent, and a new configuration must still arrive.
func TestNoTaskRunsTwiceUnderRandomFaults(t *testing.T) {
	binary := buildBinary(t)
	first, n := seeds()
	for seed := first; seed < first+n; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, seed)
		})
	}
}

func runSeed(t *testing.T, binary string, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 7))
	c := newCluster(t, binary, seed, clusterConfig{instancesPerZone, tasksPerWorker, taskTime})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, i := range c.instances {
		is.True(i.awaitReady(ctx))
	}
	var jobs, faults sync.WaitGroup
	nextJob := 0
	arrive := func(d time.Duration) []string {
		var ids []string
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(arrivalGap) {
			id := fmt.Sprintf("%016x", nextJob)
			nextJob++
			ids = append(ids, id)
			jobRandom := rand.New(rand.NewPCG(seed, uint64(nextJob)))
			jobs.Go(func() { c.submit(id, jobRandom) })
		}
		return ids
	}
	for range 8 + random.IntN(8) {
		at := time.Duration(random.Int64N(int64(faultPhase)))
		r := rand.New(rand.NewPCG(seed, random.Uint64()))
		faults.Go(func() {
			time.Sleep(at)
			c.injectFault(r, &faults)
		})
	}
	arrive(faultPhase)
	faults.Wait()
	for _, i := range c.instances {
		is.True(i.awaitReady(ctx)) // all instances have recovered
	}
	c.calm.Store(true)
	time.Sleep(2 * time.Second)
	afterFaults := arrive(500 * time.Millisecond)
	jobs.Wait()

	c.store.SilenceConnections()
	c.putRoute(2, "/r/")
	inForce, cancelInForce := context.WithTimeout(ctx, configurationDeadline)
	defer cancelInForce()
	for _, i := range c.instances {
		is.True(i.awaitRoute(inForce, "/r/")) // the configuration arrives although all connections to the store are silent
	}

	is.Equal(c.checker.violations(), nil)
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	for id, statuses := range c.checker.answered {
		refused := 0
		for _, status := range statuses {
			if status == http.StatusServiceUnavailable {
				refused++
			}
		}
		if refused == len(statuses) && c.checker.ran[id] {
			t.Errorf("job %s ran, but all answers report that it did not", id)
		}
	}
	for _, id := range afterFaults {
		statuses := c.checker.answered[id]
		is.Equal(statuses[len(statuses)-1], http.StatusOK) // jobs succeed after the faults
	}
}
