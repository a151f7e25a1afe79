package recorder

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"verbenareach/internal/wire/messenger"
)

// A frame is one record in a file: the payload's length and a checksum of
// length and payload, 4 bytes each in little-endian order, then the payload.
const (
	frameHeaderBytes = 8
	// maxPayloadBytes bounds the payload of a record.
	maxPayloadBytes = 64 << 20
	// maxMarkBytes bounds the payload of a mark.
	maxMarkBytes = 32
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)

	errShort    = errors.New("record is cut short")
	errChecksum = errors.New("record's checksum is wrong")
	errTooLong  = errors.New("record is longer than allowed")
)

// appendFrame appends m as a frame to buf.
func appendFrame(buf []byte, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, frameHeaderBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return buf[:start], err
	}
	payload := buf[start+frameHeaderBytes:]
	if len(payload) > maxPayloadBytes {
		return buf[:start], errTooLong
	}
	binary.LittleEndian.PutUint32(buf[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+4:], checksum(buf[start:start+4], payload))
	return buf, nil
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, length), castagnoli, payload)
}

// decodeFrame returns the payload of the frame at the start of data. limit bounds the
// payload in bytes.
func decodeFrame(data []byte, limit int) (payload []byte, err error) {
	if len(data) < frameHeaderBytes {
		return nil, errShort
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n > limit {
		return nil, errTooLong
	}
	if len(data) < frameHeaderBytes+n {
		return nil, errShort
	}
	payload = data[frameHeaderBytes : frameHeaderBytes+n]
	if binary.LittleEndian.Uint32(data[4:]) != checksum(data[:4], payload) {
		return nil, errChecksum
	}
	return payload, nil
}

// hasMarkBeyond reports whether data, which begins at offset start of a segment, holds a
// mark that states that more than start bytes had been synced. In that case the unreadable
// record at start is damage, not a torn tail.
func hasMarkBeyond(data []byte, start int64) bool {
	for i := range data {
		payload, err := decodeFrame(data[i:], maxMarkBytes)
		if err != nil || len(payload) == 0 {
			continue
		}
		var rec messenger.LogRecord
		if proto.Unmarshal(payload, &rec) != nil {
			continue
		}
		if rec.GetMark().GetSynced() > uint64(start) {
			return true
		}
	}
	return false
}
