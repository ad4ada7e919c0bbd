// Package vrwire defines the protobuf messages that daemons exchange and store, and the
// error bodies of the HTTP interfaces for callers and operators. Every message type has
// protobuf tags and a Validate method, which Unmarshal calls on what it has decoded.
package vrwire

import (
	"fmt"

	"github.com/gogo/protobuf/proto"
	"google.golang.org/protobuf/encoding/protowire"

	"verbenaroute.example/verbenacore/vrid"
)

// MaxFrameBytes is the maximum size of a frame between daemons, in bytes. It equals the
// platform's maximum value size, so that a whole configuration fits.
const MaxFrameBytes = 1 << 20

// Message is a message that Unmarshal can validate after decoding.
type Message interface {
	Validate() error
}

// DecodeError reports a message or field that can't be decoded or is invalid.
type DecodeError struct {
	Message string
	Field   string
	Problem string
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("%s.%s: %s", e.Message, e.Field, e.Problem)
}

// wrapperHeaderSize is the maximum size of the field header that wrapper adds: a tag and
// a length.
const wrapperHeaderSize = 6

// wrapper makes any struct with protobuf tags a proto.Message: the codec requires the
// three methods only of the outermost type. Marshal removes the header of its single field,
// and Unmarshal adds it again.
type wrapper[T any] struct {
	Value T `protobuf:"bytes,1,opt,name=value,proto3"`
}

// Reset implements proto.Message.
func (w *wrapper[T]) Reset() { *w = wrapper[T]{} }

// String implements proto.Message.
func (w *wrapper[T]) String() string { return fmt.Sprintf("%+v", w.Value) }

// ProtoMessage implements proto.Message.
func (w *wrapper[T]) ProtoMessage() {}

// Marshal encodes a message.
func Marshal[T any](message *T) ([]byte, error) {
	data, err := proto.Marshal(&wrapper[T]{Value: *message})
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	_, _, headerSize := protowire.ConsumeTag(data)
	value, length := protowire.ConsumeBytes(data[headerSize:])
	if length < 0 {
		return nil, fmt.Errorf("encode %T: %w", message, protowire.ParseError(length))
	}
	return value, nil
}

// Unmarshal decodes and validates a message.
func Unmarshal[T any, P interface {
	*T
	Message
}](data []byte) (*T, error) {
	decoded := &wrapper[T]{}
	wrapped := make([]byte, 0, len(data)+wrapperHeaderSize)
	wrapped = protowire.AppendTag(wrapped, 1, protowire.BytesType)
	wrapped = protowire.AppendBytes(wrapped, data)
	if err := proto.Unmarshal(wrapped, decoded); err != nil {
		return nil, &DecodeError{Message: fmt.Sprintf("%T", decoded.Value), Field: "bytes", Problem: err.Error()}
	}
	message := &decoded.Value
	if err := P(message).Validate(); err != nil {
		return nil, err
	}
	return message, nil
}

