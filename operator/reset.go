package operator

// A reset depends on nothing before it: its verdict follows from its record
// and offset alone, and the state after it from its verdict. A reader with a
// gap thus takes it as it takes a snapshot.

// reset decides an edit that is a reset. One that is refused is not
// remembered. An accepted one gets its own offset as revision, which is above
// every earlier revision, since each of these took a record.
func (h *State) reset(v *Decision, record editRecord) {
	if record.Reset != h.offset {
		v.Reason = MisplacedReset
		return
	}
	tables, ok := v.decodeTables(record)
	if !ok {
		return
	}
	h.recent = nil
	h.accept(v, h.offset, Diff(nil, tables), tables)
	h.remember(*v)
}

// resetHistory returns the history after a record that is an accepted reset,
// and whether it is one.
func resetHistory(record Record) (*State, bool) {
	edit, err := decodeEdit(record.Body)
	if err != nil || edit.Reset == 0 {
		return nil, false
	}
	h := &State{offset: record.Offset - 1}
	v, err := h.Apply(record.Offset, record.Body)
	return h, err == nil && v.Outcome == Accepted
}
