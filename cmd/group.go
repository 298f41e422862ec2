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

// admins returns the admin addresses of the daemons in the platform's list.
func admins(cm *cobra.Command, platform string) ([]string, error) {
	list, err := store.New(platform, http.DefaultTransport).Instances(cm.Context())
	if err != nil {
		return nil, err
	}
	var out []string
	for _, ins := range list {
		if !ins.Leaving {
			out = append(out, ins.Admin)
		}
	}
	if len(out) == 0 {
		return nil, errors.New("the platform lists no daemon")
	}
	return out, nil
}

func newGroupList(platform *string) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Show each group's term, primary, positions and lag",
		Args:  cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			addresses, err := admins(cm, *platform)
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
		Short:   "Change the primary as planned; nothing is lost",
		Example: "  banyanspring group switch order-db-orders --to order-db-orders-2",
		Args:    cobra.ExactArgs(1),
		RunE: func(cm *cobra.Command, args []string) error {
			return orderGroup(cm, *platform, args[0], "handover", target)
		},
	}
	cm.Flags().StringVar(&target, "to", "", "member that is to lead")
	return cm
}

// acceptLoss is what an operator must type to force a change.
const acceptLoss = "writes that only other members hold are lost"

func newGroupForce(platform *string) *cobra.Command {
	var target, accept string
	cm := &cobra.Command{
		Use:   "force GROUP --to MEMBER --accept '" + acceptLoss + "'",
		Short: "Promote a member whatever the others say; writes may be lost",
		Long: `Promote a member although no majority is in reach to choose from. Writes that
only other members hold are lost, also those that callers were told are done.
Nothing is acknowledged before a majority has joined the new term. Type the
sentence after --accept to show that you know.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cm *cobra.Command, args []string) error {
			if accept != acceptLoss {
				return errors.Mark(errors.Newf("not done: say --accept %q", acceptLoss), errUsage)
			}
			return orderGroup(cm, *platform, args[0], "force", target)
		},
	}
	cm.Flags().StringVar(&target, "to", "", "member that is to lead")
	cm.Flags().StringVar(&accept, "accept", "", "the loss that is accepted, in words")
	return cm
}

// orderGroup sends an order to the daemons in turn until one takes it.
func orderGroup(cm *cobra.Command, platform, group, order, target string) error {
	if target == "" {
		return errors.Mark(errors.New("want --to MEMBER"), errUsage)
	}
	addresses, err := admins(cm, platform)
	if err != nil {
		return err
	}
	var last error
	for _, address := range addresses {
		if last = postOrder(cm, address, group, order, target); last == nil {
			_, _ = fmt.Fprintf(cm.OutOrStdout(), "%s now leads %s\n", target, group)
			return nil
		}
		if order == "force" {
			break
		}
	}
	return last
}

func postOrder(cm *cobra.Command, address, group, order, target string) error {
	form := url.Values{"target": {target}}
	path := "http://" + address + "/groups/" + url.PathEscape(group) + "/" + order
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
