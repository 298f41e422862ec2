// Package quota limits the operations of a workspace over all instances. One instance, the
// workspace's keeper, holds a Bucket and grants credits; each instance that runs operations of
// the workspace has an Account of its credits. The package does no I/O and reads no clock.
//
// Bound: whenever a credit is granted, the credits that may be used less than y before that moment or
// later, this one included, are at most burst + stock + rate x y, for each y up to the window. The
// latest credit used in a window was granted before its end, so a window has at most rate x window +
// burst + stock operations. What lies further back than a window is forgotten; a token bucket would
// refuse a steady demand above the rate after a while. A successor that knows nothing grants rate x
// time from its beginning on, which fits beside what its predecessor may have granted. Overdrafts, what
// such a successor grants at once, and the time from the admission to the start at an upstream have
// the rest of the margin.
//
// Assumptions: the instances' clocks run at nearly the same speed and count suspended time; at
// most one keeper grants credits at a time.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings holds what applies to the limits of all workspaces.
type Settings struct {
	// Window is the time over which operations are counted; zero if there are no limits.
	Window time.Duration
	// Overage is the fraction, and Slack the count, by which a window may exceed the limit.
	Overage, Slack float64
}

// IsEnabled reports whether there are limits.
func (se Settings) IsEnabled() bool { return se.Window > 0 }

// Limit is the limit of one workspace: operations per second, and in addition at once.
type Limit struct{ Rate, Burst float64 }

// Allowed returns the operations of a window that must not be refused.
func (se Settings) Allowed(li Limit) float64 { return li.Rate*se.Window.Seconds() + li.Burst }

// Margin returns the operations of a window above Allowed that may run.
func (se Settings) Margin(li Limit) float64 { return se.Allowed(li)*se.Overage + se.Slack }

// The margin is divided into the stock of credits that are granted ahead, overdrafts while no
// keeper answers, and what a new keeper grants at once. The rest is for operations that start at an
// upstream some time after their admission, and for a second change of the keeper in a window.
const (
	stockFraction     = 0.35
	overdraftFraction = 0.35
	startFraction     = 0.15
	// reserveFraction is the part of the peak that is left for waiting operations when credits are
	// granted ahead, and shareOfSpare the part of the rest that one instance gets at once.
	reserveFraction = 0.2
	shareOfSpare    = 0.25
)

func (se Settings) stock(li Limit) float64 { return stockFraction * se.Margin(li) }

const (
	// maxValidity bounds how long a credit is valid that is granted ahead.
	maxValidity = 3 * time.Second
	// needValidity is how long a credit for a waiting operation is valid: twice MaxWait, within
	// which it is used or the operation has ended. The shorter it is, the fewer used credits
	// count as outstanding at the keeper; with MaxWait itself, paused instances refuse.
	needValidity = 300 * time.Millisecond
	// HedgeAfter is when an unanswered question is sent a second time: later than an answer
	// between regions takes, and early enough that the second can be answered within MaxWait.
	HedgeAfter = 60 * time.Millisecond
	// minRetry is the wait before another question after one that nobody could answer. It doubles
	// with each, up to maxUnanswered: while no keeper can be reached, operations wait for the
	// question under way.
	minRetry      = 30 * time.Millisecond
	maxUnanswered = 120 * time.Millisecond
	// MaxWait bounds how long an operation waits for a credit.
	MaxWait = 150 * time.Millisecond
	// maxDelay bounds how far ahead credits are granted that cannot be used at once. With the
	// way of the answer it is less than MaxWait.
	maxDelay = 100 * time.Millisecond
	// maxShared bounds how much longer than until there is room a refused instance does not ask.
	maxShared = 250 * time.Millisecond
	// expiryMargin is added to the validity where the keeper counts it.
	expiryMargin = 20 * time.Millisecond
)

// OverdraftShare returns how many operations the instance may run in a window without a credit:
// an equal share of the overdrafts. What cannot be divided goes to the first in rank.
func OverdraftShare(se Settings, li Limit, workspace, self string, members []string) int {
	return shareOf(overdraftFraction*se.Margin(li), workspace, self, members)
}

// StartShare is the same for an instance that has just started and that no keeper has answered
// yet. After a restart of all instances the shares together are at most a second of the rate and
// overdraftFraction of the margin: less than what the second or more without any operation has
// left of the window.
func StartShare(se Settings, li Limit, workspace, self string, members []string) int {
	return shareOf(li.Rate+overdraftFraction*se.Margin(li), workspace, self, members)
}

// shareOf returns the instance's equal share of a number of operations. What cannot be divided
// goes to the first in rank.
func shareOf(operations float64, workspace, self string, members []string) int {
	if len(members) == 0 {
		return 0
	}
	total := int(min(operations, math.MaxInt32))
	share, rest := total/len(members), total%len(members)
	own, ahead := score(workspace, self), 0
	isMember := false
	for _, name := range members {
		if name == self {
			isMember = true
		} else if isAhead(score(workspace, name), own, name, self) {
			ahead++
		}
	}
	if !isMember {
		return 0
	}
	if ahead < rest {
		share++
	}
	return share
}

// First returns the member with the highest score for the workspace by rendezvous hashing, without
// the members for which skip is true, and false if none is left.
func First(workspace string, members []string, skip func(string) bool) (string, bool) {
	var best string
	var bestScore uint64
	found := false
	for _, name := range members {
		if skip(name) {
			continue
		}
		sc := score(workspace, name)
		if !found || isAhead(sc, bestScore, name, best) {
			best, bestScore, found = name, sc, true
		}
	}
	return best, found
}

func isAhead(left, right uint64, leftName, rightName string) bool {
	return left > right || (left == right && leftName < rightName)
}

func score(workspace, member string) uint64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(workspace)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(member)
	return dig.Sum64()
}

func ceilMs(du time.Duration) int64 { return int64((du + time.Millisecond - 1) / time.Millisecond) }

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
