package entry

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/amaranthwell/amaranthwell/caller"
)

// The functions in this file return the keys of maps in a fixed order, so that
// the same events lead to the same decisions in every run.

func sortedJobKeys[V any](m map[caller.Key]V) []caller.Key {
	return slices.SortedFunc(maps.Keys(m), compareKeys)
}

func sortedAddrs[V any](m map[netip.AddrPort]V) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m), netip.AddrPort.Compare)
}

func sortedMapKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
