package quota

import "github.com/cockroachdb/errors"

// maxCount bounds the counts on the wire.
const maxCount = 1 << 20

// maxMs bounds the times on the wire.
const maxMs = 60_000

// maxUses bounds the intervals on the wire: ten seconds.
const maxUses = 200

// Question asks a keeper for credits. Repeats have the same Seq; a higher Seq means that
// the answers to lower ones are not adopted any more.
type Question struct {
	// From and Run name the asking process.
	From string `json:"from"`
	Run  uint32 `json:"run"`
	Seq  uint64 `json:"seq"`
	// Acked is the highest Seq whose answer was adopted.
	Acked uint64 `json:"acked,omitempty"`
	// Need is the number of waiting operations, Want the credits that are useful within a
	// credit's validity; it is at least Need.
	Need int `json:"need,omitempty"`
	Want int `json:"want,omitempty"`
	// Held is the number of valid credits, Returned of those that expired unused, and
	// Overdrawn of operations without a credit, both since the question Acked.
	Held      int `json:"held,omitempty"`
	Returned  int `json:"returned,omitempty"`
	Overdrawn int `json:"overdrawn,omitempty"`
	// Used counts the credits used since the question Acked by the age of the use: in the first
	// usageStep before the question, the second, and so on. The last may hold older ones.
	Used []int `json:"used,omitempty"`
}

// Check returns an error if the question must not be used.
func (qu Question) Check() error {
	for _, count := range []int{qu.Need, qu.Want - qu.Need, qu.Held, qu.Returned, qu.Overdrawn} {
		if count < 0 || count > maxCount {
			return errors.Newf("count of %d out of range", count)
		}
	}
	if err := checkUses(qu.Used); err != nil {
		return err
	}
	if qu.From == "" || qu.Seq == 0 || qu.Acked >= qu.Seq {
		return errors.New("question without an asker or with an invalid number")
	}
	return nil
}

func checkUses(uses []int) error {
	if len(uses) > maxUses {
		return errors.Newf("%d intervals", len(uses))
	}
	for _, count := range uses {
		if count < 0 || count > maxCount {
			return errors.Newf("count of %d out of range", count)
		}
	}
	return nil
}

// Answer grants credits.
type Answer struct {
	Seq uint64 `json:"seq"`
	// Count credits are for waiting operations, and Late ones too, but only LateMs after the
	// answer. They are valid for needValidity from the question on.
	Count  int   `json:"count,omitempty"`
	Late   int   `json:"late,omitempty"`
	LateMs int64 `json:"late_ms,omitempty"`
	// Ahead credits are for later operations, and valid for ValidMs from the question on.
	Ahead   int   `json:"ahead,omitempty"`
	ValidMs int64 `json:"valid_ms,omitempty"`
	// RetryMs is when a further question is of use; zero if at once.
	RetryMs int64 `json:"retry_ms,omitempty"`
}

// Check returns an error if the answer must not be used.
func (an Answer) Check() error {
	for _, count := range []int{an.Count, an.Late, an.Ahead} {
		if count < 0 || count > maxCount {
			return errors.Newf("count of %d out of range", count)
		}
	}
	for _, ms := range []int64{an.LateMs, an.ValidMs, an.RetryMs} {
		if ms < 0 || ms > maxMs {
			return errors.Newf("time of %d ms out of range", ms)
		}
	}
	return nil
}

// Handover is the state of a bucket that passes to another keeper.
type Handover struct {
	// Uses counts the operations of the window by age, as in Question. It is not nil: the state of
	// an earlier version, which has no such field, cannot be used.
	Uses []int `json:"uses"`
	// KnownMs is for how long the operations are known; those before are not.
	KnownMs int64 `json:"known_ms"`
	// Held is the number of credits that may still be used.
	Held int `json:"held,omitempty"`
}

// Check returns an error if the hand-over must not be used.
func (ha Handover) Check() error {
	if ha.Uses == nil || ha.Held < 0 || ha.Held > maxCount || ha.KnownMs < 0 || ha.KnownMs > maxMs {
		return errors.New("hand-over without the window or out of range")
	}
	return checkUses(ha.Uses)
}
