package vrconn

import (
	"errors"
	"io"
	"sync"

	"verbenaroute.example/verbenacore/vrfault"
)

// Failure keeps the first failure that the calls on a socket met. The zero value is ready to use.
type Failure struct {
	mu  sync.Mutex
	err error
}

// Keep makes a call on the socket that must not block, keeps its error if that is a failure of the
// connection, and returns it. The lock is held from the call until its error is kept: a reader that sees the
// end of the connection because of this call finds the failure.
func (f *Failure) Keep(call func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := call()
	f.keep(err)
	return err
}

// AfterRead returns what a read that returned err reports: the failure of the connection in place of an end
// that follows it.
func (f *Failure) AfterRead(err error) error {
	if err == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keep(err)
	if errors.Is(err, io.EOF) && f.err != nil {
		return f.err
	}
	return err
}

// keep keeps the first failure. The caller holds the lock.
func (f *Failure) keep(err error) {
	if f.err == nil && isFailure(err) && !vrfault.On(vrfault.DropSocketError) {
		f.err = err
	}
}

func (f *Failure) get() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}
