package load

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"

	"github.com/wcharczuk/go-chart/v2"
)

// outcomeNames holds the labels of the plot, indexed by outcome.
var outcomeNames = [5]string{"done", "not run", "unknown", "cut", "failed"}

// page is the HTML report. It embeds the plots, so that it loads without a network.
var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>banyanspring {{(index . 0).Scenario}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}</style>
</head><body>
{{range .}}<h1>{{.Scenario}}, policy {{.Policy}}, seed {{.Seed}}</h1>
<p>{{.Requests}} requests in {{printf "%.1f" .Seconds}} s; reads served by replicas {{printf "%.3f" .ReplicaReadShare}};
failover gap {{printf "%.0f" .FailoverGapMillis}} ms; guarantee violations {{.Violations}}{{range .Faults}}; fault {{.}}{{end}}</p>
<h2>Requests by outcome in each 100 ms</h2>{{.RequestsPlot}}
<h2>p99 by caller and phase, in ms</h2>{{.LatencyPlot}}
<table><tr><th>caller</th><th>phase</th><th>requests</th><th>p50 ms</th><th>p99 ms</th><th>refused</th></tr>
{{range .Callers}}<tr><td>{{.Caller}}</td><td>{{.Phase}}</td><td>{{.Requests}}</td><td>{{.P50Millis}}</td><td>{{.P99Millis}}</td><td>{{.Refused}}</td></tr>
{{end}}</table>{{end}}</body></html>
`))

// section is the part of a report about one run.
type section struct {
	*Result
	RequestsPlot, LatencyPlot template.HTML
}

// WriteReport writes an HTML page with plots of the run, and of its baseline if
// it has one, into a directory, which it creates if needed.
func WriteReport(dir string, re *Result) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	var sections []section
	for _, one := range []*Result{re, re.Baseline} {
		if one == nil {
			continue
		}
		sec, err := newSection(one)
		if err != nil {
			return err
		}
		sections = append(sections, sec)
	}
	var out bytes.Buffer
	if err := page.Execute(&out, sections); err != nil {
		return err
	}
	path := filepath.Join(dir, fmt.Sprintf("%s-%d.html", re.Scenario, re.Seed))
	return os.WriteFile(path, out.Bytes(), 0o600)
}

func newSection(re *Result) (section, error) {
	requests, err := requestsPlot(re)
	if err != nil {
		return section{}, err
	}
	latency, err := latencyPlot(re)
	return section{Result: re, RequestsPlot: requests, LatencyPlot: latency}, err
}

func requestsPlot(re *Result) (template.HTML, error) {
	var series []chart.Series
	for oc, name := range outcomeNames {
		line := chart.ContinuousSeries{Name: name}
		for slot, counts := range re.timeline.slots {
			line.XValues = append(line.XValues, float64(slot)*slotLength.Seconds())
			line.YValues = append(line.YValues, float64(counts[oc]))
		}
		series = append(series, line)
	}
	plot := chart.Chart{Height: 320, XAxis: chart.XAxis{Name: "seconds"}, Series: series}
	plot.Elements = []chart.Renderable{chart.LegendThin(&plot)}
	return render(plot.Render)
}

func latencyPlot(re *Result) (template.HTML, error) {
	plot := chart.BarChart{Height: 320, BarWidth: 60, YAxis: chart.YAxis{Range: &chart.ContinuousRange{}}}
	for _, ca := range re.Callers {
		label := fmt.Sprintf("%s/%d", ca.Caller, ca.Phase)
		plot.Bars = append(plot.Bars, chart.Value{Label: label, Value: ca.P99Millis})
		plot.YAxis.Range.SetMax(max(plot.YAxis.Range.GetMax(), ca.P99Millis))
	}
	return render(plot.Render)
}

// render draws a plot as SVG.
func render(draw func(chart.RendererProvider, io.Writer) error) (template.HTML, error) {
	var out bytes.Buffer
	if err := draw(chart.SVG, &out); err != nil {
		return "", err
	}
	return template.HTML(out.String()), nil //nolint:gosec // rendered above from numbers and names of the fleet
}
