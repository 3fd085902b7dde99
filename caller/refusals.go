package caller

import "time"

// refusalSpan is the number of serial numbers that one refusalBlock covers.
const refusalSpan = 512

// A refusalBlock holds one bit for each of refusalSpan consecutive serials.
type refusalBlock struct {
	bits [refusalSpan / 64]uint64
	// last is the latest time of issue of a refused key in the block.
	last time.Duration
}

// refusals is a set of refused serials in bounded memory: one bit a serial in
// blocks that lie close together, since serials count up in time. A set that
// outgrows its bound gives up its oldest block by refusing all of it, and all
// before: what was refused stays so, and older unused keys are refused too.
type refusals struct {
	// maxBlocks bounds the length of blocks. It is at least 1.
	maxBlocks int
	// base is the number of blocks before the first of blocks.
	base uint64
	// blocks holds consecutive blocks, nil where nothing is refused.
	blocks []*refusalBlock
	// floor is the serial below which every serial counts as refused.
	floor uint64
}

// add puts serial, issued at the given time after the owner's start, into
// the set.
func (r *refusals) add(serial uint64, issued time.Duration) {
	if serial < r.floor {
		return
	}
	block := r.reach(serial / refusalSpan)
	if block == nil {
		return
	}
	i := serial % refusalSpan
	block.bits[i/64] |= 1 << (i % 64)
	block.last = max(block.last, issued)
}

// has reports whether serial is refused.
func (r *refusals) has(serial uint64) bool {
	if serial < r.floor {
		return true
	}
	number := serial / refusalSpan
	if number < r.base || number-r.base >= uint64(len(r.blocks)) {
		return false
	}
	block := r.blocks[number-r.base]
	i := serial % refusalSpan
	return block != nil && block.bits[i/64]&(1<<(i%64)) != 0
}

// expire drops the blocks whose refused keys were all issued at or before the
// given time after the owner's start. The keys after a block's last refused
// one were issued no earlier, so the blocks come in the order of time.
func (r *refusals) expire(issued time.Duration) {
	for len(r.blocks) > 0 && (r.blocks[0] == nil || r.blocks[0].last <= issued) {
		r.drop()
	}
	if len(r.blocks) == 0 {
		r.blocks = nil
	}
}

// reach returns the block of the given number. It returns nil, with the whole
// block refused, if the set has no room for a block so old.
func (r *refusals) reach(number uint64) *refusalBlock {
	if len(r.blocks) == 0 {
		r.base = number
	}
	if number < r.base && !r.extendDown(number) {
		r.floor = max(r.floor, (number+1)*refusalSpan)
		return nil
	}
	r.extendUp(number)
	block := &r.blocks[number-r.base]
	if *block == nil {
		*block = new(refusalBlock)
	}
	return *block
}

// extendDown puts room for the block of the given number, which is below the
// base, before the blocks. It reports whether there is room.
func (r *refusals) extendDown(number uint64) bool {
	missing := r.base - number
	if missing > uint64(r.maxBlocks-len(r.blocks)) {
		return false
	}
	r.blocks = append(make([]*refusalBlock, missing, int(missing)+len(r.blocks)), r.blocks...)
	r.base = number
	return true
}

// extendUp puts room for the block of the given number after the blocks and
// gives up the oldest ones that are then too many.
func (r *refusals) extendUp(number uint64) {
	for len(r.blocks) > 0 && number-r.base >= uint64(r.maxBlocks) {
		if r.blocks[0] != nil {
			r.floor = (r.base + 1) * refusalSpan
		}
		r.drop()
	}
	if len(r.blocks) == 0 {
		r.base = number
	}
	for number-r.base >= uint64(len(r.blocks)) {
		r.blocks = append(r.blocks, nil)
	}
}

// drop forgets the oldest block.
func (r *refusals) drop() {
	r.blocks[0] = nil
	r.blocks = r.blocks[1:]
	r.base++
}
