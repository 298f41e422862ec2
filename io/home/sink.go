package home

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/io/wire"
)

const (
	// chunkBytes is the size at which buffered answers are sent.
	chunkBytes = 32 << 10
	// maxHeldBytes bounds the bytes held back after a COMMIT. A longer answer fails
	// with errUnexpectedAnswer.
	maxHeldBytes = 1 << 20
)

// sink forwards an answer in chunks. With holdCompletion it holds back the last
// CommandComplete, and everything after a COMMIT, until finish.
type sink struct {
	send func(*wire.RunReply) error
	// holdCompletion is true for units whose CommandComplete waits for
	// confirmation by a majority.
	holdCompletion bool
	// ready buffers bytes that may be sent.
	ready []byte
	// held buffers what is held back. The recorded answer of a unit with a request
	// key is added to it too.
	held []byte
	// committed is true from the CommandComplete of a COMMIT until finish; it is
	// set only if holdCompletion is.
	committed bool
	// sent is true once any bytes were sent.
	sent bool
}

// write forwards one message.
func (si *sink) write(msg pgproto3.BackendMessage) error {
	if done, ok := msg.(*pgproto3.CommandComplete); ok && si.holdCompletion {
		return si.writeCompletion(done)
	}
	if si.committed {
		return si.append(&si.held, msg)
	}
	si.releaseHeld()
	if err := si.append(&si.ready, msg); err != nil {
		return err
	}
	if len(si.ready) >= chunkBytes {
		return si.flush()
	}
	return nil
}

func (si *sink) writeCompletion(done *pgproto3.CommandComplete) error {
	if !si.committed {
		si.releaseHeld()
	}
	if string(done.CommandTag) == "COMMIT" {
		si.committed = true
	}
	return si.append(&si.held, done)
}

func (si *sink) append(buf *[]byte, msg pgproto3.BackendMessage) error {
	raw, err := msg.Encode(*buf)
	if err != nil {
		return err
	}
	*buf = raw
	if len(si.held) > maxHeldBytes {
		return errUnexpectedAnswer
	}
	return nil
}

// releaseHeld moves the held bytes to ready.
func (si *sink) releaseHeld() {
	si.ready = append(si.ready, si.held...)
	si.held = si.held[:0]
}

// flush sends the ready bytes.
func (si *sink) flush() error {
	if len(si.ready) == 0 {
		return nil
	}
	raw := si.ready
	si.ready = nil
	si.sent = true
	return si.send(&wire.RunReply{Kind: &wire.RunReply_Messages{Messages: raw}})
}

// finish sends everything, including the held bytes.
func (si *sink) finish() error {
	si.committed = false
	si.releaseHeld()
	return si.flush()
}
