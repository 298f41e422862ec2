package home

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"banyanspring/io/wire"
)

const (
	// chunkBytes is the size at which buffered answers are sent on.
	chunkBytes = 32 << 10
	// maxHeldBytes bounds the answers held back behind a COMMIT.
	maxHeldBytes = 1 << 20
)

// sink passes an answer on in chunks and holds back its last completion.
type sink struct {
	send func(*wire.RunReply) error
	// hold is true for units whose completion waits for confirmation.
	hold bool
	// ready holds bytes that may be sent.
	ready []byte
	// held holds the last completion and what followed a COMMIT.
	held []byte
	// committed is true once a COMMIT completed within the unit.
	committed bool
	// sent is true once any bytes were passed on.
	sent bool
}

// put passes one message on.
func (si *sink) put(msg pgproto3.BackendMessage) error {
	if done, ok := msg.(*pgproto3.CommandComplete); ok && si.hold {
		return si.complete(done)
	}
	if si.committed {
		return si.append(&si.held, msg)
	}
	si.release()
	if err := si.append(&si.ready, msg); err != nil {
		return err
	}
	if len(si.ready) >= chunkBytes {
		return si.flush()
	}
	return nil
}

func (si *sink) complete(done *pgproto3.CommandComplete) error {
	if !si.committed {
		si.release()
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
		return errCrossed
	}
	return nil
}

// release moves held bytes to those that may be sent.
func (si *sink) release() {
	si.ready = append(si.ready, si.held...)
	si.held = si.held[:0]
}

// flush sends what may be sent.
func (si *sink) flush() error {
	if len(si.ready) == 0 {
		return nil
	}
	raw := si.ready
	si.ready = nil
	si.sent = true
	return si.send(&wire.RunReply{Kind: &wire.RunReply_Messages{Messages: raw}})
}

// finish sends everything, the held completion included.
func (si *sink) finish() error {
	si.committed = false
	si.release()
	return si.flush()
}
