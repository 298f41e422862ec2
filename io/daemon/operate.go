package daemon

import (
	"context"
	"net/http"
	"time"

	"banyanspring/core/codes"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/core/promo"
)

// GroupStatus is the state of a group as known to one of its guards.
type GroupStatus struct {
	Group   string         `json:"group"`
	Term    uint64         `json:"term"`
	Primary string         `json:"primary"`
	State   promo.State    `json:"state"`
	Members []MemberStatus `json:"members"`
}

// MemberStatus is the last report of a member that a guard received. Offset and
// Behind count in the unit of log offsets.
type MemberStatus struct {
	Name    string `json:"name"`
	Term    uint64 `json:"term"`
	Offset  uint64 `json:"offset"`
	Leads   bool   `json:"leads"`
	Behind  uint64 `json:"behind"`
	SeenAge string `json:"seen_age"`
}

// status returns the status of the groups that this daemon guards.
func (gs *guards) status() []GroupStatus {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	out := []GroupStatus{}
	for _, gd := range gs.groups {
		out = append(out, gd.status())
	}
	return out
}

func (gd *groupGuard) status() GroupStatus {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	st := GroupStatus{Group: gd.name, State: gd.guard.State()}
	if gr, ok := gd.da.groups.Get(gd.name); ok {
		st.Term, st.Primary = gr.TermNumber, gr.Primary
	}
	members := gd.guard.Members()
	var head posn.Position
	for _, mem := range members {
		if mem.Report.Primary {
			head = head.Max(mem.Report.Entry)
		}
	}
	now := gd.da.deps.Now()
	for _, mem := range members {
		seen := "never"
		if !mem.ProbedAt.IsZero() {
			seen = now.Sub(mem.ProbedAt).Round(time.Millisecond).String()
		}
		st.Members = append(st.Members, MemberStatus{
			Name:    mem.Name,
			Term:    mem.Report.Term.Number,
			Offset:  mem.Report.Entry.Offset,
			Leads:   mem.Report.Primary,
			Behind:  max(head.Offset, mem.Report.Entry.Offset) - mem.Report.Entry.Offset,
			SeenAge: seen,
		})
	}
	return st
}

// operatorTimeout limits a handover or forced promotion that an operator
// requests.
const operatorTimeout = 15 * time.Second

func (da *Daemon) serveHandover(wr http.ResponseWriter, rq *http.Request) {
	ctx, cancel := context.WithTimeout(rq.Context(), operatorTimeout)
	defer cancel()
	writeOrderResult(wr, da.Handover(ctx, rq.PathValue("group"), rq.FormValue("target")))
}

func (da *Daemon) serveForce(wr http.ResponseWriter, rq *http.Request) {
	ctx, cancel := context.WithTimeout(rq.Context(), operatorTimeout)
	defer cancel()
	writeOrderResult(wr, da.Force(ctx, rq.PathValue("group"), rq.FormValue("target")))
}

func writeOrderResult(wr http.ResponseWriter, err error) {
	if err != nil {
		http.Error(wr, err.Error(), http.StatusConflict)
		return
	}
	_, _ = wr.Write([]byte("done\n"))
}

// Force promotes a member without asking the others. Writes that the target
// lacks are lost, even acknowledged ones; no write is acknowledged in the new
// term before a majority has joined it.
func (da *Daemon) Force(ctx context.Context, group, target string) error {
	gr, ok := da.groups.Get(group)
	if !ok {
		return codes.Refuse(codes.NotHome, "group %q is not known here", group)
	}
	mem, ok := gr.GetMemberByName(target)
	if !ok {
		return codes.Refuse(codes.OrderRefused, "%q is no member of %q", target, group)
	}
	re, err := da.probe(ctx, gr, mem)
	if err != nil {
		return err
	}
	newTerm := posn.Term{Number: max(gr.TermNumber, re.Term.Number) + 1, Primary: target}
	event.Log(da.Log, event.PromotionBegun, "group", group, "candidate", target, "term", newTerm.Number, "forced", true)
	return da.changePrimary(ctx, gr, target, re.Term, newTerm)
}
