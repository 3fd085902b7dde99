package main

import (
	"runtime"
	"syscall"
	"time"
)

// Parameters of cpuNanos.
const (
	// minTrialTime is the processor time that one trial takes at least. A trial
	// repeats the measured call until that time is reached.
	minTrialTime = 30 * time.Millisecond
	// trials is the number of trials. The smallest result is used, because
	// other load on the machine only adds processor time.
	trials = 3
)

// processTime returns the processor time that the process has used, including
// that of the garbage collector.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuNanos returns the mean processor time of one call of f in nanoseconds, in the trial
// with the smallest mean.
func cpuNanos(f func()) float64 {
	f()
	runtime.GC()
	least := 0.0
	for trial := range trials {
		calls := 0
		begin := processTime()
		spent := time.Duration(0)
		for batch := 1; spent < minTrialTime; batch *= 2 {
			for range batch {
				f()
			}
			calls += batch
			spent = processTime() - begin
		}
		each := float64(spent) / float64(calls)
		if trial == 0 || each < least {
			least = each
		}
	}
	return least
}

// retainedBytes returns by how many bytes the live heap grows when build is called and
// its result is kept.
func retainedBytes[T any](build func() T) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return float64(int64(after) - int64(before))
}

// heapBytes returns the bytes of the live heap objects after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// allocCount returns the number of heap allocations that the process has made.
func allocCount() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
