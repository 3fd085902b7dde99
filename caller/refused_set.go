package caller

import "time"

// blockSerials is the number of serials that one refusedBlock covers.
const blockSerials = 512

// A refusedBlock holds one bit for each of blockSerials consecutive serials.
type refusedBlock struct {
	bits [blockSerials / 64]uint64
	// latestIssued is the latest time of issue of the block's refused keys,
	// relative to the owner's start.
	latestIssued time.Duration
}

// refusedSet is the set, in bounded memory, of the serials of the keys whose
// jobs were refused. It is a bitmap with one bit for each serial, divided into
// consecutive blocks. It is dense, because serials increase with time. When
// more than maxBlocks blocks would be needed, the oldest block is dropped and
// all serials up to its end count as refused: every refused serial stays
// refused, at the cost of refusing older keys that are unused too.
type refusedSet struct {
	// maxBlocks is the maximum length of blocks. It is at least 1.
	maxBlocks int
	// base is the block number of blocks[0]. The block of a serial has the
	// number serial/blockSerials.
	base uint64
	// blocks holds consecutive blocks. A block without refused serials is
	// nil.
	blocks []*refusedBlock
	// floor is the serial below which every serial counts as refused.
	floor uint64
}

// add adds a serial to the set. The time at which its key was issued is
// relative to the owner's start.
func (r *refusedSet) add(serial uint64, issued time.Duration) {
	if serial < r.floor {
		return
	}
	block := r.blockFor(serial / blockSerials)
	if block == nil {
		return
	}
	i := serial % blockSerials
	block.bits[i/64] |= 1 << (i % 64)
	block.latestIssued = max(block.latestIssued, issued)
}

// has reports whether serial counts as refused.
func (r *refusedSet) has(serial uint64) bool {
	if serial < r.floor {
		return true
	}
	number := serial / blockSerials
	if number < r.base || number-r.base >= uint64(len(r.blocks)) {
		return false
	}
	block := r.blocks[number-r.base]
	i := serial % blockSerials
	return block != nil && block.bits[i/64]&(1<<(i%64)) != 0
}

// expire drops the blocks whose refused keys were all issued at or before the
// given time, which is relative to the owner's start. It stops at the first
// block that has a later key: serials increase with the time of issue, so no
// block after it can be dropped either.
func (r *refusedSet) expire(issued time.Duration) {
	for len(r.blocks) > 0 && (r.blocks[0] == nil || r.blocks[0].latestIssued <= issued) {
		r.dropOldest()
	}
	if len(r.blocks) == 0 {
		r.blocks = nil
	}
}

// blockFor returns the block with the given number and creates it if needed. If
// the block is older than the others and maxBlocks leaves no place for it,
// blockFor returns nil, and all serials up to the block's end count as refused.
func (r *refusedSet) blockFor(number uint64) *refusedBlock {
	if len(r.blocks) == 0 {
		r.base = number
	}
	if number < r.base && !r.extendBefore(number) {
		r.floor = max(r.floor, (number+1)*blockSerials)
		return nil
	}
	r.extendAfter(number)
	block := &r.blocks[number-r.base]
	if *block == nil {
		*block = new(refusedBlock)
	}
	return *block
}

// extendBefore extends blocks at the front to the block with the given number,
// which is below base. It returns false and changes nothing if that would
// exceed maxBlocks.
func (r *refusedSet) extendBefore(number uint64) bool {
	missing := r.base - number
	if missing > uint64(r.maxBlocks-len(r.blocks)) {
		return false
	}
	r.blocks = append(make([]*refusedBlock, missing, int(missing)+len(r.blocks)), r.blocks...)
	r.base = number
	return true
}

// extendAfter extends blocks at the end to the block with the given number. It
// drops the oldest blocks as needed to stay within maxBlocks, and raises floor
// to the end of each dropped block that had refused serials.
func (r *refusedSet) extendAfter(number uint64) {
	for len(r.blocks) > 0 && number-r.base >= uint64(r.maxBlocks) {
		if r.blocks[0] != nil {
			r.floor = (r.base + 1) * blockSerials
		}
		r.dropOldest()
	}
	if len(r.blocks) == 0 {
		r.base = number
	}
	for number-r.base >= uint64(len(r.blocks)) {
		r.blocks = append(r.blocks, nil)
	}
}

// dropOldest removes the oldest block.
func (r *refusedSet) dropOldest() {
	r.blocks[0] = nil
	r.blocks = r.blocks[1:]
	r.base++
}
