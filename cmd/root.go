// Package cmd implements the command line, one file per subcommand.
package cmd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"banyanspring/core/conf"
)

// Exit codes of the program.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// errUsage marks errors in how the command was invoked.
var errUsage = errors.New("usage")

// Main runs the program with the arguments and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "banyanspring:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "banyanspring",
		Short: "A database proxy with session consistency",
		Long: `banyanspring is a proxy between callers and groups of replicated databases.
Callers read their own writes on any daemon, reads go to replicas whenever that
is safe, and by default a write is acknowledged once a majority of its group has
it.

Start with "banyanspring demo": it runs a whole fleet in one process and prints
connection strings that any Postgres client can use.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	root.AddCommand(
		newServe(),
		newCheck(),
		newDocument(),
		newStatus(),
		newGroup(),
		newDemo(),
		newLoad(),
		newStandin(),
	)
	return root
}

// newLogger returns a logger with the configured level and format.
func newLogger(out io.Writer, lo conf.Log) *slog.Logger {
	opts := &slog.HandlerOptions{Level: lo.Level}
	if lo.Format == "text" {
		return slog.New(slog.NewTextHandler(out, opts))
	}
	return slog.New(slog.NewJSONHandler(out, opts))
}
