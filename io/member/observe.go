package member

import (
	"net/http"

	"banyanspring/core/codes"
	"banyanspring/io/engine"
)

// observe counts a statement by its group and its target's consistency. Callers and
// databases are not used as labels, since a configuration may name thousands.
func (me *Member) observe(ob engine.Observation) {
	rq := me.metrics.GetRequest(ob.Group, "", ob.Consistency.String())
	rq.Latency.RecordDuration(ob.Took)
	switch {
	case ob.Code == codes.OK:
	case ob.Code.Info().NotRun:
		rq.Refused.Inc(1)
	default:
		rq.Unknown.Inc(1)
	}
}

// updateGauges publishes the state that has no counter.
func (me *Member) updateGauges() {
	counts := &me.engine.Counts
	me.metrics.Gauge("sessions").Update(float64(counts.Sessions.Load()))
	me.metrics.Gauge("served_by_replica").Update(float64(counts.Replica.Load()))
	me.metrics.Gauge("served_by_leader").Update(float64(counts.Leader.Load()))
	me.metrics.Gauge("retried").Update(float64(counts.Retried.Load()))
	me.metrics.Gauge("store_calls").Update(float64(me.deps.Store.Calls()))
	me.metrics.Gauge("catalog_version").Update(float64(me.catalog.Current().Version))
	me.metrics.Gauge("outliers").Update(float64(counts.Outliers.Load()))
	me.metrics.Gauge("reads_left_out").Update(float64(counts.LeftOut.Load()))
	conns := &me.connCounts
	me.metrics.Gauge("connections_opened").Update(float64(conns.Opened.Load()))
	me.metrics.Gauge("connections_replaced").Update(float64(conns.Replaced.Load()))
	me.metrics.Gauge("connections_reused").Update(float64(conns.Reused.Load()))
	me.metrics.Gauge("connections_refused_full").Update(float64(conns.Full.Load()))
	me.metrics.Gauge("transactions_ended_for_others").Update(float64(conns.Rested.Load()))
	used, largest := me.guard.Usage()
	me.metrics.Gauge("budget_bytes").Update(float64(used))
	me.metrics.Gauge("budget_bytes_largest_holder").Update(float64(largest))
	me.metrics.Gauge("budget_refused").Update(float64(me.guard.Refused.Load()))
	me.metrics.Gauge("budget_evicted").Update(float64(me.guard.Evicted.Load()))
	me.metrics.Gauge("sockets_callers").Update(float64(me.callerSockets.Open()))
	me.metrics.Gauge("sockets_peers").Update(float64(me.relaySockets.Open()))
	if at := me.catalogAt.load(); !at.IsZero() {
		me.metrics.Gauge("catalog_age_seconds").Update(me.deps.Now().Sub(at).Seconds())
	}
}

// serveMetrics serves the metrics on the peers' address.
func (me *Member) serveMetrics(mux *http.ServeMux) {
	mux.Handle("GET /metrics", me.metrics.Handler())
}
