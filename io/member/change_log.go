package member

import (
	"fmt"
	"slices"
	"strings"

	"banyanspring/core/event"
)

// logStep logs the answers of the upstreams to one step of a change of leader. why is what
// makes the step safe or necessary.
func (mo *monitor) logStep(step, why string, results map[string]orderResult) {
	event.Log(mo.me.log, event.ChangeStep, "group", mo.name, "step", step, "why", why, "answers", describeResults(results))
}

// describeResults returns one text for all results, sorted by the upstreams' IDs.
func describeResults(results map[string]orderResult) string {
	parts := make([]string, 0, len(results))
	for id, res := range results {
		parts = append(parts, id+" "+res.describe())
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}

func (res orderResult) describe() string {
	if res.err != nil {
		return fmt.Sprintf("error %q", res.err)
	}
	re, role := res.report, "replica"
	if res.via != "" {
		role = "via " + res.via + " replica"
	}
	if re.ClaimsLead {
		role = strings.Replace(role, "replica", "leader", 1)
	}
	return fmt.Sprintf("%s term %d received %d.%d frozen %d lag %s", role, re.Term, re.Received.Term.Number, re.Received.Offset,
		re.FrozenTerm, re.Lag)
}
