package soak

import (
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthwell/amaranthwell/platform"
)

// A runChecker records the runs of each task on all workers and the answers to each
// job.
type runChecker struct {
	mu sync.Mutex
	// running holds the number of current runs of each task, by the task's name.
	running map[string]int
	// ran holds true for each job of which a task has started, by the job's ID.
	ran map[string]bool
	// answered holds, by the job's ID, the status codes of the answers to the job's
	// requests, with 0 for a request without an answer.
	answered map[string][]int
	// doubled are the starts of tasks of which another run was running.
	doubled []doubledStart
}

// A doubledStart is a start of a task while another run of it was running.
type doubledStart struct {
	task string
	at   time.Time
}

func (c *runChecker) started(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[task]++
	// A task's name begins with the job's ID and a dot.
	c.ran[task[:strings.IndexByte(task, '.')]] = true
	if c.running[task] > 1 {
		c.doubled = append(c.doubled, doubledStart{task, time.Now()})
	}
}

// lapsed records that a run of a task ended at the time at which its lease expired. A busy machine
// notices that late: a start after that time does not double the run.
func (c *runChecker) lapsed(task string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubled = slices.DeleteFunc(c.doubled, func(s doubledStart) bool { return s.task == task && s.at.After(at) })
}

// violations describes the tasks that had more than one run at once.
func (c *runChecker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for _, s := range c.doubled {
		all = append(all, "two runs of "+s.task+" at once")
	}
	return all
}

func (c *runChecker) ended(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[task]--
}

// An instance is an entry instance in a process of its own.
type instance struct {
	// settings are the contents of the node file at the path file. binary is the path
	// of the program.
	settings platform.Node
	file     string
	binary   string
	// peerListen is the address at which the process listens for its peers, which
	// reach it through a proxy.
	peerListen string
	log        *os.File
	// faultMu is held while a fault acts on the process, so that faults of one process
	// do not overlap.
	faultMu sync.Mutex
	mu      sync.Mutex
	cmd     *exec.Cmd
}

// start starts the process, or starts it again after it has ended.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd = exec.Command(i.binary, "serve", "--node-file", i.file, "--peer-listen", i.peerListen)
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	return i.cmd.Start()
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	// Fails only if the process has ended.
	_ = i.cmd.Process.Signal(s)
}

// wait waits until the process has ended.
func (i *instance) wait() {
	i.mu.Lock()
	cmd := i.cmd
	i.mu.Unlock()
	// Returns an error if the process was killed.
	_ = cmd.Wait()
}
