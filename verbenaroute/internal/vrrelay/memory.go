package vrrelay

import "verbenaroute.example/verbenacore/vrid"

// MemoryUse is the memory that the proxy holds for its clients, and what was refused for it.
type MemoryUse struct {
	// Bodies is the memory of request bodies, without the first part of each, and BodiesLimit its limit.
	Bodies, BodiesLimit vrid.Bytes
	// Buffers is the memory of the buffers of responses, without the first part of each, and BuffersLimit its
	// limit.
	Buffers, BuffersLimit vrid.Bytes
	// Waiting is the number of requests whose body waits for memory.
	Waiting int
	// Waits counts the waits of bodies for memory, Refused the requests that were refused for it, since the
	// start.
	Waits, Refused uint64
	// Unbuffered counts the responses that were forwarded as they arrived, because there was no memory to
	// read them first, and EventsCut the streams that ended because there was none for an event.
	Unbuffered, EventsCut uint64
}

// MemoryUse returns the memory that the proxy holds for its clients.
func (p *Proxy) MemoryUse() MemoryUse {
	held, waiting, stats := p.bodies.read()
	return MemoryUse{
		Bodies: vrid.Bytes(held), BodiesLimit: vrid.Bytes(p.bodies.limit),
		Buffers: vrid.Bytes(p.buffers.used.Load()), BuffersLimit: vrid.Bytes(p.buffers.limit),
		Waiting: waiting, Waits: stats.waited, Refused: stats.refused,
		Unbuffered: p.buffers.unbuffered.Load(), EventsCut: p.buffers.eventsCut.Load(),
	}
}
