package vrwire

import "verbenaroute.example/verbenacore/vrid"

// ConfigOffer carries a whole configuration.
type ConfigOffer struct {
	Version vrid.ConfigVersion `protobuf:"varint,1,opt,name=version,proto3"`
	// Document is the zstd-compressed JSON of the configuration.
	Document []byte `protobuf:"bytes,2,opt,name=document,proto3"`
	// Confirmed is set when the sender received the configuration from the platform,
	// directly or through other daemons.
	Confirmed bool `protobuf:"varint,3,opt,name=confirmed,proto3"`
}

// Validate checks that the version and the document are set.
func (c *ConfigOffer) Validate() error {
	if c.Version == 0 || len(c.Document) == 0 {
		return &DecodeError{Message: "ConfigOffer", Field: "document", Problem: "version or document is missing"}
	}
	return nil
}

// ConfigFetch asks a peer for its configuration if that is newer than KnownVersion.
type ConfigFetch struct {
	KnownVersion vrid.ConfigVersion `protobuf:"varint,1,opt,name=have,proto3"`
}

// Validate accepts every version.
func (c *ConfigFetch) Validate() error { return nil }

// Identity asks which process listens at an address, or answers that: the sender of the answer's envelope. It is
// the only message of its connection.
type Identity struct {
	IsAnswer bool `protobuf:"varint,1,opt,name=isAnswer,proto3"`
}

// Validate accepts every message.
func (i *Identity) Validate() error { return nil }

// RecordBatch carries entries of a daemon's record to a writer.
type RecordBatch struct {
	Daemon vrid.DaemonID `protobuf:"bytes,1,opt,name=daemon,proto3"`
	Boot   vrid.BootID   `protobuf:"bytes,2,opt,name=boot,proto3"`
	// FirstNumber is the number of the batch's first entry in the daemon's own log.
	FirstNumber uint64 `protobuf:"varint,3,opt,name=first,proto3"`
	// Entries are the encoded entries, each a vrrecord.Entry.
	Entries [][]byte `protobuf:"bytes,4,rep,name=entries,proto3"`
	// Opened is the number of requests that the daemon has assigned a number so far.
	Opened uint64 `protobuf:"varint,5,opt,name=opened,proto3"`
	// Durable is the number of the last entry that was acknowledged to the daemon as
	// durable; a writer that sees the run for the first time continues from there.
	Durable uint64 `protobuf:"varint,6,opt,name=durable,proto3"`
	// Final is set when the daemon will open no more requests.
	Final bool `protobuf:"varint,7,opt,name=final,proto3"`
	// Packed holds the entries as encoded by vrrecord.PackEntries, in place of Entries.
	Packed []byte `protobuf:"bytes,8,opt,name=packed,proto3"`
}

// Validate checks that the daemon and boot ids are set.
func (r *RecordBatch) Validate() error {
	if r.Daemon == "" || r.Boot == "" {
		return &DecodeError{Message: "RecordBatch", Field: "daemon", Problem: "daemon or boot id is empty"}
	}
	return nil
}

// RecordAck tells a daemon up to which number its entries are durable.
type RecordAck struct {
	Boot    vrid.BootID `protobuf:"bytes,1,opt,name=boot,proto3"`
	Durable uint64      `protobuf:"varint,2,opt,name=durable,proto3"`
	// Final is set when a durable block states that the run ended properly.
	Final bool `protobuf:"varint,3,opt,name=final,proto3"`
	// Resend asks the daemon to send everything after Durable again: the writer lacks
	// entries before the last batch, because it began a new run or a batch was lost.
	Resend bool `protobuf:"varint,4,opt,name=again,proto3"`
}

// Validate accepts every acknowledgement.
func (r *RecordAck) Validate() error { return nil }

// QueryRequest asks a daemon for its part of the result of an operator's query.
type QueryRequest struct {
	ID    uint64 `protobuf:"varint,1,opt,name=id,proto3"`
	Query string `protobuf:"bytes,2,opt,name=query,proto3"`
	// WholeZone asks the receiver to answer for its zone.
	WholeZone bool `protobuf:"varint,3,opt,name=wholeZone,proto3"`
}

// Validate checks that the query is not empty.
func (q *QueryRequest) Validate() error {
	if q.Query == "" {
		return &DecodeError{Message: "QueryRequest", Field: "query", Problem: "is empty"}
	}
	return nil
}

// QueryReply answers the QueryRequest with the same ID.
type QueryReply struct {
	ID   uint64      `protobuf:"varint,1,opt,name=id,proto3"`
	Zone vrid.ZoneID `protobuf:"bytes,2,opt,name=zone,proto3"`
	// Rows are the result rows as JSON lines.
	Rows    []byte `protobuf:"bytes,3,opt,name=rows,proto3"`
	Error   string `protobuf:"bytes,4,opt,name=error,proto3"`
	Partial bool   `protobuf:"varint,5,opt,name=partial,proto3"`
}

// Validate accepts every reply.
func (q *QueryReply) Validate() error { return nil }
