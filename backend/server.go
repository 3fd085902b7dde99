package backend

import (
	"math"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

const (
	// speedLevels is the number of speed levels, into which servers are
	// grouped by their slowness factors. Level 0 is the fastest.
	speedLevels = 64
	// levelsPerOctave is the number of levels between a server and one that
	// is twice as slow.
	levelsPerOctave = 4
	// excessLifetime is the time for which excess tasks, those that a server
	// reports beyond the tasks known to run there, occupy its slots.
	excessLifetime = 500 * time.Millisecond
)

// A server is a row of the servers table and the state of the server's slots on
// this instance.
type server struct {
	row operator.Server
	// held reports whether this instance may start tasks on the server.
	held bool
	// drained is set if no task is started on the server because its
	// availability zone is drained.
	drained bool
	// released is when this instance last stopped holding the server.
	released time.Time
	health   *health
	slowness slowness
	// level is the speed level in [0, speedLevels).
	level   int
	running int
	// formerHolderTasks is the number of slots that are still occupied by
	// tasks of the instance that held the server before.
	formerHolderTasks int
	// lastExcess is the number of excess tasks in the server's latest report,
	// excess is the smaller number of the latest two reports, and excessUntil
	// is when excess expires.
	lastExcess, excess int
	excessUntil        time.Time
	// used is the sum of the declared demands of this instance's running
	// tasks.
	used demand
	// reserved is the route for which the server is reserved, or nil.
	reserved *route
	// usable, free and busy are what the server contributes to the sums of
	// the dispatcher: the slots that this instance may use, those of them that
	// are idle, and those that its own tasks occupy.
	usable, free, busy int
	// busyLevel is the speed level at which busy is counted.
	busyLevel int
	// positions holds the server's position in each heap, by the index of the
	// heap, or notInHeap.
	positions []int32
}

// limit returns the maximum number of tasks that may run on s at once. It is 0
// if this instance does not hold s, or s is drained.
func (s *server) limit() int {
	if !s.held || s.drained {
		return 0
	}
	return s.health.limit(s.row.Slots)
}

// occupied returns the number of slots of s that are occupied by tasks of this
// instance, tasks of the former holder and excess tasks.
func (s *server) occupied() int {
	return s.running + s.formerHolderTasks + s.excess
}

// fits reports whether the cores and memory that are left on the server
// suffice for one more task with the given demand.
func (s *server) fits(d demand) bool {
	if d.milliCores > 0 && s.row.Cores > 0 {
		free := int64(s.row.Cores)*milli - s.used.milliCores - int64(s.formerHolderTasks)*s.slotMilliCores()
		if d.milliCores > free {
			return false
		}
	}
	if d.memoryMiB > 0 && s.row.MemoryMiB > 0 {
		free := int64(s.row.MemoryMiB) - s.used.memoryMiB - int64(s.formerHolderTasks)*s.slotMemory()
		return d.memoryMiB <= free
	}
	return true
}

// slotMilliCores returns the cores of one slot in thousandths. A task of a
// former holder is assumed to use that many.
func (s *server) slotMilliCores() int64 {
	return int64(s.row.Cores) * milli / int64(max(s.row.Slots, 1))
}

// slotMemory returns the memory of one slot in MiB. A task of a former holder
// is assumed to use that much.
func (s *server) slotMemory() int64 {
	return int64(s.row.MemoryMiB) / int64(max(s.row.Slots, 1))
}

// setLevel sets the speed level that corresponds to the slowness factor.
func (s *server) setLevel() {
	level := speedLevels/2 + int(math.Round(s.slowness.log/math.Ln2*levelsPerOctave))
	s.level = min(max(level, 0), speedLevels-1)
}

// levelFactors holds the run time at each speed level relative to a typical
// server.
var levelFactors = func() (factors [speedLevels]float64) {
	for i := range factors {
		factors[i] = math.Exp2(float64(i-speedLevels/2) / levelsPerOctave)
	}
	return factors
}()

// faster reports whether a task is expected to finish sooner on a than on b,
// where both have a free slot. Within a speed level the server with the lower
// load comes first.
func faster(a, b *server) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	loadA := a.occupied() * b.row.Slots
	loadB := b.occupied() * a.row.Slots
	if loadA != loadB {
		return loadA < loadB
	}
	return a.row.Address.Compare(b.row.Address) < 0
}
