package main

import (
	"runtime"
	"syscall"
	"time"
)

// Constants of measuring.
const (
	// enough is the processor time of one trial.
	enough = 30 * time.Millisecond
	// trials is the number of trials, of which the least counts: what else
	// runs on the machine can only add.
	trials = 3
)

// used returns the processor time that the process has used, with that of the
// garbage collector.
func used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// nanosOf returns the processor time of one call of f in nanoseconds.
func nanosOf(f func()) float64 {
	f()
	runtime.GC()
	least := 0.0
	for trial := range trials {
		calls := 0
		begin := used()
		spent := time.Duration(0)
		for batch := 1; spent < enough; batch *= 2 {
			for range batch {
				f()
			}
			calls += batch
			spent = used() - begin
		}
		each := float64(spent) / float64(calls)
		if trial == 0 || each < least {
			least = each
		}
	}
	return least
}

// heapOf returns the memory in bytes that what build returns keeps alive.
func heapOf[T any](build func() T) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(int64(after) - int64(before))
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// mallocs returns the number of allocations of the process.
func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
