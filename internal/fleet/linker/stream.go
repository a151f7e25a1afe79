package linker

import (
	"errors"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"verbenareach/internal/wire/messenger"
	"verbenareach/internal/wire/salvager"
)

type (
	// LeftOut tells of entries that were left out of a message to another host, or of one from it.
	LeftOut struct {
		// Host is the other host; nil if it has not named itself yet.
		Host *messenger.FleetHost
		// Sent is set for a message to the other host.
		Sent bool
		// Entries says for each what it was or why it could not be read.
		Entries []string
	}

	// messageStream is either side of a link's stream.
	messageStream interface {
		// Send sends a message. The error is an *unsendableError if nothing of it was sent, as it can't be
		// encoded or has more than limit bytes; the stream goes on then.
		Send(m *messenger.LinkMessage, limit int) error
		// Recv receives a message. With an *unreadableError it is what could be read of it; the stream goes on.
		Recv() (*messenger.LinkMessage, error)
	}

	// linkStream is the stream of a link on a connection.
	linkStream struct {
		drpc.Stream
	}

	// encoding encodes and decodes messages of a link.
	encoding struct {
		// limit is the number of bytes up to which messages are encoded.
		limit int
		// lost says why entries of the decoded message could not be read.
		lost []error
	}

	// unsendableError reports that a message can't be sent as it is.
	unsendableError struct {
		cause error
	}

	// unreadableError reports that a message could be read but for some entries.
	unreadableError struct {
		lost []error
	}
)

var (
	_ messageStream = linkStream{}
	_ drpc.Encoding = &encoding{}
)

const (
	// maxMessageBytes bounds a message between hosts.
	maxMessageBytes = 16 << 20
	// maxSentBytes is the size up to which messages are sent in one piece: the other host takes a link on
	// which a message is still arriving for a silent one.
	maxSentBytes = 512 << 10
)

var (
	errTooLarge     = eris.New("message is too large")
	errOtherMessage = eris.New("message is none of a link")
)

// Error returns why the message can't be sent.
func (e *unsendableError) Error() string { return e.cause.Error() }

// Error returns why the first entry could not be read.
func (e *unreadableError) Error() string { return e.lost[0].Error() }

// entries returns why each entry could not be read.
func (e *unreadableError) entries() (list []string) {
	for _, err := range e.lost {
		list = append(list, err.Error())
	}
	return list
}

func (s linkStream) Send(m *messenger.LinkMessage, limit int) error {
	return s.MsgSend(m, &encoding{limit: limit})
}

func (s linkStream) Recv() (*messenger.LinkMessage, error) {
	m, enc := &messenger.LinkMessage{}, &encoding{}
	if err := s.MsgRecv(m, enc); err != nil {
		return nil, err
	}
	if len(enc.lost) > 0 {
		return m, &unreadableError{lost: enc.lost}
	}
	return m, nil
}

// Marshal encodes a message.
func (e *encoding) Marshal(msg drpc.Message) ([]byte, error) { return e.MarshalAppend(nil, msg) }

// MarshalAppend appends an encoded message to an empty buffer.
func (e *encoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	m, ok := msg.(*messenger.LinkMessage)
	if !ok {
		return nil, errOtherMessage
	}
	data, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err == nil && len(data) > e.limit {
		err = errTooLarge
	}
	if err != nil {
		return nil, &unsendableError{cause: err}
	}
	return data, nil
}

// Unmarshal decodes a message as far as it can be read.
func (e *encoding) Unmarshal(buf []byte, msg drpc.Message) (err error) {
	m, ok := msg.(*messenger.LinkMessage)
	if !ok {
		return errOtherMessage
	}
	e.lost, err = salvager.Decode(buf, m)
	return err
}

// transmit sends a message: in parts if it is too large, and without entries that can't be sent. These would
// come again on the next link, and end it as well.
func (l *Linker) transmit(stream messageStream, k *link, m *messenger.LinkMessage) error {
	err := stream.Send(m, maxSentBytes)
	if !errors.As(err, new(*unsendableError)) {
		return err
	}
	sound, lost := salvager.Sound(m)
	for i, part := range salvager.Split(sound, maxSentBytes) {
		if i > 0 {
			l.Fill(part)
		}
		err := stream.Send(part, maxMessageBytes)
		if errors.As(err, new(*unsendableError)) {
			lost = append(lost, err.Error())
			continue
		}
		if err != nil {
			return err
		}
	}
	l.tellLeftOut(k, true, lost)
	return nil
}

// tellLeftOut calls LeftOut if entries were left out of a message.
func (l *Linker) tellLeftOut(k *link, sent bool, entries []string) {
	if len(entries) > 0 {
		l.LeftOut(LeftOut{Host: l.hostOf(k), Sent: sent, Entries: entries})
	}
}
