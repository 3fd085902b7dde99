package caller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digest returns a hash of a job's route and tasks and of their lengths, by
// which a repeated submission is compared with the first. The hash excludes the
// Key, and the Timeout, since a repeated submission may have less time left.
func digest(job Job) uint64 {
	hash := xxhash.New()
	var length [8]byte
	writeLength := func(n int) {
		binary.LittleEndian.PutUint64(length[:], uint64(n))
		_, _ = hash.Write(length[:])
	}
	writeLength(len(job.Route))
	_, _ = hash.WriteString(job.Route)
	for _, task := range job.Tasks {
		writeLength(len(task))
		_, _ = hash.Write(task)
	}
	return hash.Sum64()
}
