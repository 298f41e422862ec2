package cmd

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"banyanspring/io/fleet"
	"banyanspring/io/load"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	scenario, policy, baseline, users string
	seed                              uint64
	length                            time.Duration
	workers, daemons                  int
	jsonFile, reportDir               string
	fleetDaemons, databases, domains  int
}

func newLoad() *cobra.Command {
	var fl loadFlags
	cm := &cobra.Command{
		Use:   "load",
		Short: "Measure a fleet under a seeded workload and faults",
		Long:  loadHelp(),
		Example: `  banyanspring load --scenario steady --for 10s --baseline primary_only
  banyanspring load --scenario drain --seed 7 --json out/drain.json --report out`,
		Args: cobra.NoArgs,
		RunE: func(cm *cobra.Command, _ []string) error { return runLoad(cm, fl) },
	}
	fs := cm.Flags()
	fs.StringVar(&fl.scenario, "scenario", "steady", "workload and faults to run; see the list above")
	fs.StringVar(&fl.policy, "policy", "default", "configuration of the fleet; see the list above")
	fs.StringVar(&fl.baseline, "baseline", "", "policy of a second run of the same scenario, for comparison")
	fs.StringVar(&fl.users, "users", "qalam", "topology and sizes of the fleet: qalam or fjordkjemi")
	fs.Uint64Var(&fl.seed, "seed", 1, "seed of the workload")
	fs.DurationVar(&fl.length, "for", 10*time.Second, "how long callers send requests")
	fs.IntVar(&fl.workers, "workers", 4, "sessions of each caller")
	fs.IntVar(&fl.daemons, "daemons-per-domain", 2, "daemons in each failure domain")
	fs.IntVar(&fl.fleetDaemons, "daemons", 14, "daemons of the scenario fleet")
	fs.IntVar(&fl.databases, "databases", 14, "databases of the scenario fleet")
	fs.IntVar(&fl.domains, "domains", 7, "failure domains of the scenario fleet")
	fs.StringVar(&fl.jsonFile, "json", "", "file for the result; standard output if empty")
	fs.StringVar(&fl.reportDir, "report", "", "directory for an HTML page with plots")
	return cm
}

func loadHelp() string {
	var text strings.Builder
	text.WriteString("Run an embedded fleet under load from Postgres clients, check its consistency\nguarantees, and print one JSON object.\n\nScenarios:\n")
	for _, sc := range load.Scenarios() {
		fmt.Fprintf(&text, "  %-14s %s\n", sc.Name, sc.Description)
	}
	fmt.Fprintf(&text, "  %-14s %s\n", "fleet", "many daemons without callers, to measure the control overhead")
	text.WriteString("\nPolicies:\n")
	for _, po := range load.Policies() {
		fmt.Fprintf(&text, "  %-14s %s\n", po.Name, po.Description)
	}
	return text.String()
}

// errViolation is returned if the run violated a consistency guarantee.
var errViolation = errors.New("a consistency guarantee was violated; see the counters in the result")

func runLoad(cm *cobra.Command, fl loadFlags) error {
	if fl.scenario == "fleet" {
		return runFleet(cm, fl)
	}
	re, err := load.Execute(cm.Context(), fl.options(fl.policy))
	if err != nil {
		return err
	}
	if fl.baseline != "" {
		if re.Baseline, err = load.Execute(cm.Context(), fl.options(fl.baseline)); err != nil {
			return err
		}
	}
	if fl.reportDir != "" {
		if err := load.WriteReport(fl.reportDir, re); err != nil {
			return err
		}
	}
	if err := writeResult(cm, fl.jsonFile, re); err != nil {
		return err
	}
	if re.Violations() > 0 {
		return errViolation
	}
	return nil
}

// options returns the options of a run with the policy.
func (fl loadFlags) options(policy string) load.Options {
	opts := fleet.QalamBirligi()
	if fl.users == "fjordkjemi" {
		opts = fleet.Fjordkjemi()
	}
	opts.DaemonsPerPlace = fl.daemons
	return load.Options{
		Scenario: fl.scenario,
		Policy:   policy,
		Seed:     fl.seed,
		Length:   fl.length,
		Workers:  fl.workers,
		Fleet:    opts,
	}
}

// runFleet measures the control overhead of a fleet without callers.
func runFleet(cm *cobra.Command, fl loadFlags) error {
	re, err := load.ExecuteControl(cm.Context(), load.ControlOptions{
		Daemons:   fl.fleetDaemons,
		Databases: fl.databases,
		Domains:   fl.domains,
		Length:    fl.length,
	})
	if err != nil {
		return err
	}
	return writeResult(cm, fl.jsonFile, re)
}

// writeResult writes a result as JSON to the file, or to standard output if path
// is empty.
func writeResult(cm *cobra.Command, path string, re any) error {
	raw, err := json.MarshalIndent(re, "", "  ")
	if err != nil {
		return err
	}
	raw = append(raw, '\n')
	if path == "" {
		_, err = cm.OutOrStdout().Write(raw)
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}