// Envelope is one frame between two daemons. Exactly one of the message fields is set.
type Envelope struct {
	From vrid.DaemonID `protobuf:"bytes,1,opt,name=from,proto3"`
	Boot vrid.BootID   `protobuf:"bytes,2,opt,name=boot,proto3"`
	Zone vrid.ZoneID   `protobuf:"bytes,3,opt,name=zone,proto3"`

	Heartbeat       *Heartbeat       `protobuf:"bytes,10,opt,name=heartbeat,proto3"`
	HeartbeatReply  *HeartbeatReply  `protobuf:"bytes,11,opt,name=heartbeatReply,proto3"`
	ViewDelta       *ViewDelta       `protobuf:"bytes,12,opt,name=viewDelta,proto3"`
	Demand          *Demand          `protobuf:"bytes,13,opt,name=demand,proto3"`
	ClaimRequest    *ClaimRequest    `protobuf:"bytes,15,opt,name=claimRequest,proto3"`
	ClaimReply      *ClaimReply      `protobuf:"bytes,16,opt,name=claimReply,proto3"`
	OutcomeReport   *OutcomeReport   `protobuf:"bytes,17,opt,name=outcomeReport,proto3"`
	ConfigOffer     *ConfigOffer     `protobuf:"bytes,18,opt,name=configOffer,proto3"`
	ConfigFetch     *ConfigFetch     `protobuf:"bytes,19,opt,name=configFetch,proto3"`
	RecordBatch     *RecordBatch     `protobuf:"bytes,20,opt,name=recordBatch,proto3"`
	RecordAck       *RecordAck       `protobuf:"bytes,21,opt,name=recordAck,proto3"`
	ZoneSummary     *ZoneSummary     `protobuf:"bytes,22,opt,name=zoneSummary,proto3"`
	EpochAck        *EpochAck        `protobuf:"bytes,23,opt,name=epochAck,proto3"`
	Handover        *Handover        `protobuf:"bytes,24,opt,name=handover,proto3"`
	SlotRequest     *SlotRequest     `protobuf:"bytes,25,opt,name=slotRequest,proto3"`
	SlotGrant       *SlotGrant       `protobuf:"bytes,26,opt,name=slotGrant,proto3"`
	QueryRequest    *QueryRequest    `protobuf:"bytes,27,opt,name=queryRequest,proto3"`
	QueryReply      *QueryReply      `protobuf:"bytes,28,opt,name=queryReply,proto3"`
	ServerNotice    *ServerNotice    `protobuf:"bytes,29,opt,name=serverNotice,proto3"`
	PlacementDemand *PlacementDemand `protobuf:"bytes,30,opt,name=wants,proto3"`
	Notices         *Notices         `protobuf:"bytes,31,opt,name=notices,proto3"`
	FleetChanges    *FleetChanges    `protobuf:"bytes,32,opt,name=fleetChanges,proto3"`
	Identity        *Identity        `protobuf:"bytes,33,opt,name=identity,proto3"`
}

// setMessages returns the messages that are set; a valid envelope has exactly one.
func (e *Envelope) setMessages() []Message {
	var set []Message
	add := func(present bool, message Message) {
		if present {
			set = append(set, message)
		}
	}
	add(e.Heartbeat != nil, e.Heartbeat)
	add(e.HeartbeatReply != nil, e.HeartbeatReply)
	add(e.ViewDelta != nil, e.ViewDelta)
	add(e.Demand != nil, e.Demand)
	add(e.ClaimRequest != nil, e.ClaimRequest)
	add(e.ClaimReply != nil, e.ClaimReply)
	add(e.OutcomeReport != nil, e.OutcomeReport)
	add(e.ConfigOffer != nil, e.ConfigOffer)
	add(e.ConfigFetch != nil, e.ConfigFetch)
	add(e.RecordBatch != nil, e.RecordBatch)
	add(e.RecordAck != nil, e.RecordAck)
	add(e.ZoneSummary != nil, e.ZoneSummary)
	add(e.EpochAck != nil, e.EpochAck)
	add(e.Handover != nil, e.Handover)
	add(e.SlotRequest != nil, e.SlotRequest)
	add(e.SlotGrant != nil, e.SlotGrant)
	add(e.QueryRequest != nil, e.QueryRequest)
	add(e.QueryReply != nil, e.QueryReply)
	add(e.ServerNotice != nil, e.ServerNotice)
	add(e.PlacementDemand != nil, e.PlacementDemand)
	add(e.Notices != nil, e.Notices)
	add(e.FleetChanges != nil, e.FleetChanges)
	add(e.Identity != nil, e.Identity)
	return set
}

// Validate checks that the sender's daemon and boot ids are set and that exactly one
// message is set and valid.
func (e *Envelope) Validate() error {
	if e.From == "" {
		return &DecodeError{Message: "Envelope", Field: "from", Problem: "is empty"}
	}
	if e.Boot == "" {
		return &DecodeError{Message: "Envelope", Field: "boot", Problem: "is empty"}
	}
	set := e.setMessages()
	if len(set) != 1 {
		return &DecodeError{Message: "Envelope", Field: "message", Problem: fmt.Sprintf("%d messages are set, want 1", len(set))}
	}
	return set[0].Validate()
}
