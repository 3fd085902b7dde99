package peer

// RaiseTerm returns the lowest higher term that no other instance claims: it differs from
// term in the time of the claim only.
func RaiseTerm(term uint64) uint64 {
	return term + 1<<termTieBits
}

// TermMillis returns the time of the claim with term, in milliseconds since the Unix epoch by
// the clock of the claiming instance, or a later time if an earlier term was higher.
func TermMillis(term uint64) int64 { return int64(term >> termTieBits) }
