package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"banyanspring/io/daemon"
	"banyanspring/io/store"
)

func newStatus() *cobra.Command {
	var platform, admin string
	var asJSON bool
	cm := &cobra.Command{
		Use:   "status",
		Short: "Show daemons, their document versions, and the upstreams they are home of",
		Example: `  banyanspring status
  banyanspring status --daemon 127.0.0.1:6434 --json`,
		Args: cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			addresses := []string{admin}
			if admin == "" {
				list, err := store.New(platform, http.DefaultTransport).Instances(cm.Context())
				if err != nil {
					return err
				}
				addresses = addresses[:0]
				for _, ins := range list {
					addresses = append(addresses, ins.AdminAddress)
				}
			}
			return printStatus(cm, addresses, asJSON)
		},
	}
	cm.Flags().StringVar(&platform, "platform", "127.0.0.1:6430", "address of the platform's object API")
	cm.Flags().StringVar(&admin, "daemon", "", "admin address of one daemon, instead of all in the platform's list")
	cm.Flags().BoolVar(&asJSON, "json", false, "print JSON, one daemon a line")
	return cm
}

func printStatus(cm *cobra.Command, addresses []string, asJSON bool) error {
	out := tabwriter.NewWriter(cm.OutOrStdout(), 0, 4, 2, ' ', 0)
	defer func() { _ = out.Flush() }()
	for _, address := range addresses {
		st, err := fetchStatus(cm.Context(), address)
		if err != nil {
			_, _ = fmt.Fprintf(out, "%s\tdoes not answer: %v\n", address, err)
			continue
		}
		if asJSON {
			if err := json.NewEncoder(out).Encode(st); err != nil {
				return err
			}
			continue
		}
		printDaemon(out, st)
	}
	return nil
}

func printDaemon(out *tabwriter.Writer, st daemon.Status) {
	_, _ = fmt.Fprintf(out, "%s\t%s\tdocument %d\t%d sessions\n", st.Daemon, st.State, st.DocumentVersion, st.Sessions)
	for _, ho := range st.Homes {
		role := "replica"
		if ho.Primary {
			role = "primary"
		}
		if ho.Down {
			role += ", down"
		}
		// The connections are those in use and those idle.
		_, _ = fmt.Fprintf(out, "  %s\t%s\tat %s\t%d+%d connections\t%d running, %d waiting\n",
			ho.Upstream, role, ho.Position, ho.Connections, ho.Idle, ho.Running, ho.Waiting)
	}
}
