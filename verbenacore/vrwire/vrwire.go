// Package vrwire holds the messages between daemons and the bodies of the callers'
// and operators' HTTP interfaces. Message types carry protobuf tags and check
// themselves: the codec calls Validate on everything that it decodes.
package vrwire

import (
	"fmt"
	"reflect"

	"github.com/segmentio/encoding/proto"

	"verbenaroute.example/verbenacore/vrid"
)

// MaxFrame is the largest frame between daemons. It equals the platform's largest
// value, so that a whole configuration fits.
const MaxFrame = 1 << 20

// Message is anything that checks itself after decoding.
type Message interface {
	Validate() error
}

// DecodeError says which message and field broke a rule.
type DecodeError struct {
	Message string
	Field   string
	Problem string
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("%s.%s: %s", e.Message, e.Field, e.Problem)
}

// Marshal encodes a message.
func Marshal[T any](message *T) ([]byte, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return data, nil
}

// Unmarshal decodes and checks a message.
func Unmarshal[T any, P interface {
	*T
	Message
}](data []byte) (message *T, err error) {
	// The decoder indexes into the input; a malformed length must not end the process.
	defer func() {
		if cause := recover(); cause != nil {
			message, err = nil, &DecodeError{Message: fmt.Sprintf("%T", *new(T)), Field: "bytes", Problem: fmt.Sprint(cause)}
		}
	}()
	message = new(T)
	value := reflect.ValueOf(message).Elem()
	if err := presize(value, data, shapeOf(value.Type())); err != nil {
		return nil, &DecodeError{Message: fmt.Sprintf("%T", *message), Field: "bytes", Problem: err.Error()}
	}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, &DecodeError{Message: fmt.Sprintf("%T", *message), Field: "bytes", Problem: err.Error()}
	}
	if err := P(message).Validate(); err != nil {
		return nil, err
	}
	return message, nil
}

// Envelope is one frame between two daemons. Exactly one of the message fields is set.
type Envelope struct {
	From vrid.DaemonID `protobuf:"bytes,1,opt,name=from"`
	Boot vrid.BootID   `protobuf:"bytes,2,opt,name=boot"`
	Zone vrid.ZoneID   `protobuf:"bytes,3,opt,name=zone"`

	Heartbeat      *Heartbeat      `protobuf:"bytes,10,opt,name=heartbeat"`
	HeartbeatReply *HeartbeatReply `protobuf:"bytes,11,opt,name=heartbeatReply"`
	ViewDelta      *ViewDelta      `protobuf:"bytes,12,opt,name=viewDelta"`
	Demand         *Demand         `protobuf:"bytes,13,opt,name=demand"`
	ClaimRequest   *ClaimRequest   `protobuf:"bytes,15,opt,name=claimRequest"`
	ClaimReply     *ClaimReply     `protobuf:"bytes,16,opt,name=claimReply"`
	OutcomeReport  *OutcomeReport  `protobuf:"bytes,17,opt,name=outcomeReport"`
	ConfigOffer    *ConfigOffer    `protobuf:"bytes,18,opt,name=configOffer"`
	ConfigFetch    *ConfigFetch    `protobuf:"bytes,19,opt,name=configFetch"`
	RecordBatch    *RecordBatch    `protobuf:"bytes,20,opt,name=recordBatch"`
	RecordAck      *RecordAck      `protobuf:"bytes,21,opt,name=recordAck"`
	ZoneSummary    *ZoneSummary    `protobuf:"bytes,22,opt,name=zoneSummary"`
	EpochAck       *EpochAck       `protobuf:"bytes,23,opt,name=epochAck"`
	Handover       *Handover       `protobuf:"bytes,24,opt,name=handover"`
	SlotRequest    *SlotRequest    `protobuf:"bytes,25,opt,name=slotRequest"`
	SlotGrant      *SlotGrant      `protobuf:"bytes,26,opt,name=slotGrant"`
	QueryRequest   *QueryRequest   `protobuf:"bytes,27,opt,name=queryRequest"`
	QueryReply     *QueryReply     `protobuf:"bytes,28,opt,name=queryReply"`
}

// messages lists the fields of which exactly one is set.
func (e *Envelope) messages() []Message {
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
	return set
}

// Validate checks that the sender is named and that exactly one message is set.
func (e *Envelope) Validate() error {
	if e.From == "" {
		return &DecodeError{Message: "Envelope", Field: "from", Problem: "is empty"}
	}
	if e.Boot == "" {
		return &DecodeError{Message: "Envelope", Field: "boot", Problem: "is empty"}
	}
	set := e.messages()
	if len(set) != 1 {
		return &DecodeError{Message: "Envelope", Field: "message", Problem: fmt.Sprintf("%d messages are set, want 1", len(set))}
	}
	return set[0].Validate()
}
