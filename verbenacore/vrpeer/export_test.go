package vrpeer

// LimitSilence is limitSilence for the tests.
var LimitSilence = limitSilence
