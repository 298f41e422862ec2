package cmd

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"banyanspring/core/conf"
	"banyanspring/core/docum"
)

func newCheck() *cobra.Command {
	var settings, document string
	cm := &cobra.Command{
		Use:   "check",
		Short: "Check settings or a document without changing anything",
		Example: `  banyanspring check --settings custom/conf/app.ini
  banyanspring check --document services.json`,
		Args: cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error {
			if settings == "" && document == "" {
				return errors.Mark(errors.New("--settings or --document is required"), errUsage)
			}
			if settings != "" {
				if _, err := conf.Load(settings); err != nil {
					return err
				}
				_, _ = fmt.Fprintf(cm.OutOrStdout(), "%s: settings are valid\n", settings)
			}
			if document != "" {
				return checkDocument(cm, document)
			}
			return nil
		},
	}
	cm.Flags().StringVar(&settings, "settings", "", "INI file with settings")
	cm.Flags().StringVar(&document, "document", "", "JSON file with a configuration document")
	return cm
}

func checkDocument(cm *cobra.Command, path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	doc, err := docum.Parse(raw)
	if err != nil {
		return errors.Wrapf(err, "%s is not valid", path)
	}
	_, _ = fmt.Fprintf(cm.OutOrStdout(), "%s: document with %d services is valid\n", path, len(doc.Services))
	return nil
}
