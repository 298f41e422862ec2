package pool

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"banyanspring/core/codes"
	"banyanspring/core/stmt"
)

const (
	// RestCheckInterval is the time between two checks whether others wait for the connection of a
	// transaction at rest.
	RestCheckInterval = 100 * time.Millisecond
	// restRollbackTimeout bounds the rollback of such a transaction, which takes no slot at the
	// upstream.
	restRollbackTimeout = time.Second
)

// awaitMessage waits for the next message and reports false if the link ends. Meanwhile it ends
// the link's transaction if it rests for too long.
func (ls *linkSession) awaitMessage(raw net.Conn, in *messageReader, dec *cbor.Decoder) bool {
	if rd, ok := dec.Buffered().(*bytes.Reader); ok && rd.Len() > 0 {
		return true
	}
	for {
		wait := ls.restCheckIn()
		if wait <= 0 {
			return true
		}
		_ = raw.SetReadDeadline(time.Now().Add(wait))
		var one [1]byte
		num, err := raw.Read(one[:])
		_ = raw.SetReadDeadline(time.Time{})
		if num == 1 {
			in.first, in.hasFirst = one[0], true
			return true
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		ls.endIfContended()
	}
}

// restCheckIn returns the time until the next check of the link's transaction; 0 if there is
// none.
func (ls *linkSession) restCheckIn() time.Duration {
	if ls.conn == nil || ls.restLimit == nil {
		return 0
	}
	limit := ls.restLimit()
	if limit <= 0 {
		return 0
	}
	return max(ls.usedAt.Add(limit).Sub(ls.now()), RestCheckInterval)
}

// endIfContended rolls the link's transaction back if it rests for longer than the limit and
// others wait for its connection.
func (ls *linkSession) endIfContended() {
	limit := ls.restLimit()
	if limit <= 0 || ls.now().Before(ls.usedAt.Add(limit)) || !ls.conn.IsContended() {
		return
	}
	co := ls.conn
	ls.conn, ls.isLost = nil, true
	ls.held.Add(-1)
	if counts := co.pool.deps.Counts; counts != nil {
		counts.Rested.Add(1)
	}
	go co.rollBackAtRest()
}

// rollBackAtRest rolls the connection's transaction back and returns the connection.
func (co *Conn) rollBackAtRest() {
	ba := Batch{Statements: []stmt.Statement{{Kind: stmt.Rollback}}, IgnoreVars: true}
	results, err := co.Run(ba, co.pool.deps.Now().Add(restRollbackTimeout))
	if err != nil || results[0].Code != codes.OK || results[0].State != stmt.Idle {
		co.pool.Discard(co)
		return
	}
	co.pool.Release(co)
}

// answerLost answers the batches of a transaction that was ended at rest, up to its rollback:
// outside the transaction they would take effect on their own. It reports false if the batch is
// of no such transaction.
func (ls *linkSession) answerLost(msg batchMessage) (resultsMessage, bool) {
	if !ls.isLost || len(msg.Statements) == 0 {
		return resultsMessage{}, false
	}
	switch stmt.Kind(msg.Statements[0].Kind) {
	case stmt.Begin, stmt.BeginRead:
		ls.isLost = false
		return resultsMessage{}, false
	case stmt.Rollback:
		ls.isLost = false
		return resultsMessage{Results: toMessages(make([]stmt.Result, len(msg.Statements)))}, true
	}
	return resultsMessage{
		Refusal: uint32(codes.TransactionLost), Detail: "ended by the home: others waited for its connection",
	}, true
}
