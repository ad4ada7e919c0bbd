package vrreducer

// Unwritten returns the encoded record entries that this daemon holds and that are not
// yet known to be in a block. The bytes are shared and must not be changed.
func (s *State) Unwritten() [][]byte { return s.journal.Unwritten() }
