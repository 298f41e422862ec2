package elect

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"banyanspring/core/posn"
)

// Holding is a position that an upstream of a group had in its log, as far as an instance knows. It
// is a lower bound: the upstream may have received more since. The leader of Term held it too.
type Holding struct {
	// Upstream and Incarnation identify the upstream that reported the position as received. Upstream
	// is empty if an instance reported a write up to the position as a success: one upstream beside
	// the leader held it, and it is not known which.
	Upstream    string
	Incarnation int64
	// Term is the term in which the position was received or acknowledged.
	Term uint64
	At   posn.Position
	// SeenBy is the instance that has seen it, and SeenAt when.
	SeenBy string
	SeenAt time.Time
}

// IsAcknowledged reports whether a write up to the position was reported as a success.
func (ho Holding) IsAcknowledged() bool { return ho.Upstream == "" }

// holder identifies the incarnation of an upstream.
type holder struct {
	upstream    string
	incarnation int64
}

const (
	// maxHoldings bounds the upstreams of a group whose positions are kept. The one with the lowest
	// position is dropped first.
	maxHoldings = 12
	// KnownFor is how long a position is kept after it was seen last.
	KnownFor = 10 * time.Minute
	// unlistedHolderWait is how long after it was seen, while the store confirms the listing, a holder is
	// waited for of which the change knows neither an entry nor that it had one. An entry lapses within
	// 2 s, and an upstream without an entry that does not answer counts as ended 5 s later.
	unlistedHolderWait = 10 * time.Second
)

// Known holds the highest known positions of groups in their newest known term. The leader of a term
// decides which entries of earlier terms are kept, so that those say nothing any more. It is not safe
// for concurrent use.
type Known struct {
	// seen holds what upstreams have received, by group: only groups with a change of leader have any.
	seen map[string]map[holder]Holding
	// acknowledged holds up to where writes were reported as a success, by group.
	acknowledged map[string]Holding
}

// NewKnown returns knowledge of no positions.
func NewKnown() *Known {
	return &Known{seen: make(map[string]map[holder]Holding), acknowledged: make(map[string]Holding)}
}

// Add records a position in a group unless a higher one of the same upstream is known, or a newer
// term.
func (kn *Known) Add(name string, ho Holding) {
	if !kn.beginTerm(name, ho.Term) {
		return
	}
	old, ok := kn.get(name, ho)
	if order := cmp.Or(ho.At.Compare(old.At), ho.SeenAt.Compare(old.SeenAt)); ok && order <= 0 {
		return
	}
	if ho.IsAcknowledged() {
		kn.acknowledged[name] = ho
		return
	}
	all := kn.seen[name]
	if all == nil {
		all = make(map[holder]Holding)
		kn.seen[name] = all
	}
	all[holder{ho.Upstream, ho.Incarnation}] = ho
	if len(all) > maxHoldings {
		lowest := ho
		for _, other := range all {
			if other.At.Compare(lowest.At) < 0 {
				lowest = other
			}
		}
		delete(all, holder{lowest.Upstream, lowest.Incarnation})
	}
}

// beginTerm drops the positions of earlier terms than the one given. It returns false if a position of
// a newer one is known.
func (kn *Known) beginTerm(name string, term uint64) bool {
	if old, ok := kn.acknowledged[name]; ok && old.Term != term {
		if old.Term > term {
			return false
		}
		delete(kn.acknowledged, name)
	}
	for ke, old := range kn.seen[name] {
		if old.Term > term {
			return false
		}
		if old.Term < term {
			delete(kn.seen[name], ke)
		}
	}
	return true
}

// get returns the known position in a group of the same kind and upstream as the one given.
func (kn *Known) get(name string, ho Holding) (Holding, bool) {
	if ho.IsAcknowledged() {
		old, ok := kn.acknowledged[name]
		return old, ok
	}
	old, ok := kn.seen[name][holder{ho.Upstream, ho.Incarnation}]
	return old, ok
}

// Adopt records a position that another instance knows, if it is higher than the known one of the same
// upstream. Its time is that of the first message: instances that pass an equal position to and fro
// must not renew it.
func (kn *Known) Adopt(name string, ho Holding) {
	old, ok := kn.get(name, ho)
	if !ok || ho.Term > old.Term || ho.At.Compare(old.At) > 0 {
		kn.Add(name, ho)
	}
}

