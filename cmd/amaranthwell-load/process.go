package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of the processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat after the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// A process is one program that the load program started.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *os.File
	// ended is closed once the process has ended.
	ended chan struct{}
	err   error
}

// outputSuffix ends the names of the files that hold programs' output.
const outputSuffix = ".output"

// removeOutput removes the output of an earlier run from dir.
func removeOutput(dir string) error {
	old, err := filepath.Glob(filepath.Join(dir, "*"+outputSuffix))
	if err != nil {
		return err
	}
	for _, file := range old {
		if err := os.Remove(file); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts a program whose output goes to a file in dir.
func startProcess(dir, name, program string, args ...string) (*process, error) {
	file := filepath.Join(dir, name+outputSuffix)
	output, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout = output
	cmd.Stderr = output
	if err := cmd.Start(); err != nil {
		_ = output.Close()
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	p := &process{name: name, cmd: cmd, output: output, ended: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = output.Close()
		close(p.ended)
	}()
	return p, nil
}

// signal sends sig to the process by its id. A process that has ended is left
// alone.
func (p *process) signal(sig syscall.Signal) error {
	if !p.running() {
		return nil
	}
	return p.cmd.Process.Signal(sig)
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop asks the process to end, and kills it if it has not ended in patience.
// It reports whether the process ended by itself with exit code 0.
func (p *process) stop(patience time.Duration) bool {
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return p.err == nil
	case <-time.After(patience):
	}
	_ = p.signal(syscall.SIGKILL)
	<-p.ended
	return false
}

// processorTime returns the processor time that the process has used, or 0
// once it has ended.
func (p *process) processorTime() time.Duration {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
	if err != nil {
		return 0
	}
	return parseProcessorTime(string(text))
}

// parseProcessorTime returns user and system time from the text of a
// /proc/PID/stat file, or 0 if the text is malformed.
func parseProcessorTime(stat string) time.Duration {
	// The command's name, in parentheses, may itself hold any character.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statSystemTime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick
}
