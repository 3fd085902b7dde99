package backend

import (
	"math"
	"time"

	"github.com/amaranthwell/amaranthwell/operator"
)

const (
	// speedLevels is the number of levels of speed, fastest first.
	speedLevels = 64
	// levelsPerOctave is the number of levels between a server and one that
	// is twice as slow.
	levelsPerOctave = 4
	// excessLifetime is the time for which tasks that a server reported beyond the
	// known ones are held against it.
	excessLifetime = 500 * time.Millisecond
)

// A server is a backend server with the tasks that this holder runs there.
type server struct {
	row operator.Server
	// held says that this holder may start tasks on the server.
	held bool
	// released is when the server was last no longer held.
	released time.Time
	health   *health
	slowness slowness
	// level is the server's level of speed in [0, speedLevels).
	level   int
	running int
	// formerHolderTasks is the number of the former holder's tasks.
	formerHolderTasks int
	// lastExcess is the number of tasks beyond the known ones in the latest
	// report, excess that of the latest two, and excessUntil ends its effect.
	lastExcess, excess int
	excessUntil      time.Time
	// used is what the tasks of this holder have declared.
	used demand
	// reserved is the route for which the server is set aside, or nil.
	reserved *route
	// usable, free and busy are what the server adds to the dispatcher's
	// sums: the slots in use or open to tasks, those open, those in use.
	usable, free, busy int
	// busyLevel is the level at which busy is counted.
	busyLevel int
	// positions holds the server's position on each shelf, or absent.
	positions []int32
}

// limit returns the number of tasks that may run on s at once.
func (s *server) limit() int {
	if !s.held {
		return 0
	}
	return s.health.limit(s.row.Slots)
}

// occupied returns the number of slots of s that are taken.
func (s *server) occupied() int {
	return s.running + s.formerHolderTasks + s.excess
}

// fits reports whether the server's guards leave room for one more task.
func (s *server) fits(d demand) bool {
	if d.milliCores > 0 && s.row.Cores > 0 {
		room := int64(s.row.Cores)*milli - s.used.milliCores - int64(s.formerHolderTasks)*s.slotMilliCores()
		if d.milliCores > room {
			return false
		}
	}
	if d.memoryMiB > 0 && s.row.MemoryMiB > 0 {
		room := int64(s.row.MemoryMiB) - s.used.memoryMiB - int64(s.formerHolderTasks)*s.slotMemory()
		return d.memoryMiB <= room
	}
	return true
}

// slotMilliCores returns the cores of one slot in thousandths, which a former
// holder's task is taken to use.
func (s *server) slotMilliCores() int64 {
	return int64(s.row.Cores) * milli / int64(max(s.row.Slots, 1))
}

// slotMemory returns the memory of one slot in MiB.
func (s *server) slotMemory() int64 {
	return int64(s.row.MemoryMiB) / int64(max(s.row.Slots, 1))
}

// setLevel brings the level of speed up to date.
func (s *server) setLevel() {
	level := speedLevels/2 + int(math.Round(s.slowness.log/math.Ln2*levelsPerOctave))
	s.level = min(max(level, 0), speedLevels-1)
}

// levelFactors holds the run time at each level relative to a typical server.
var levelFactors = func() (factors [speedLevels]float64) {
	for i := range factors {
		factors[i] = math.Exp2(float64(i-speedLevels/2) / levelsPerOctave)
	}
	return factors
}()

// faster reports whether a task is expected to finish sooner on a than on b,
// both with a free slot. Of servers at one level the emptier goes first.
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
