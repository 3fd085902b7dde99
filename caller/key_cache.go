package caller

import (
	"slices"
	"time"
)

// A keyCache holds keys that were issued in advance and are still unused.
type keyCache struct {
	// max is the maximum number of keys.
	max int
	// keys holds the keys in the order in which they were added.
	keys []cachedKey
}

// A cachedKey is a key that may be used before a given time.
type cachedKey struct {
	key       Key
	useBefore time.Time
}

// add adds key, which may be used before the given time. If the cache is full,
// it removes the key that was added first.
func (c *keyCache) add(key Key, useBefore time.Time) {
	if len(c.keys) == c.max {
		c.keys = slices.Delete(c.keys, 0, 1)
	}
	c.keys = append(c.keys, cachedKey{key: key, useBefore: useBefore})
}

// take removes and returns the newest key that may be used at now, or returns
// false if there is none. It also removes the newer keys that may no longer be
// used. The newest key is preferred because its issuer is the most likely to be
// still reachable.
func (c *keyCache) take(now time.Time) (Key, bool) {
	for len(c.keys) > 0 {
		last := c.keys[len(c.keys)-1]
		c.keys = c.keys[:len(c.keys)-1]
		if now.Before(last.useBefore) {
			return last.key, true
		}
	}
	return Key{}, false
}

// dropIssuer removes all keys issued by the process that issued key.
func (c *keyCache) dropIssuer(key Key) {
	c.keys = slices.DeleteFunc(c.keys, func(cached cachedKey) bool {
		return cached.key.Owner == key.Owner && cached.key.Incarnation == key.Incarnation
	})
}
