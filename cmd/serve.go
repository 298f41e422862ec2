package cmd

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"banyanspring/core/conf"
	"banyanspring/io/daemon"
)

func newServe() *cobra.Command {
	var path string
	cm := &cobra.Command{
		Use:   "serve",
		Short: "Run a daemon until SIGTERM or SIGINT",
		Long: `Run a daemon with the settings of an INI file. On SIGTERM or SIGINT it
announces that it is leaving, accepts no new sessions, and lets running requests
and transactions finish until the deadline in [shutdown].`,
		Example: "  banyanspring serve --settings custom/conf/app.ini",
		Args:    cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			settings, err := conf.Load(path)
			if err != nil {
				return err
			}
			ho := daemon.New(settings, newLogger(os.Stderr, settings.Log), daemon.ProductionDependencies())
			if err := ho.Start(cm.Context()); err != nil {
				return err
			}
			<-cm.Context().Done()
			return ho.Shutdown(context.WithoutCancel(cm.Context()))
		},
	}
	cm.Flags().StringVar(&path, "settings", "custom/conf/app.ini", "INI file with the settings")
	return cm
}
