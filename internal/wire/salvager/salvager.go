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
		switch {
		case fd.IsList():
			list, bad := soundEntries(m.NewField(fd).List(), fd, v.List())
			lost = append(lost, bad...)
			m.Set(fd, protoreflect.ValueOfList(list))
		case len(invalid(fd, v)) > 0:
			lost = append(lost, invalid(fd, v)...)
			m.Clear(fd)
		case fd.Message() != nil:
			lost = append(lost, prune(v.Message())...)
		}
		return true
	})
	return lost
}

// soundEntries appends the entries of a list that can be encoded to an empty one. An entry stays without
// those of its own entries that can't be.
func soundEntries(sound protoreflect.List, fd protoreflect.FieldDescriptor, list protoreflect.List) (_ protoreflect.List, lost []string) {
	for i := range list.Len() {
		v := list.Get(i)
		bad := invalid(fd, v)
		lost = append(lost, bad...)
		if len(bad) == 0 {
			if fd.Message() != nil {
				lost = append(lost, prune(v.Message())...)
			}
			sound.Append(v)
		}
	}
	return sound, lost
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
