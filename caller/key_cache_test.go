package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestKeyringGivesNewestOfBoundedKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ring := keyring{max: 2}
	for serial := range uint64(3) {
		ring.add(Key{Serial: serial + 1}, now.Add(time.Second))
	}
	for _, want := range []uint64{3, 2} {
		key, ok := ring.take(now)
		is.True(ok)
		is.Equal(key.Serial, want)
	}
	_, ok := ring.take(now)
	is.True(!ok) // the oldest of three made room
}
