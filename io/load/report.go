package load

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// outcomeNames label the lines of the plot, by outcome.
var outcomeNames = [5]string{"done", "not run", "unknown", "cut", "failed"}

// WriteReport writes an HTML page with plots of the run into a directory.
func WriteReport(dir string, re *Result) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	page := components.NewPage()
	page.SetPageTitle("banyanspring " + re.Scenario)
	page.AddCharts(requestsChart(re), latencyChart(re))
	if re.Baseline != nil {
		page.AddCharts(requestsChart(re.Baseline), latencyChart(re.Baseline))
	}
	path := filepath.Join(dir, fmt.Sprintf("%s-%d.html", re.Scenario, re.Seed))
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := page.Render(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func title(re *Result, what string) charts.GlobalOpts {
	return charts.WithTitleOpts(opts.Title{
		Title:    what,
		Subtitle: fmt.Sprintf("%s, policy %s, seed %d", re.Scenario, re.Policy, re.Seed),
	})
}

func requestsChart(re *Result) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(title(re, "Requests by outcome in each 100 ms"))
	var times []string
	for slot := range re.timeline.slots {
		times = append(times, fmt.Sprintf("%.1f s", float64(slot)*slotLength.Seconds()))
	}
	line.SetXAxis(times)
	for told, name := range outcomeNames {
		var points []opts.LineData
		for _, slot := range re.timeline.slots {
			points = append(points, opts.LineData{Value: slot[told]})
		}
		line.AddSeries(name, points)
	}
	return line
}

func latencyChart(re *Result) *charts.Bar {
	bar := charts.NewBar()
	bar.SetGlobalOptions(title(re, "Latency by caller and phase, in ms"))
	var names []string
	var p50, p99 []opts.BarData
	for _, ca := range re.Callers {
		names = append(names, fmt.Sprintf("%s/%d", ca.Caller, ca.Phase))
		p50 = append(p50, opts.BarData{Value: ca.P50Millis})
		p99 = append(p99, opts.BarData{Value: ca.P99Millis})
	}
	bar.SetXAxis(names)
	bar.AddSeries("p50", p50)
	bar.AddSeries("p99", p99)
	return bar
}
