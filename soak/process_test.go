package soak

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"

	"github.com/amaranthwell/amaranthwell/platform"
)

// A judge sees each task's runs on all workers.
type judge struct {
	mu       sync.Mutex
	running  map[string]int
	ran      map[string]bool
	answered map[string][]int
	faults   []string
}

func (j *judge) started(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running[task]++
	j.ran[task[:strings.IndexByte(task, '.')]] = true
	if j.running[task] > 1 {
		j.faults = append(j.faults, "two runs of "+task+" at once")
	}
}

func (j *judge) ended(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running[task]--
}

// A node is a process of the program, with the settings that it begins with.
type node struct {
	node   platform.Node
	file   string
	binary string
	// listens is where the process listens for its peers, which reach it through
	// a proxy.
	listens string
	log     *os.File
	// turn is held by the one fault that the process suffers.
	turn sync.Mutex
	mu   sync.Mutex
	cmd  *exec.Cmd
}

func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(n.binary, "serve", "--node-file", n.file, "--peer-listen", n.listens)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	return n.cmd.Start()
}

// signal sends a signal to the process that the soak started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// A process that has ended takes no signal.
	_ = n.cmd.Process.Signal(s)
}

// wait waits until the process has ended.
func (n *node) wait() {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	// A process that was killed has no good end.
	_ = cmd.Wait()
}
