package member

import (
	"github.com/cockroachdb/errors"

	"banyanspring/core/quota"
)

// limitPath is where members ask each other for the credits of workspaces.
const limitPath = "/v1/limit"

// maxLimitBytes bounds the body of a limitQuery.
const maxLimitBytes = 4 << 10

// Kinds of a limitQuery.
const (
	// limitAsk is a question for credits.
	limitAsk = "ask"
	// limitRelease asks for the state of a workspace that the sender keeps from now on.
	limitRelease = "release"
	// limitInherit hands the state over, since the sender leaves.
	limitInherit = "inherit"
	// limitProbe finds out whether the receiver answers, or reaches Target if that is set.
	limitProbe = "probe"
)

// limitQuery is a message to another member about the limit of a workspace.
type limitQuery struct {
	Kind string `json:"kind"`
	// From and Run name the process that sends the message.
	From      string `json:"from"`
	Run       uint32 `json:"run"`
	Workspace string `json:"workspace,omitempty"`
	// Hops counts how often the question was passed on.
	Hops     int             `json:"hops,omitempty"`
	Question *quota.Question `json:"question,omitempty"`
	Handover *quota.Handover `json:"handover,omitempty"`
	Target   string          `json:"target,omitempty"`
}

func (qu *limitQuery) check() error {
	if qu.From == "" || qu.Hops < 0 || qu.Hops > maxLimitBytes {
		return errors.New("message without a sender or passed on too often")
	}
	if (qu.Workspace == "") != (qu.Kind == limitProbe) {
		return errors.New("message without a workspace")
	}
	if (qu.Question != nil) != (qu.Kind == limitAsk) || (qu.Handover != nil) != (qu.Kind == limitInherit) {
		return errors.New("message of another kind than its content")
	}
	switch qu.Kind {
	case limitAsk:
		return qu.Question.Check()
	case limitInherit:
		return qu.Handover.Check()
	case limitRelease, limitProbe:
		return nil
	}
	return errors.Newf("message of the unknown kind %q", qu.Kind)
}

// limitReply answers a limitQuery.
type limitReply struct {
	// Run names the process that answers; IsLeaving is true if it is shutting down.
	Run       uint32 `json:"run"`
	IsLeaving bool   `json:"leaving,omitempty"`
	// Answer is nil if the question cannot be answered now.
	Answer *quota.Answer `json:"answer,omitempty"`
	// Handover is nil if the member does not keep the workspace, or IsKept is true.
	Handover *quota.Handover `json:"handover,omitempty"`
	IsKept   bool            `json:"kept,omitempty"`
	// IsReached is true if the target of a probe answers.
	IsReached bool `json:"reached,omitempty"`
}

func (re *limitReply) check() error {
	if re.Answer != nil {
		if err := re.Answer.Check(); err != nil {
			return err
		}
	}
	if re.Handover != nil {
		return re.Handover.Check()
	}
	return nil
}
