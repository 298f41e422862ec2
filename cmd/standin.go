package cmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"banyanspring/io/standin/platf"
	"banyanspring/io/standin/upstr"
)

func newStandin() *cobra.Command {
	cm := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for the platform or an upstream, for testing",
	}
	cm.AddCommand(newStandinPlatform(), newStandinUpstream())
	return cm
}

func newStandinPlatform() *cobra.Command {
	var listen string
	var listLag time.Duration
	cm := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's object API",
		Args:  cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			se, err := platf.Start(listen, listLag)
			if err != nil {
				return err
			}
			defer se.Close()
			_, _ = fmt.Fprintf(cm.OutOrStdout(), "platform %s\n", se.Address())
			<-cm.Context().Done()
			return nil
		},
	}
	cm.Flags().StringVar(&listen, "listen", "127.0.0.1:6430", "address of the API")
	cm.Flags().DurationVar(&listLag, "list-lag", time.Second, "delay with which the list of instances shows changes")
	return cm
}

func newStandinUpstream() *cobra.Command {
	var opts upstr.Options
	cm := &cobra.Command{
		Use:   "upstream",
		Short: "Run a stand-in for a database that speaks the Postgres protocol",
		Long: `Run an in-memory database that speaks the Postgres protocol. Without --follow it
is the primary; --follow ADDRESS makes it a replica of the primary whose control
address is ADDRESS.`,
		Args: cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			se, err := upstr.Start(opts)
			if err != nil {
				return err
			}
			defer se.Close()
			_, _ = fmt.Fprintf(cm.OutOrStdout(), "upstream %s control %s\n", se.Address(), se.ControlAddress())
			<-cm.Context().Done()
			return nil
		},
	}
	fs := cm.Flags()
	fs.StringVar(&opts.Name, "name", "db-1", "name, unique in the group")
	fs.StringVar(&opts.Listen, "listen", "127.0.0.1:6440", "address for the Postgres protocol")
	fs.StringVar(&opts.Control, "control", "127.0.0.1:6441", "HTTP address for log shipping and fault injection")
	fs.StringVar(&opts.Follow, "follow", "", "control address of the primary; empty on the primary")
	fs.StringVar(&opts.Primary, "primary", "db-1", "name of the group's primary in term 1")
	fs.IntVar(&opts.Slots, "slots", 2, "statements that may run concurrently")
	fs.IntVar(&opts.Connections, "connections", 16, "limit of open connections")
	fs.DurationVar(&opts.ConnectCost, "connect-cost", 12*time.Millisecond, "time that a new connection takes")
	fs.DurationVar(&opts.StatementCost, "statement-cost", 0, "minimum time that a statement takes")
	fs.DurationVar(&opts.Lag, "lag", 5*time.Millisecond, "delay of replay on a replica")
	return cm
}
