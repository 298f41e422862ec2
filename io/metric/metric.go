// Package metric holds the daemon's metrics: tally scopes that are exposed to
// Prometheus over HTTP.
package metric

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// Metrics is the root of a daemon's metrics. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter promreporter.Reporter

	mu       sync.Mutex
	requests map[requestKey]*Request
}

type requestKey struct{ service, caller, class string }

// Request holds the metrics of the requests of one service, caller and class.
type Request struct {
	// Latency is a histogram from the request's arrival to its last answer.
	Latency tally.Histogram
	// Replica counts requests that a replica served.
	Replica tally.Counter
	// Primary counts requests that the primary served.
	Primary tally.Counter
	// Refused counts requests that were not run.
	Refused tally.Counter
	// Unknown counts requests whose outcome is unknown.
	Unknown tally.Counter
	// Retried counts the retries of requests.
	Retried tally.Counter
}

const reportInterval = time.Second

// New returns an empty set of metrics. It must be closed.
func New() *Metrics {
	rep := promreporter.NewReporter(promreporter.Options{
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "banyanspring",
		CachedReporter: rep,
		Separator:      promreporter.DefaultSeparator,
	}, reportInterval)
	return &Metrics{
		scope:    scope,
		closer:   closer,
		reporter: rep,
		requests: make(map[requestKey]*Request),
	}
}

// Handler returns an HTTP handler that serves the metrics to Prometheus.
func (me *Metrics) Handler() http.Handler { return me.reporter.HTTPHandler() }

// Close stops the periodic report of the metrics.
func (me *Metrics) Close() { _ = me.closer.Close() }

// Gauge returns a gauge by name.
func (me *Metrics) Gauge(name string) tally.Gauge { return me.scope.Gauge(name) }

// Counter returns a counter by name.
func (me *Metrics) Counter(name string) tally.Counter { return me.scope.Counter(name) }

// latencyBuckets are exponential, from 100 us to 13 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)

// GetRequest returns the metrics of a service, caller and class, which are
// created on first use.
func (me *Metrics) GetRequest(service, caller, class string) *Request {
	ke := requestKey{service: service, caller: caller, class: class}
	me.mu.Lock()
	defer me.mu.Unlock()
	if rq := me.requests[ke]; rq != nil {
		return rq
	}
	sc := me.scope.Tagged(map[string]string{"service": service, "caller": caller, "class": class})
	rq := &Request{
		Latency: sc.Histogram("request_latency", latencyBuckets),
		Replica: sc.Counter("requests_replica"),
		Primary: sc.Counter("requests_primary"),
		Refused: sc.Counter("requests_refused"),
		Unknown: sc.Counter("requests_unknown"),
		Retried: sc.Counter("requests_retried"),
	}
	me.requests[ke] = rq
	return rq
}
