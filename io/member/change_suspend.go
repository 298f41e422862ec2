package member

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"banyanspring/core/event"
	"banyanspring/core/quorum"
)

var (
	errNoQuorum      = errors.New("fewer than half of the members confirm that they pass on no more writes")
	errWritesPending = errors.New("a member may still pass on writes")
	errOutranked     = errors.New("a member knows a suspension by a coordinator with a newer token")
)

// suspendPath is where members ask each other to end the writes to a leader.
const suspendPath = "/v1/suspend"

// suspendReply is a member's answer to a suspension.
type suspendReply struct {
	quorum.Answer
	// Listing is the revision of the member's listing.
	Listing uint64 `json:"listing"`
	// Formers holds the upstreams that are no longer listed: the coordinator may have started
	// after their entries disappeared.
	Formers []wireFormer `json:"formers,omitempty"`
	// Forgotten is the bound of the upstreams that have left and are not among Formers; nil if there is
	// none, since the member has started lately.
	Forgotten *wirePosition `json:"forgotten,omitempty"`
	// Known holds the positions in the group that upstreams are known to have received.
	Known []wireHolding `json:"known,omitempty"`
}

func (re *suspendReply) check() error {
	if err := checkFormers(re.Formers); err != nil {
		return err
	}
	if err := checkHoldings(re.Known, maxGroupHoldings); err != nil {
		return err
	}
	return re.Check()
}

// suspendQuery asks a member to apply a suspension.
type suspendQuery struct{ quorum.WireSuspension }

func (qu *suspendQuery) check() error { return qu.Check() }

// suspension is the state of the suspension of a change.
type suspension struct {
	quorum.Suspension
	ending  *quorum.Ending
	answers chan memberAnswer
	// listing is the highest revision of a listing that a member has.
	listing uint64
	// isOutranked is true once a member, this one included, has refused it for a newer one.
	isOutranked bool
}

type memberAnswer struct {
	name  string
	reply suspendReply
	at    time.Time
	// isRefused is true if the member knows a newer suspension; there is no reply then.
	isRefused bool
}

// serveSuspension applies another member's suspension. It refuses one without effect, so that
// its coordinator does not rely on this member.
func (ps *peers) serveSuspension(rw http.ResponseWriter, rq *http.Request) {
	var qu suspendQuery
	if err := readExchange(http.MaxBytesReader(rw, rq.Body, maxOrderBytes), &qu); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	an, hasEffect := ps.me.permits.suspend(qu.Suspension(ps.me.deps.Now()))
	if !hasEffect {
		http.Error(rw, errOutranked.Error(), http.StatusConflict)
		return
	}
	// No success is reported after the suspension was applied, so that this holds all of them.
	ps.me.recordSuccesses(qu.Group)
	now := ps.me.deps.Now()
	re := suspendReply{
		Answer: an, Listing: ps.me.listing().ContentRevision, Formers: ps.me.formers.toSend(now),
		Known: ps.me.known.groupToSend(qu.Group, now),
	}
	if bound, ok := ps.me.formers.boundOfForgotten(qu.Group); ok {
		re.Forgotten = newWirePosition(bound)
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(re)
}

// beginSuspension asks all members to pass on no more writes to any leader of the group: that
// of the change may not have stopped, and another coordinator may have replaced it. It asks
// nobody if this member itself knows a suspension by a coordinator with a newer token.
func (mo *monitor) beginSuspension(ch *leaderChange) {
	if ch.suspension != nil {
		return
	}
	names := mo.me.roster.names()
	su := mo.me.permits.begin(mo.name, "", ch.token)
	ch.suspension = &suspension{Suspension: su, ending: quorum.NewEnding(names), answers: make(chan memberAnswer, len(names))}
	own, hasEffect := mo.me.permits.suspend(su)
	if !hasEffect {
		ch.suspension.isOutranked = true
		return
	}
	ch.suspension.ending.Add(mo.me.settings.Name, own, mo.me.deps.Now())
	mo.sendSuspension(su, ch.callBy, ch.suspension.answers)
}

// sendSuspension sends a suspension to all other members in the background, until the time
// given at most, and passes on their answers.
func (mo *monitor) sendSuspension(su quorum.Suspension, until time.Time, answers chan<- memberAnswer) {
	ctx, cancel := context.WithTimeout(context.Background(), until.Sub(mo.me.deps.Now()))
	var wg sync.WaitGroup
	for _, en := range mo.me.roster.others() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			qu := suspendQuery{su.Wire(mo.me.deps.Now())}
			var re suspendReply
			err := mo.me.peers.post(ctx, "http://"+en.Address+suspendPath, qu, &re)
			if isRefused := errors.Is(err, errPeerConflict); err == nil || isRefused {
				answers <- memberAnswer{name: en.Name, reply: re, at: mo.me.deps.Now(), isRefused: isRefused}
			}
		}()
	}
	go func() {
		wg.Wait()
		cancel()
	}()
}

