package vrrelay

import "errors"

// errProofExpired reports a request that was not sent, because its API key is not known to be valid any more.
var errProofExpired = errors.New("the proof of the API key expired before the request was sent")

// isAuthorized reports whether the call's API key is still known to be valid. It is called directly before the
// request is written: since the decision, a connection may have been opened or the machine suspended.
func (a *sendAttempt) isAuthorized() bool {
	until := a.send.AuthorizedUntil
	return until.IsZero() || a.handler.proxy.opts.Clock.Now().Before(until)
}
