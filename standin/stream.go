package standin

import "time"

// record is one record of a stream.
type record struct {
	written time.Time
	body    []byte
}

// stream is one append-only stream. Its owner guards it.
type stream struct {
	// first is the offset of records[0], counted from 1.
	first   uint64
	records []record
	// changed is closed at the next append.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{first: 1, changed: make(chan struct{})}
}

// next returns the offset of the next record to be written.
func (s *stream) next() uint64 {
	return s.first + uint64(len(s.records))
}

// append writes body at now, wakes the readers and returns its offset.
func (s *stream) append(now time.Time, body []byte) uint64 {
	offset := s.next()
	s.records = append(s.records, record{written: now, body: body})
	s.wake()
	return offset
}

// wake ends the wait of every reader.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireWritten forgets the records written before limit.
func (s *stream) expireWritten(limit time.Time) {
	n := 0
	for n < len(s.records) && s.records[n].written.Before(limit) {
		n++
	}
	s.drop(n)
}

// expireTo forgets the records before the offset first.
func (s *stream) expireTo(first uint64) {
	if first <= s.first {
		return
	}
	s.drop(int(min(first-s.first, uint64(len(s.records)))))
}

// drop forgets the oldest n records.
func (s *stream) drop(n int) {
	s.records = s.records[n:]
	s.first += uint64(n)
}

// page returns at most limit records from the offset from on, and the offset
// of the first of them.
func (s *stream) page(from uint64, limit int) (uint64, []record) {
	from = max(from, s.first)
	if from >= s.next() {
		return from, nil
	}
	records := s.records[from-s.first:]
	return from, records[:min(limit, len(records))]
}
