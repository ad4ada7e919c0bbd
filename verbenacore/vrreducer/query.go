package vrreducer

import "verbenaroute.example/verbenacore/vrrecord"

// Unwritten calls yield with each record entry that this daemon holds and that is not
// yet known to be in a block.
func (s *State) Unwritten(yield func(*vrrecord.Entry) bool) { s.journal.Unwritten(yield) }
