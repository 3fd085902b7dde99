package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against links that are full of configurations, because every peer of an instance
// whose configuration is outdated sends it the whole one again and again.
func TestOutdatedInstanceGetsOneConfigurationAtATime(t *testing.T) {
	for _, name := range []string{"the leader", "a follower"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			sim.run(warmUp)
			var outdated *simulatedInstance
			for _, n := range sim.instances {
				if n.instance.Leading() == (name == "the leader") {
					outdated = n
				}
			}
			for _, n := range sim.instances {
				if n != outdated {
					n.instance.SetTables(sim.now, 7, []byte("a large configuration"))
				}
			}
			// The simulation does not apply configurations, as if the link were slow.
			sim.run(3 * time.Second)
			sent := sim.tablesSent[outdated.address]
			is.True(sent >= 1)
			is.True(sent <= 3) // one request a second
			is.Equal(len(sim.tablesSent), 1)
		})
	}
}
