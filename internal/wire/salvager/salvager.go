// Package salvager gets messages between hosts through that can't pass as they are. What can't be encoded or
// decoded costs itself only, and a message that is too large is sent in parts: otherwise the message would end
// its link, and come again on each next one. The package does no I/O.
package salvager

import (
	"fmt"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"verbenareach/internal/wire/messenger"
)

// maxShownBytes bounds what is shown of a text that can't be encoded.
const maxShownBytes = 40

// Sound returns a copy of a message without the entries that can't be encoded, and what these were: each
// by the name of its field and the text that is not valid.
func Sound(m *messenger.LinkMessage) (sound *messenger.LinkMessage, lost []string) {
	sound = proto.CloneOf(m)
	lost = prune(sound.ProtoReflect())
	return sound, lost
}

// prune removes the entries with invalid texts from a message, and returns what they were. A text of the
// message itself that is not valid is removed, too.
func prune(m protoreflect.Message) (lost []string) {
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if fd.IsList() {
			sound := m.NewField(fd)
			lost = append(lost, appendSound(sound.List(), fd, v.List())...)
			m.Set(fd, sound)
			return true
		}
		bad, stays := pruneValue(fd, v)
		lost = append(lost, bad...)
		if !stays {
			m.Clear(fd)
		}
		return true
	})
	return lost
}

// appendSound appends the entries of a list that can be encoded to another one, and returns what was lost.
func appendSound(sound protoreflect.List, fd protoreflect.FieldDescriptor, list protoreflect.List) (lost []string) {
	for i := range list.Len() {
		bad, stays := pruneValue(fd, list.Get(i))
		lost = append(lost, bad...)
		if stays {
			sound.Append(list.Get(i))
		}
	}
	return lost
}

// pruneValue reports whether a value stays, which it does without those of its entries that can't be encoded,
// and what was lost: these, or the texts for which it does not stay.
func pruneValue(fd protoreflect.FieldDescriptor, v protoreflect.Value) (lost []string, stays bool) {
	if bad := invalid(fd, v); len(bad) > 0 {
		return bad, false
	}
	if fd.Message() == nil {
		return nil, true
	}
	return prune(v.Message()), true
}

// invalid returns the invalid texts of a value: its own and those of its fields, but for those of its lists.
func invalid(fd protoreflect.FieldDescriptor, v protoreflect.Value) (texts []string) {
	switch {
	case fd.Kind() == protoreflect.StringKind && !utf8.ValidString(v.String()):
		return []string{describe(fd, v.String())}
	case fd.Message() == nil:
		return nil
	}
	v.Message().Range(func(inner protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !inner.IsList() {
			texts = append(texts, invalid(inner, v)...)
		}
		return true
	})
	return texts
}

func describe(fd protoreflect.FieldDescriptor, text string) string {
	return fmt.Sprintf("%s %q", fd.FullName().Name(), text[:min(len(text), maxShownBytes)])
}

// Split returns messages of at most limit bytes that say together, in their order, what m does. An entry
// that is larger by itself has a message of its own. What is no entry of a list is in the first one only.
func Split(m *messenger.LinkMessage, limit int) []*messenger.LinkMessage {
	first := &messenger.LinkMessage{}
	parts := []*messenger.LinkMessage{first}
	from := m.ProtoReflect()
	fields := from.Descriptor().Fields()
	for i := range fields.Len() {
		if fd := fields.Get(i); !fd.IsList() && from.Has(fd) {
			first.ProtoReflect().Set(fd, from.Get(fd))
		}
	}
	size := proto.Size(first)
	for i := range fields.Len() {
		fd := fields.Get(i)
		if !fd.IsList() {
			continue
		}
		list := from.Get(fd).List()
		for at := range list.Len() {
			n := entrySize(fd, list.Get(at))
			if size > 0 && size+n > limit {
				parts = append(parts, &messenger.LinkMessage{})
				size = 0
			}
			parts[len(parts)-1].ProtoReflect().Mutable(fd).List().Append(list.Get(at))
			size += n
		}
	}
	return parts
}

// entrySize returns the bytes of an entry of a list of messages, with its tag and length.
func entrySize(fd protoreflect.FieldDescriptor, v protoreflect.Value) int {
	return protowire.SizeTag(fd.Number()) + protowire.SizeBytes(proto.Size(v.Message().Interface()))
}

// Decode decodes a message, and returns why entries of it could not be: they are left out. It returns an error
// if the bytes are no message at all.
func Decode(data []byte, m *messenger.LinkMessage) (lost []error, err error) {
	if proto.Unmarshal(data, m) == nil {
		return nil, nil
	}
	proto.Reset(m)
	for len(data) > 0 {
		number, _, n := protowire.ConsumeField(data)
		if n < 0 {
			return nil, eris.Wrap(protowire.ParseError(n), "message is torn")
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(data[:n], m); err != nil {
			lost = append(lost, eris.Wrapf(err, "field %d", number))
		}
		data = data[n:]
	}
	return lost, nil
}
