package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestKeyCacheReturnsNewestKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	cache := keyCache{max: 2}
	for serial := range uint64(3) {
		cache.add(Key{Serial: serial + 1}, now.Add(time.Second))
	}
	for _, want := range []uint64{3, 2} {
		key, ok := cache.take(now)
		is.True(ok)
		is.Equal(key.Serial, want)
	}
	_, ok := cache.take(now)
	is.True(!ok) // the oldest of the three keys was removed
}
