package vrreducer

// Unwritten returns the encoded record entries that this daemon holds and that are not
// yet known to be stored in a block. The caller must not modify the returned bytes.
func (s *State) Unwritten() [][]byte { return s.journal.Unwritten() }
