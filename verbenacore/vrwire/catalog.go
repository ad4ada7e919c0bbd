package vrwire

import "verbenaroute.example/verbenacore/vrid"

// CatalogQuery asks another daemon for a proof that the sender's catalog is the newest. It is sent by a daemon
// that the store and the placement owner leave without one.
type CatalogQuery struct {
	// Version is that of the sender's catalog, zero if it has none.
	Version vrid.ConfigVersion `protobuf:"varint,1,opt,name=version,proto3"`
	// Era is the latest era of the store that the sender knows of.
	Era vrid.StoreEra `protobuf:"varint,2,opt,name=era,proto3"`
	// SentAt is the time from the start of the sender's process until the query was sent, in milliseconds.
	SentAt int64 `protobuf:"varint,3,opt,name=sentAt,proto3"`
}

// Validate checks that the time of sending is set.
func (q *CatalogQuery) Validate() error {
	if q.SentAt <= 0 {
		return &DecodeError{Message: "CatalogQuery", Field: "sentAt", Problem: "is not positive"}
	}
	return nil
}

// CatalogReply is the reply to a CatalogQuery. ProofAge before it was sent, the store had no newer catalog than
// that of the given version. How long the reply was on its way can't be told from the clock of its sender, so
// the receiver counts from the time at which it sent the query.
type CatalogReply struct {
	// Boot and SentAt identify the query: the run that sent it, and its SentAt.
	Boot    vrid.BootID        `protobuf:"bytes,1,opt,name=boot,proto3"`
	SentAt  int64              `protobuf:"varint,2,opt,name=sentAt,proto3"`
	Version vrid.ConfigVersion `protobuf:"varint,3,opt,name=version,proto3"`
	// Era is the era of the store that brought the proof.
	Era vrid.StoreEra `protobuf:"varint,4,opt,name=era,proto3"`
	// ProofAge is the age of the proof in milliseconds, rounded up.
	ProofAge int64 `protobuf:"varint,5,opt,name=proofAge,proto3"`
	// Catalog is the catalog as vrcodec encodes it. It is empty if the sender of the query has it, or if it is
	// too large for a message.
	Catalog []byte `protobuf:"bytes,6,opt,name=catalog,proto3"`
}

// maxReplyProofAge is the maximum of CatalogReply.ProofAge, far above the ages at which daemons reply.
const maxReplyProofAge = 60_000

// Validate checks that the reply names a query and a version, and the range of the age.
func (r *CatalogReply) Validate() error {
	switch {
	case r.Boot == "" || r.SentAt <= 0:
		return &DecodeError{Message: "CatalogReply", Field: "sentAt", Problem: "the reply names no query"}
	case r.Version == 0:
		return &DecodeError{Message: "CatalogReply", Field: "version", Problem: "is zero"}
	case r.ProofAge < 0 || r.ProofAge > maxReplyProofAge:
		return &DecodeError{Message: "CatalogReply", Field: "proofAge", Problem: "is out of range"}
	default:
		return nil
	}
}
