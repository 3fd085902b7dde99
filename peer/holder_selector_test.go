package peer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/amaranthwell/amaranthwell/peer"
)

func anyHolder(netip.AddrPort) bool { return true }

func ExampleHolderSelector() {
	s := peer.NewHolderSelector(peer.HolderSelectorConfig{Random: rand.New(rand.NewPCG(1, 1))})
	s.Report(self, &peer.PoolLoad{Slots: 8}, 0)
	s.Report(second, &peer.PoolLoad{Slots: 8, Idle: []*peer.Idle{{Free: 1, Slowness: 1}}}, 0)
	holder, ok := s.Pick("previews", anyHolder)
	fmt.Println(holder, ok)
	// Output: 127.0.2.2:7000 true
}

func TestHolderSelectorFillsIdleSlotsThenShortQueues(t *testing.T) {
	is := is.New(t)
	s := peer.NewHolderSelector(peer.HolderSelectorConfig{Random: rand.New(rand.NewPCG(1, 1))})
	s.Report(self, &peer.PoolLoad{Slots: 8, Idle: []*peer.Idle{{Free: 3, Slowness: 1}}}, 0)
	s.Report(second, &peer.PoolLoad{Slots: 40, Idle: []*peer.Idle{{Free: 5, Slowness: 1}}}, 0)
	count := make(map[netip.AddrPort]int)
	for {
		holder, ok := s.Pick("previews", anyHolder)
		if !ok {
			break
		}
		count[holder]++
		s.Assigned(holder, "previews", 1)
	}
	// The queue of a holder may reach a quarter of its slots. Assigned tasks count
	// in it until a report includes them, also those for idle slots.
	is.Equal(count[self], 3)
	is.Equal(count[second], 10)
}

func TestHolderSelectorCountsTasksMissingFromAReport(t *testing.T) {
	is := is.New(t)
	s := peer.NewHolderSelector(peer.HolderSelectorConfig{Random: rand.New(rand.NewPCG(1, 1))})
	s.Report(self, &peer.PoolLoad{Slots: 1, Idle: []*peer.Idle{{Free: 1, Slowness: 1}}}, 0)
	s.Report(second, &peer.PoolLoad{Slots: 8}, 0)
	s.Assigned(self, "previews", 5)
	s.Report(self, &peer.PoolLoad{Slots: 1, Idle: []*peer.Idle{{Free: 1, Slowness: 1}}}, 4) // sent before envelope 5 was received
	holder, _ := s.Pick("previews", anyHolder)
	is.Equal(holder, second)
	s.Report(self, &peer.PoolLoad{Slots: 1, Idle: []*peer.Idle{{Free: 1, Slowness: 1}}}, 5)
	holder, _ = s.Pick("previews", anyHolder)
	is.Equal(holder, self)
}

func TestHolderSelectorExcludesUnusableHolders(t *testing.T) {
	is := is.New(t)
	s := peer.NewHolderSelector(peer.HolderSelectorConfig{Random: rand.New(rand.NewPCG(1, 1))})
	s.Report(self, &peer.PoolLoad{Slots: 8, Idle: []*peer.Idle{{Free: 8, Slowness: 1}}}, 0)
	_, ok := s.Pick("previews", func(netip.AddrPort) bool { return false })
	is.True(!ok)
}

func TestHolderSelectorPrefersTheFastestIdleSlots(t *testing.T) {
	is := is.New(t)
	s := peer.NewHolderSelector(peer.HolderSelectorConfig{Random: rand.New(rand.NewPCG(1, 1))})
	load := func(typical time.Duration, idle ...*peer.Idle) *peer.PoolLoad {
		return &peer.PoolLoad{Slots: 8, Idle: idle, Routes: []*peer.RouteLoad{
			{Route: "previews", TypicalNanos: int64(typical)},
		}}
	}
	// Expected run times: 100 and 400 ms at self, 150 ms at second.
	s.Report(self, load(100*time.Millisecond, &peer.Idle{Free: 2, Slowness: 1}, &peer.Idle{Free: 2, Slowness: 4}), 0)
	s.Report(second, load(300*time.Millisecond, &peer.Idle{Free: 2, Slowness: 0.5}), 0)
	var order []netip.AddrPort
	for range 6 {
		holder, ok := s.Pick("previews", anyHolder)
		is.True(ok)
		s.Assigned(holder, "previews", 1)
		order = append(order, holder)
	}
	is.Equal(order, []netip.AddrPort{self, self, second, second, self, self})
}

func TestHolderSelectorSkipsIdleSlotsOfAHolderWithMoreQueuedTasks(t *testing.T) {
	is := is.New(t)
	s := peer.NewHolderSelector(peer.HolderSelectorConfig{Random: rand.New(rand.NewPCG(1, 1))})
	// 12 tasks, a quarter of its slots, are queued at the holder although slow slots
	// are idle.
	s.Report(self, &peer.PoolLoad{
		Slots:  48,
		Idle:   []*peer.Idle{{Free: 8, Slowness: 4}},
		Routes: []*peer.RouteLoad{{Route: "previews", Queued: 12}},
	}, 0)
	_, ok := s.Pick("previews", anyHolder)
	is.True(!ok)
}
