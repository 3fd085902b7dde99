package entry

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/amaranthwell/amaranthwell/caller"
)

// The functions here give the keys of maps in an order that does not change
// from run to run, so that the same events lead to the same decisions.

func sortedKeys[V any](m map[caller.Key]V) []caller.Key {
	return slices.SortedFunc(maps.Keys(m), compareKeys)
}

func sortedAddrs[V any](m map[netip.AddrPort]V) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m), netip.AddrPort.Compare)
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
