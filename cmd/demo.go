package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"banyanspring/core/conf"
	"banyanspring/io/daemon"
	"banyanspring/io/fleet"
)

func newDemo() *cobra.Command {
	var length time.Duration
	var verbose bool
	cm := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole fleet in this process",
		Long: `Run the platform stand-in, a group of a primary and two replicas in three
failure domains and two regions, and three daemons, with the latencies of a real
fleet, all in this process. Ctrl-C drains it.`,
		Args: cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			ctx := cm.Context()
			if length > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, length)
				defer cancel()
			}
			opts := fleet.QalamBirligi()
			if verbose {
				opts.Log = newLogger(os.Stderr, conf.Log{Format: "text"})
			}
			return runDemo(ctx, cm.OutOrStdout(), opts)
		},
	}
	cm.Flags().DurationVar(&length, "for", 0, "stop after this time; 0 runs until Ctrl-C")
	cm.Flags().BoolVar(&verbose, "verbose", false, "log the daemons' events")
	return cm
}

// runDemo runs a fleet until ctx is done, and then drains it.
func runDemo(ctx context.Context, out io.Writer, opts fleet.Options) error {
	fl, err := fleet.Start(context.WithoutCancel(ctx), opts)
	if err != nil {
		return err
	}
	defer fl.Close()
	daemons := fl.Daemons()
	for _, da := range daemons {
		_, _ = fmt.Fprintf(out, "caller %s\n", fl.URL(da, opts.Callers[0], 0, 0))
	}
	printHints(out, fl, daemons, opts)
	<-ctx.Done()
	_, _ = fmt.Fprintln(out, "draining")
	drainAll(context.WithoutCancel(ctx), daemons)
	_, _ = fmt.Fprintln(out, "stopped")
	return nil
}

func printHints(out io.Writer, fl *fleet.Fleet, daemons []*daemon.Daemon, opts fleet.Options) {
	_, _ = fmt.Fprintf(out, `
Try this in another terminal:
  psql '%s' -c 'CREATE TABLE orders (id BIGINT PRIMARY KEY, item TEXT)'
  psql '%s' -c "INSERT INTO orders VALUES (1, 'paper')"
  psql '%s' -c 'SELECT * FROM orders'
The last command connects to another daemon and still reads the write.
  banyanspring status --platform %s
  banyanspring document show --platform %s
Metrics of the first daemon: http://%s/metrics
Ctrl-C drains the fleet.
`, fl.URL(daemons[0], opts.Callers[0], 0, 0), fl.URL(daemons[0], opts.Callers[0], 0, 0),
		fl.URL(daemons[len(daemons)-1], opts.Callers[0], 0, 0),
		fl.Platform.Address(), fl.Platform.Address(), daemons[0].AdminAddress())
}

func drainAll(ctx context.Context, daemons []*daemon.Daemon) {
	var wg sync.WaitGroup
	for _, da := range daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = da.Shutdown(ctx)
		}()
	}
	wg.Wait()
}
