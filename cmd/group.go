package cmd

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"banyanspring/io/daemon"
	"banyanspring/io/store"
)

func newGroup() *cobra.Command {
	var platform string
	cm := &cobra.Command{
		Use:   "group",
		Short: "Show database groups and change their primary",
	}
	cm.PersistentFlags().StringVar(&platform, "platform", "127.0.0.1:6430", "address of the platform's object API")
	cm.AddCommand(newGroupList(&platform), newGroupSwitch(&platform), newGroupForce(&platform))
	return cm
}

// adminAddresses returns the admin addresses of the daemons in the platform's list
// that are not leaving.
func adminAddresses(cm *cobra.Command, platform string) ([]string, error) {
	list, err := store.New(platform, http.DefaultTransport).Instances(cm.Context())
	if err != nil {
		return nil, err
	}
	var out []string
	for _, ins := range list {
		if !ins.Leaving {
			out = append(out, ins.AdminAddress)
		}
	}
	if len(out) == 0 {
		return nil, errors.New("the platform's list of instances has no running daemon")
	}
	return out, nil
}

func newGroupList(platform *string) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Show each group's term, primary, positions and lag",
		Args:  cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			addresses, err := adminAddresses(cm, *platform)
			if err != nil {
				return err
			}
			groups := make(map[string]daemon.GroupStatus)
			for _, address := range addresses {
				st, err := fetchStatus(cm.Context(), address)
				if err != nil {
					continue
				}
				for _, gr := range st.Groups {
					if old, ok := groups[gr.Group]; !ok || gr.Term > old.Term {
						groups[gr.Group] = gr
					}
				}
			}
			return printGroups(cm, groups)
		},
	}
}

func printGroups(cm *cobra.Command, groups map[string]daemon.GroupStatus) error {
	out := tabwriter.NewWriter(cm.OutOrStdout(), 0, 4, 2, ' ', 0)
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		gr := groups[name]
		_, _ = fmt.Fprintf(out, "%s\t%s\tterm %d\tprimary %s\n", gr.Group, gr.State, gr.Term, gr.Primary)
		for _, mem := range gr.Members {
			role := "replica"
			if mem.Leads {
				role = "leads"
			}
			_, _ = fmt.Fprintf(out, "  %s\t%s\tterm %d\tat %d\tbehind %d\tseen %s ago\n",
				mem.Name, role, mem.Term, mem.Offset, mem.Behind, mem.SeenAge)
		}
	}
	return out.Flush()
}

func newGroupSwitch(platform *string) *cobra.Command {
	var target string
	cm := &cobra.Command{
		Use:     "switch GROUP --to MEMBER",
		Short:   "Change the primary as planned, without losing writes",
		Example: "  banyanspring group switch order-db-orders --to order-db-orders-2",
		Args:    cobra.ExactArgs(1),
		RunE: func(cm *cobra.Command, args []string) error {
			return changePrimary(cm, *platform, args[0], "handover", target)
		},
	}
	cm.Flags().StringVar(&target, "to", "", "member to promote")
	return cm
}

// acceptLoss is the sentence that an operator must type to confirm a forced change
// of primary.
const acceptLoss = "writes that only other members hold are lost"

func newGroupForce(platform *string) *cobra.Command {
	var target, accept string
	cm := &cobra.Command{
		Use:   "force GROUP --to MEMBER --accept '" + acceptLoss + "'",
		Short: "Promote a member without a majority; writes may be lost",
		Long: `Promote a member even though no majority of the group is reachable. Writes that
only other members hold are lost, including those acknowledged to callers. No
write is acknowledged before a majority has joined the new term. Repeat the
sentence after --accept to confirm.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cm *cobra.Command, args []string) error {
			if accept != acceptLoss {
				return errors.Mark(errors.Newf("not done: confirm with --accept %q", acceptLoss), errUsage)
			}
			return changePrimary(cm, *platform, args[0], "force", target)
		},
	}
	cm.Flags().StringVar(&target, "to", "", "member to promote")
	cm.Flags().StringVar(&accept, "accept", "", "the sentence that confirms the loss of writes")
	return cm
}

// changePrimary sends the action, "handover" or "force", to one daemon after the
// other until one succeeds. "force" is sent only to the first daemon.
func changePrimary(cm *cobra.Command, platform, group, action, target string) error {
	if target == "" {
		return errors.Mark(errors.New("--to MEMBER is required"), errUsage)
	}
	addresses, err := adminAddresses(cm, platform)
	if err != nil {
		return err
	}
	var lastErr error
	for _, address := range addresses {
		if lastErr = postGroupAction(cm, address, group, action, target); lastErr == nil {
			_, _ = fmt.Fprintf(cm.OutOrStdout(), "%s now leads %s\n", target, group)
			return nil
		}
		if action == "force" {
			break
		}
	}
	return lastErr
}

// postGroupAction requests a change of primary through the admin address of a
// daemon.
func postGroupAction(cm *cobra.Command, address, group, action, target string) error {
	form := url.Values{"target": {target}}
	path := "http://" + address + "/groups/" + url.PathEscape(group) + "/" + action
	rq, err := http.NewRequestWithContext(cm.Context(), http.MethodPost, path, strings.NewReader(form.Encode()))
	if err != nil {
		return err
	}
	rq.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = rs.Body.Close() }()
	raw, err := io.ReadAll(rs.Body)
	if err != nil {
		return err
	}
	if rs.StatusCode != http.StatusOK {
		return errors.Newf("not done: %s", strings.TrimSpace(string(raw)))
	}
	return nil
}
