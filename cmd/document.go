package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"banyanspring/core/docum"
	"banyanspring/io/daemon"
	"banyanspring/io/front"
	"banyanspring/io/store"
)

func newDocument() *cobra.Command {
	var platform string
	cm := &cobra.Command{
		Use:   "document",
		Short: "Show, apply and list configuration documents",
		Long: `Configuration changes only through the document. "apply" replaces it, provided
that it is still at the version that you read.`,
	}
	cm.PersistentFlags().StringVar(&platform, "platform", "127.0.0.1:6430", "address of the platform's object API")
	client := func() *store.Client { return store.New(platform, http.DefaultTransport) }
	cm.AddCommand(newDocumentShow(client), newDocumentApply(client), newDocumentHistory(client), newDocumentVerifier())
	return cm
}

func newDocumentShow(client func() *store.Client) *cobra.Command {
	var version uint64
	cm := &cobra.Command{
		Use:   "show",
		Short: "Print the current document or an earlier version",
		Args:  cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			kind, name := store.KindDocument, store.CurrentDocument
			if version != 0 {
				kind, name = store.KindDocumentHistory, strconv.FormatUint(version, 10)
			}
			obj, err := client().Get(cm.Context(), kind, name)
			if err != nil {
				return err
			}
			if version == 0 {
				_, _ = fmt.Fprintf(cm.ErrOrStderr(), "version %d\n", obj.Version)
			}
			var out bytes.Buffer
			if err := json.Indent(&out, obj.Value, "", "  "); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(cm.OutOrStdout(), out.String())
			return nil
		},
	}
	cm.Flags().Uint64Var(&version, "version", 0, "version to print; 0 prints the current one")
	return cm
}

func newDocumentApply(client func() *store.Client) *cobra.Command {
	var expected uint64
	var wait time.Duration
	cm := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Replace the document if it is still at the version that you read",
		Example: "  banyanspring document apply --expect 41 --wait 19s services.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cm *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if _, err := docum.Parse(raw); err != nil {
				return errors.Wrapf(err, "%s is not valid", args[0])
			}
			version, err := applyDocument(cm.Context(), client(), expected, raw)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cm.OutOrStdout(), "version %d is accepted\n", version)
			if wait > 0 {
				return awaitVersion(cm, client(), version, wait)
			}
			return nil
		},
	}
	cm.Flags().Uint64Var(&expected, "expect", 0, "version that the change is based on; 0 for the first document")
	cm.Flags().DurationVar(&wait, "wait", 0, "wait this long for all daemons to run the version, then list those that do not")
	return cm
}

// applyDocument updates the document and adds it to the history. If the response
// to the update is lost, it reads the document to find out whether the update was
// applied.
func applyDocument(ctx context.Context, cl *store.Client, expected uint64, raw []byte) (uint64, error) {
	version, err := cl.Put(ctx, store.KindDocument, store.CurrentDocument, expected, json.RawMessage(raw))
	switch {
	case store.IsErrVersionConflict(err):
		return 0, conflictError(ctx, cl, expected)
	case err != nil:
		if version, err = verifyApplied(ctx, cl, expected, raw, err); err != nil {
			return 0, err
		}
	}
	name := strconv.FormatUint(version, 10)
	_, err = cl.PutAlways(ctx, store.KindDocumentHistory, name, json.RawMessage(raw))
	return version, errors.Wrapf(err, "version %d is accepted, but could not be added to the history", version)
}

// conflictError returns the error for an update that expected another version.
func conflictError(ctx context.Context, cl *store.Client, expected uint64) error {
	obj, err := cl.Get(ctx, store.KindDocument, store.CurrentDocument)
	if err != nil {
		return errors.Newf("not applied: the document is no longer at version %d", expected)
	}
	return errors.Newf("not applied: the document is at version %d, not %d; read it with \"document show\" and base the change on that version", obj.Version, expected)
}

// verifyApplied returns the version of the document if it has the content that an
// update with an unknown outcome has sent; cause is the error of that update.
func verifyApplied(ctx context.Context, cl *store.Client, expected uint64, raw []byte, cause error) (uint64, error) {
	obj, err := cl.Get(ctx, store.KindDocument, store.CurrentDocument)
	if err != nil {
		return 0, errors.Newf("outcome unknown: %v; check with \"document show\" before you retry", cause)
	}
	var have, want bytes.Buffer
	if json.Compact(&have, obj.Value) == nil && json.Compact(&want, raw) == nil && obj.Version > expected && bytes.Equal(have.Bytes(), want.Bytes()) {
		return obj.Version, nil
	}
	return 0, errors.Newf("not applied: %v", cause)
}

// awaitVersion polls the daemons until all run the version. After the wait time it
// returns an error that lists those that do not.
func awaitVersion(cm *cobra.Command, cl *store.Client, version uint64, wait time.Duration) error {
	const pollInterval = 200 * time.Millisecond
	deadline := time.Now().Add(wait)
	for {
		list, err := cl.Instances(cm.Context())
		if err != nil {
			return err
		}
		behind := daemonsBehind(cm.Context(), list, version)
		if len(behind) == 0 {
			_, _ = fmt.Fprintf(cm.OutOrStdout(), "version %d is in force on %d daemons\n", version, len(list))
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Newf("version %d is not in force on: %v", version, behind)
		}
		time.Sleep(pollInterval)
	}
}

// daemonsBehind lists the daemons that run an older version or do not respond.
func daemonsBehind(ctx context.Context, list []store.Instance, version uint64) []string {
	var behind []string
	for _, ins := range list {
		st, err := fetchStatus(ctx, ins.AdminAddress)
		switch {
		case err != nil:
			behind = append(behind, ins.ID+" (does not answer)")
		case st.DocumentVersion < version:
			behind = append(behind, fmt.Sprintf("%s (runs %d)", ins.ID, st.DocumentVersion))
		}
	}
	sort.Strings(behind)
	return behind
}

// fetchStatus reads a daemon's status over HTTP.
func fetchStatus(ctx context.Context, admin string) (daemon.Status, error) {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var st daemon.Status
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/status", nil)
	if err != nil {
		return st, err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return st, err
	}
	defer func() { _ = rs.Body.Close() }()
	return st, json.NewDecoder(rs.Body).Decode(&st)
}

func newDocumentHistory(client func() *store.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the applied versions",
		Args:  cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			objs, err := client().List(cm.Context(), store.KindDocumentHistory)
			if err != nil {
				return err
			}
			for _, obj := range objs {
				_, _ = fmt.Fprintf(cm.OutOrStdout(), "%s\t%d bytes\n", obj.Name, len(obj.Value))
			}
			return nil
		},
	}
}

func newDocumentVerifier() *cobra.Command {
	const iterations = 4096
	return &cobra.Command{
		Use:   "verifier SALT",
		Short: "Read a password from standard input and print its verifier",
		Long:  "Read a password from standard input and print its SCRAM-SHA-256 verifier for the document. SALT is at least 16 random characters.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cm *cobra.Command, args []string) error {
			var password string
			if _, err := fmt.Fscanln(cm.InOrStdin(), &password); err != nil {
				return errors.Wrap(err, "read password")
			}
			verifier, err := front.MakeVerifier(password, args[0], iterations)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintln(cm.OutOrStdout(), verifier)
			return nil
		},
	}
}
