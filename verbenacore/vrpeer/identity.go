package vrpeer

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"

	"verbenaroute.example/verbenacore/vrid"
	"verbenaroute.example/verbenacore/vrwire"
)

// Identify asks the process that listens at an address which daemon and which run of it that is. It opens a
// connection for the question, so the answer is of a process that listened there after the call began. With TLS, the
// process must have the certificate of the expected daemon. It returns an error without an answer.
func (h *Hub) Identify(ctx context.Context, id vrid.DaemonID, address string) (vrid.DaemonID, vrid.BootID, error) {
	conn, err := h.dial(ctx, id, address)
	if err != nil {
		return "", "", err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return "", "", err
	}
	defer func() { _ = session.Close() }()
	stream, err := session.OpenStream()
	if err != nil {
		return "", "", err
	}
	if err := h.writeIdentity(stream, false); err != nil {
		return "", "", err
	}
	length, err := readLength(stream)
	if err != nil {
		return "", "", err
	}
	payload, err := readPayload(stream, length)
	if err != nil {
		return "", "", err
	}
	answer, err := vrwire.Unmarshal[vrwire.Envelope](payload)
	if err != nil {
		return "", "", err
	}
	if answer.Identity == nil || !answer.Identity.IsAnswer {
		return "", "", &FrameError{Peer: answer.From, Problem: "is no answer to the question for the identity"}
	}
	return answer.From, answer.Boot, nil
}

// answerIdentity answers the question which process this is, on the question's own stream.
func (h *Hub) answerIdentity(stream *yamux.Stream, question *vrwire.Identity) error {
	if question.IsAnswer {
		return &FrameError{Problem: "answers a question that was not asked"}
	}
	return h.writeIdentity(stream, true)
}

func (h *Hub) writeIdentity(stream *yamux.Stream, isAnswer bool) error {
	frame, err := encodeFrame(&vrwire.Envelope{
		From: h.options.Self, Boot: h.options.Boot, Zone: h.options.Zone, Identity: &vrwire.Identity{IsAnswer: isAnswer},
	})
	if err != nil {
		return err
	}
	if err := stream.SetWriteDeadline(time.Now().Add(_frameTimeout)); err != nil {
		return err
	}
	_, err = stream.Write(frame)
	return err
}
