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

// clockTick is the unit of processor times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted from the field after the command
// name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// A process is a child process of the load tool.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *os.File
	// ended is closed once the process has ended and err is set.
	ended chan struct{}
	err   error
}

// outputSuffix is the suffix of the names of files with the output of processes.
const outputSuffix = ".output"

// removeOutput removes the output files of earlier runs from dir.
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

// startProcess starts program with args. Its standard output and standard error are
// appended to the file name+outputSuffix in dir.
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

// signal sends sig to the process. It does nothing if the process has ended.
func (p *process) signal(sig syscall.Signal) error {
	if !p.running() {
		return nil
	}
	return p.cmd.Process.Signal(sig)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// stop sends SIGCONT to the process, in case it is paused, and then SIGTERM. It kills the
// process if it has not ended after timeout. stop returns true if the process ended with
// exit code 0 and did not have to be killed.
func (p *process) stop(timeout time.Duration) bool {
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return p.err == nil
	case <-time.After(timeout):
	}
	_ = p.signal(syscall.SIGKILL)
	<-p.ended
	return false
}

// processorTime returns the sum of the user and system time that the process has used, or
// 0 after the process has ended.
func (p *process) processorTime() time.Duration {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
	if err != nil {
		return 0
	}
	return parseProcessorTime(string(text))
}

// parseProcessorTime returns the sum of user and system time in the text of a
// /proc/PID/stat file, or 0 if the text has too few fields.
func parseProcessorTime(stat string) time.Duration {
	// The command name is in parentheses and can contain any character, so
	// the fields are counted from the last closing parenthesis.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= statSystemTime {
		return 0
	}
	user, _ := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemTime], 10, 64)
	return time.Duration(user+system) * clockTick
}
