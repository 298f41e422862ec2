// Package frame splits a sequence of frontend messages in the Postgres wire
// format into single messages.
package frame

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/core/codes"
)

// headerBytes is the size of a message header: one byte for the type and four
// for the length.
const headerBytes = 5

// Decode decodes the first message in raw and returns it with its size in bytes,
// header included. The error is a *codes.Refusal.
func Decode(raw []byte) (pgproto3.FrontendMessage, int, error) {
	if len(raw) < headerBytes {
		return nil, 0, codes.Refuse(codes.ProtocolViolation, "message is cut")
	}
	size := 1 + int(binary.BigEndian.Uint32(raw[1:]))
	if size < headerBytes || size > len(raw) {
		return nil, 0, codes.Refuse(codes.ProtocolViolation, "message is cut")
	}
	msg := newMessage(raw[0])
	if msg == nil {
		return nil, 0, codes.Refuse(codes.ProtocolViolation, "unexpected message %q", raw[0])
	}
	if err := msg.Decode(raw[headerBytes:size]); err != nil {
		return nil, 0, codes.Refuse(codes.ProtocolViolation, "%v", err)
	}
	return msg, size, nil
}

// newMessage returns an empty message of the type, or nil if the type cannot be
// part of a unit.
func newMessage(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'Q':
		return &pgproto3.Query{}
	case 'P':
		return &pgproto3.Parse{}
	case 'B':
		return &pgproto3.Bind{}
	case 'D':
		return &pgproto3.Describe{}
	case 'E':
		return &pgproto3.Execute{}
	case 'C':
		return &pgproto3.Close{}
	case 'H':
		return &pgproto3.Flush{}
	case 'S':
		return &pgproto3.Sync{}
	}
	return nil
}