// OfGroup returns the known positions in a group, the highest first.
func (kn *Known) OfGroup(name string) []Holding {
	out := slices.Collect(maps.Values(kn.seen[name]))
	if ho, ok := kn.acknowledged[name]; ok {
		out = append(out, ho)
	}
	slices.SortFunc(out, func(left, right Holding) int {
		return cmp.Or(right.At.Compare(left.At), right.SeenAt.Compare(left.SeenAt), cmp.Compare(left.Upstream, right.Upstream),
			cmp.Compare(left.Incarnation, right.Incarnation))
	})
	return out
}

// Seen returns what upstreams have received and the group of each, in random order.
func (kn *Known) Seen() iter.Seq2[string, Holding] {
	return func(yield func(name string, ho Holding) bool) {
		for name, all := range kn.seen {
			for _, ho := range all {
				if !yield(name, ho) {
					return
				}
			}
		}
	}
}

// Acknowledged returns up to where writes were reported as a success in each group, in random order.
func (kn *Known) Acknowledged() iter.Seq2[string, Holding] { return maps.All(kn.acknowledged) }

// Forget drops the positions that were seen longer than KnownFor ago.
func (kn *Known) Forget(now time.Time) {
	isOld := func(ho Holding) bool { return now.Sub(ho.SeenAt) > KnownFor }
	maps.DeleteFunc(kn.acknowledged, func(_ string, ho Holding) bool { return isOld(ho) })
	for name, all := range kn.seen {
		maps.DeleteFunc(all, func(_ holder, ho Holding) bool { return isOld(ho) })
		if len(all) == 0 {
			delete(kn.seen, name)
		}
	}
}

// KnownAbove returns the highest known position above the one given, and false if there is none.
// mayReturn is true if an upstream that holds it does not answer and may come back with it.
func (ch Change) KnownAbove(limit posn.Position) (highest Holding, mayReturn, ok bool) {
	for _, ho := range ch.Known {
		if ho.Term < ch.Term || ho.At.Compare(limit) <= 0 {
			continue
		}
		canReturn := ch.mayReturn(ho)
		// One that may come back is the reason to wait, whatever else is lost.
		if !ok || (canReturn && !mayReturn) || (canReturn == mayReturn && ho.At.Compare(highest.At) > 0) {
			highest, mayReturn, ok = ho, canReturn, true
		}
	}
	return highest, mayReturn, ok
}

// mayReturn reports whether an upstream that holds the position does not answer and may come back, or
// is a leader that still leads and may be stopped yet. A replica that answers is compared by what it has
// now: if that is less, it has lost its log.
func (ch Change) mayReturn(ho Holding) bool {
	isLeading := ch.Leader.Answered && ch.Leader.ClaimsLead && !ch.IsStopped
	if ch.Leader.mayReturn() || (isLeading && ch.Leader.Received.Compare(ho.At) >= 0) {
		return true
	}
	if ho.IsAcknowledged() {
		return slices.ContainsFunc(ch.Replicas, Replica.mayReturn)
	}
	for _, re := range append(slices.Clone(ch.Replicas), ch.Leader) {
		if re.ID == ho.Upstream && re.Incarnation == ho.Incarnation {
			return re.mayReturn()
		}
		if re.ID == ho.Upstream && re.Incarnation > ho.Incarnation {
			return false
		}
	}
	return ch.Listing.MissingFor(ho.SeenAt) < unlistedHolderWait
}

// mayReturn reports whether an upstream that does not answer may do so later, with its log.
func (re Replica) mayReturn() bool { return !re.Answered && !re.HasEnded && !re.IsPastDrain }

// MostAdvanced returns the upstream that answered and has received the most; zero if none answered.
func (ch Change) MostAdvanced() Replica {
	var most Replica
	for _, re := range ch.receivers() {
		if re.Answered && (!most.Answered || re.Received.Compare(most.Received) > 0) {
			most = re
		}
	}
	return most
}

// Silent returns the IDs of the upstreams that do not answer and may come back.
func (ch Change) Silent() []string {
	var out []string
	for _, re := range append(slices.Clone(ch.Replicas), ch.Leader) {
		if re.mayReturn() {
			out = append(out, re.ID)
		}
	}
	return out
}