// awaitSuspension waits until nobody passes on writes to the leader any more, but not until
// the appointment would be too late. A member that does not answer may have a permit for
// quorum.Duration after its last contact to one that does.
func (mo *monitor) awaitSuspension(ctx context.Context, ch *leaderChange) error {
	su, began := ch.suspension, mo.me.deps.Now()
	for {
		if err := mo.checkRank(ch); err != nil {
			return err
		}
		now := mo.me.deps.Now()
		endsAt, isKnown := su.ending.EndsAt()
		if isKnown && !now.Before(endsAt) {
			mo.logSuspension(ch, "no member passes on writes to the leader any more", now.Sub(began))
			return nil
		}
		wait := ch.callBy.Sub(now)
		if isKnown {
			wait = min(wait, endsAt.Sub(now))
		}
		if wait <= 0 {
			mo.logSuspension(ch, errWritesPending.Error(), now.Sub(began))
			return errWritesPending
		}
		if err := mo.awaitAnswer(ctx, ch, wait); err != nil {
			return err
		}
	}
}

// awaitQuorum waits until at least half of the members have answered, so that the others
// cannot renew their permits. A coordinator that is cut off from most of them changes nothing.
func (mo *monitor) awaitQuorum(ctx context.Context, ch *leaderChange) error {
	su, until := ch.suspension, mo.me.deps.Now().Add(quorumTimeout)
	for {
		if err := mo.checkRank(ch); err != nil {
			return err
		}
		if su.ending.HasQuorum() {
			break
		}
		wait := until.Sub(mo.me.deps.Now())
		if wait <= 0 {
			mo.logSuspension(ch, errNoQuorum.Error(), quorumTimeout)
			return errNoQuorum
		}
		if err := mo.awaitAnswer(ctx, ch, wait); err != nil {
			return err
		}
	}
	return mo.checkNewestListing(ctx, su.listing)
}

// checkRank returns an error if a member has refused the suspension, and requests a newer token
// for the next attempt. The coordinator with the newer token may have given up before its call,
// so that the platform would still accept this one's.
func (mo *monitor) checkRank(ch *leaderChange) error {
	if !ch.suspension.isOutranked {
		return nil
	}
	mo.logSuspension(ch, errOutranked.Error(), 0)
	mo.me.roster.requestNewToken(ch.token)
	return errOutranked
}

// checkNewestListing returns an error if a member that has answered has a newer listing than
// this one, which was cut off until now and may not know of a newer leader. It reads the
// listing for the next attempt then.
func (mo *monitor) checkNewestListing(ctx context.Context, newest uint64) error {
	if newest <= mo.me.listing().ContentRevision {
		return nil
	}
	if err := mo.me.refreshListing(ctx); err != nil {
		event.Log(mo.me.log, event.PlatformDown, "what", "listing", "error", err.Error())
	}
	return errListingOld
}

// quorumTimeout bounds the wait for the answers of half of the members.
const quorumTimeout = 2 * exchangeTimeout

// awaitAnswer waits for one more answer to the suspension, but no longer than the time given.
func (mo *monitor) awaitAnswer(ctx context.Context, ch *leaderChange, wait time.Duration) error {
	su := ch.suspension
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case an := <-su.answers:
		if an.isRefused {
			su.isOutranked = true
			return nil
		}
		su.ending.Add(an.name, an.reply.Answer, an.at)
		mo.me.formers.adopt(an.reply.Formers, mo.me.listing(), mo.me.deps.Now())
		if bound := an.reply.Forgotten; bound != nil {
			ch.forgotten = append(ch.forgotten, bound.position())
		}
		mo.me.known.adopt(an.reply.Known, an.at)
		su.listing = max(su.listing, an.reply.Listing)
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// confirmsListing reports whether most members have answered and none has a newer listing.
func (su *suspension) confirmsListing(revision uint64) bool {
	return su.ending.HasMajority() && su.listing <= revision
}

func (mo *monitor) logSuspension(ch *leaderChange, why string, took time.Duration) {
	event.Log(mo.me.log, event.ChangeStep, "group", mo.name, "step", "suspend", "why", why,
		"answers", fmt.Sprintf("%d of %d members", ch.suspension.ending.Answered(), mo.me.roster.count()), "took", took.String())
}

// endSuspension ends the suspension of a change that has no effect any more.
func (mo *monitor) endSuspension(ch *leaderChange) {
	if ch.suspension != nil {
		mo.liftSuspension(ch.suspension.Suspension)
	}
}

// narrowSuspension leaves only the old leader suspended, which goes on after the change.
func (mo *monitor) narrowSuspension(ch *leaderChange) {
	if ch.suspension == nil {
		return
	}
	su := mo.me.permits.begin(mo.name, ch.leader.ID, ch.token)
	mo.me.permits.suspend(su)
	mo.sendToMembers(su)
}

// liftSuspension ends a suspension at all members. Those that are not reached now learn of
// it by the exchanges.
func (mo *monitor) liftSuspension(su quorum.Suspension) {
	su = su.WithEnd()
	mo.me.permits.suspend(su)
	mo.sendToMembers(su)
}

// sendToMembers sends a suspension to all other members and ignores their answers.
func (mo *monitor) sendToMembers(su quorum.Suspension) {
	mo.sendSuspension(su, mo.me.deps.Now().Add(orderTimeout), make(chan memberAnswer, mo.me.roster.count()))
}
