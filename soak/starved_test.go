package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// callersPerStarved is the number of callers that connect to each starved instance during
	// the first arrivalPhase of its pause. The jobs are more than it can handle at once.
	callersPerStarved = 100
	arrivalPhase      = 400 * time.Millisecond
	// starvedPatience is the time after which a caller closes its connection.
	starvedPatience = 1500 * time.Millisecond
	// starvedPause ends while the jobs that were submitted again run.
	starvedPause    = 3200 * time.Millisecond
	starvedTaskTime = 1200 * time.Millisecond
	// After its pause an instance runs for a short time of each starvedCycle, until
	// starvedPhase is over. Each stop is too short to count as a pause.
	starvedCycle = 100 * time.Millisecond
	starvedPhase = 1500 * time.Millisecond
)

// TestStarvedReceiversForwardNoAbandonedJobs guards against two runs of a task at once, because
// an instance that was paused forwards jobs whose callers have left and run them in another zone.
func TestStarvedReceiversForwardNoAbandonedJobs(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, buildBinary(t), subnets-1, clusterConfig{instancesPerZone: 4, tasksPerWorker: 1000, taskTime: starvedTaskTime})
	c.calm.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, i := range c.instances {
		is.True(i.awaitReady(ctx))
		is.True(i.awaitRoute(ctx, "/p/"))
	}
	time.Sleep(2 * time.Second) // until each zone has a leader of its own
	leaders, receivers := make(map[string]*instance), []*instance(nil)
	for _, i := range c.instances {
		if i.leads() {
			leaders[i.settings.Zone] = i
		} else {
			receivers = append(receivers, i)
		}
	}
	is.Equal(len(leaders), zones)
	var wait sync.WaitGroup
	for n, i := range receivers {
		elsewhere := leaders[zone(0)]
		if i.settings.Zone == zone(0) {
			elsewhere = leaders[zone(1)]
		}
		// How long it takes from a forward to its withdrawal depends on the machine, so the
		// slices, of which some must end in between, have four lengths.
		slice := 250 * time.Microsecond << (n % 4)
		wait.Go(func() { i.pauseAndStarve(slice) })
		for job := range callersPerStarved {
			wait.Go(func() {
				time.Sleep(arrivalPhase * time.Duration(job) / callersPerStarved)
				path := fmt.Sprintf("/p/%016x", n*callersPerStarved+job)
				body := `{"best_effort":true,"spec":"s","pipeline":[{"count":1,"cpu":1000,"mem_mb":1,"estimated_ms":1200}]}`
				if post("http://"+i.settings.CallerAddress.String()+path, body, starvedPatience, starvedPatience) == 0 {
					time.Sleep(resubmitAfter)
					post("http://"+elsewhere.settings.CallerAddress.String()+path, body, starvedPatience, starvedPatience)
				}
			})
		}
	}
	wait.Wait()
	is.Equal(c.checker.violations(), nil)
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	is.True(len(c.checker.ran) > callersPerStarved) // jobs run, so that the check before is not empty
}

// pauseAndStarve pauses the process and then lets it run only for a slice of each
// starvedCycle.
func (i *instance) pauseAndStarve(slice time.Duration) {
	i.signal(syscall.SIGSTOP)
	time.Sleep(starvedPause)
	for range starvedPhase / starvedCycle {
		i.signal(syscall.SIGCONT)
		time.Sleep(slice)
		i.signal(syscall.SIGSTOP)
		time.Sleep(starvedCycle - slice)
	}
	i.signal(syscall.SIGCONT)
}

// leads reports whether the instance leads a zone.
func (i *instance) leads() bool {
	resp, err := http.Get("http://" + i.settings.MetricsAddress.String() + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(text), "amaranthwell_zone_leading 1\n")
}
