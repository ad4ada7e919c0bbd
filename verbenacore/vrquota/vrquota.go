// Package vrquota limits what the requests of a tenant use over all daemons together. It does no I/O and
// reads no clock: every time is passed in, and is of a clock that goes on while the machine is suspended.
//
// Each of the N registered daemons owns one part in N of every quota. A Daemon delegates its part to one
// Allocator at a time, which grants credit from token buckets whose rate and depth are those of the Limit
// times the delegated share. Usually all daemons choose the same allocator, but the bound does not depend on
// that, because each part is in one place at a time:
//
//   - A delegation names the time that the allocator stated in a reply (the echo) and ends a term after that
//     by the allocator's clock. The daemon received the reply later than that time, so that the part is free
//     no later than a term after the receipt by the daemon's clock, however late the request itself arrives.
//     Only then, or after the allocator's answer to a release, does the daemon delegate it elsewhere.
//   - Requests are numbered in each run of a daemon, and an allocator ignores one that is not newer than the
//     last of the same run. A duplicated or delayed request therefore grants nothing twice and undoes no
//     release.
//   - The echo names the run of the allocator. A restarted allocator knows no delegations, ignores the echoes
//     of its former run, and is another place for the daemons.
//   - A daemon that starts delegates nothing until every delegation of its former run has ended.
//   - An allocator that was suspended first ends the delegations that have ended in the meantime, by its
//     clock, and accrues credit only up to then. A daemon that was suspended finds its grants expired.
//   - A bucket begins empty and loses the credit above its depth when the share falls. Thus the credit in all
//     buckets is never more than the depth times the sum of the shares, which is at most one.
//
// All buckets together therefore grant at most Depth + Rate x t in any time t. A grant is spent within
// Limit.Life after its request was sent, and so after it was made. A call that was charged and certainly did
// not run is sent again without new credit only within another life, else it is charged anew. What runs in a
// window was therefore granted in the window and the two lives before it, from which NewLimit derives the
// factor. Credit that a call gives back keeps the end of its grant, and stays with the daemon.
//
// The sum of the shares exceeds one if daemons divide by different numbers while they delegate to different
// allocators. Each daemon uses the largest number that was listed or heard of within 30 s, and one allocator
// never counts more than the whole. There remain daemons that are cut off while k new ones register: with n
// of N cut off, the sum is at most 1 + n x k / (N x (N + k)). NewLimit leaves half of the overrun for that.
package vrquota
