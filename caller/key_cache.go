package caller

import (
	"slices"
	"time"
)

// A keyring holds keys that were issued in advance and not used.
type keyring struct {
	// max bounds the number of keys held.
	max  int
	keys []heldKey
}

// A heldKey is a key that may be used until a time.
type heldKey struct {
	key   Key
	until time.Time
}

// add holds key until a time. The oldest key makes room.
func (r *keyring) add(key Key, until time.Time) {
	if len(r.keys) == r.max {
		r.keys = slices.Delete(r.keys, 0, 1)
	}
	r.keys = append(r.keys, heldKey{key: key, until: until})
}

// take removes and returns the newest key, and whether there is one that may
// be used at now. The newest was most likely issued by a live instance.
func (r *keyring) take(now time.Time) (Key, bool) {
	for len(r.keys) > 0 {
		last := r.keys[len(r.keys)-1]
		r.keys = r.keys[:len(r.keys)-1]
		if now.Before(last.until) {
			return last.key, true
		}
	}
	return Key{}, false
}

// drop forgets the keys that the issuer of key issued.
func (r *keyring) drop(key Key) {
	r.keys = slices.DeleteFunc(r.keys, func(held heldKey) bool {
		return held.key.Owner == key.Owner && held.key.Incarnation == key.Incarnation
	})
}
