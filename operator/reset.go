package operator

// A reset does not depend on earlier records: the decision on it follows from its
// record and offset alone, and so does the state after it. A reader with a gap
// can therefore continue from a reset as it does from a snapshot.

// applyReset decides on a reset and fills in the decision d. A refused reset is not
// kept among the recent decisions. The revision of an accepted reset is its offset,
// which is above every earlier revision because each revision takes at least one
// record.
func (s *State) applyReset(d *Decision, record editRecord) {
	if record.Reset != s.offset {
		d.Reason = MisplacedReset
		return
	}
	tables, ok := d.decodeTables(record)
	if !ok {
		return
	}
	s.recent = nil
	s.accept(d, s.offset, Diff(nil, tables), tables)
	s.recordDecision(*d)
}

// stateAfterReset returns the state after record and whether record is an accepted
// reset.
func stateAfterReset(record Record) (*State, bool) {
	edit, err := decodeEdit(record.Body)
	if err != nil || edit.Reset == 0 {
		return nil, false
	}
	s := &State{offset: record.Offset - 1}
	d, err := s.Apply(record.Offset, record.Body)
	return s, err == nil && d.Outcome == Accepted
}
