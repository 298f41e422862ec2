package load

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
)

// Result holds the measurements of one run. Latencies are in milliseconds.
type Result struct {
	Scenario string  `json:"scenario"`
	Policy   string  `json:"policy"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Requests int64   `json:"requests"`
	// ReplicaReadShare is the fraction of reads that replicas served.
	ReplicaReadShare float64 `json:"replica_read_share"`
	// FailoverGapMillis is the longest time without an acknowledged write after
	// the fault; zero without a fault.
	FailoverGapMillis float64 `json:"failover_gap_ms"`
	// ReadYourWrites counts reads that missed the session's acknowledged writes
	// or returned a value that it never wrote.
	ReadYourWrites int64 `json:"read_your_writes_violations"`
	// LostWrites counts acknowledged bookings that are not stored.
	LostWrites int64 `json:"lost_writes"`
	// DuplicateWrites counts bookings that are stored more than once.
	DuplicateWrites int64 `json:"duplicate_writes"`
	// FalseNotRun counts bookings without a request key that were refused as not
	// run and are stored.
	FalseNotRun int64 `json:"false_not_run"`
	// AckedByOldPrimary counts the LostWrites of a run with a recorded fault, which
	// a deposed primary may have acknowledged. They count in Violations twice.
	AckedByOldPrimary int64 `json:"acked_by_old_primary"`
	// MixedAnswers counts replies that belong to another request.
	MixedAnswers      int64   `json:"mixed_answers"`
	CutRequests       int64   `json:"cut_requests"`
	Refused           int64   `json:"refused"`
	Unknown           int64   `json:"unknown"`
	Failed            int64   `json:"failed"`
	P50Millis         float64 `json:"p50_ms"`
	P99Millis         float64 `json:"p99_ms"`
	ReadP50Millis     float64 `json:"read_p50_ms"`
	ReadP99Millis     float64 `json:"read_p99_ms"`
	WriteP50Millis    float64 `json:"write_p50_ms"`
	WriteP99Millis    float64 `json:"write_p99_ms"`
	MaxWriteGapMillis float64 `json:"max_write_gap_ms"`
	PeakConnections   int64   `json:"peak_connections"`
	// WorstAnswerMillis is the longest time until a request succeeded or failed.
	WorstAnswerMillis float64 `json:"worst_answer_ms"`
	// Promotions counts the terms of the first group after its initial one.
	Promotions   uint64         `json:"promotions"`
	Faults       []string       `json:"faults,omitempty"`
	Callers      []CallerResult `json:"callers"`
	ErrorSamples []string       `json:"error_samples,omitempty"`
	Baseline     *Result        `json:"baseline,omitempty"`
	timeline     *timeline
}

// CallerResult holds one caller's measurements in one phase of the run.
type CallerResult struct {
	Caller    string  `json:"caller"`
	Phase     int     `json:"phase"`
	Requests  int64   `json:"requests"`
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	Refused   int64   `json:"refused"`
}

// Violations returns the sum of the counters that must be zero.
func (re *Result) Violations() int64 {
	return re.ReadYourWrites + re.LostWrites + re.DuplicateWrites + re.FalseNotRun + re.AckedByOldPrimary + re.MixedAnswers
}

// quantileMillis returns a quantile, from 0 to 100, of a histogram of microseconds.
func quantileMillis(hist *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(hist.ValueAtQuantile(quantile)) / 1000
}

func (ru *Run) createTables(ctx context.Context) error {
	for service := range ru.Options.Fleet.Services {
		first := ru.Fleet.Daemons()[0]
		pc, err := pgx.Connect(ctx, ru.Fleet.URL(first, ru.Options.Fleet.Callers[0], service, 0))
		if err != nil {
			return err
		}
		defer func() { _ = pc.Close(context.WithoutCancel(ctx)) }()
		for _, query := range []string{
			"CREATE TABLE registers (id BIGINT PRIMARY KEY, value BIGINT)",
			"CREATE TABLE bookings (request TEXT, worker BIGINT)",
		} {
			if _, err := pc.Exec(ctx, query); err != nil {
				return errors.Wrap(err, "create tables")
			}
		}
	}
	return nil
}

func (ru *Run) collectResult(ctx context.Context) (*Result, error) {
	re := &Result{
		Scenario: ru.Options.Scenario,
		Policy:   ru.Options.Policy,
		Seed:     ru.Options.Seed,
		Seconds:  time.Since(ru.began).Seconds(),
		timeline: ru.timeline,
		Faults:   ru.FaultNames,
	}
	if up := ru.Fleet.Primary(0, 0); up != nil {
		re.Promotions = up.Position().Term.Number - 1
	}
	ru.addWorkerStats(re)
	ru.addFleetCounters(re)
	if fault := ru.faultTime(); !fault.IsZero() {
		re.FailoverGapMillis = ru.timeline.gapAfter(fault, ru.deadline)
	}
	re.MaxWriteGapMillis = ru.timeline.maxGap()
	return re, ru.verify(ctx, re)
}

func (ru *Run) addWorkerStats(re *Result) {
	all := hdrhistogram.New(1, 60_000_000, 3)
	reads := hdrhistogram.New(1, 60_000_000, 3)
	writes := hdrhistogram.New(1, 60_000_000, 3)
	type phaseKey struct {
		caller string
		phase  int
	}
	hists := make(map[phaseKey]*hdrhistogram.Histogram)
	order := []phaseKey{}
	refused := make(map[phaseKey]int64)
	for _, wo := range withFirstPhase(ru.workers) {
		ke := phaseKey{wo.caller, wo.phase}
		if hists[ke] == nil {
			hists[ke] = hdrhistogram.New(1, 60_000_000, 3)
			order = append(order, ke)
		}
		for _, hist := range []*hdrhistogram.Histogram{all, hists[ke]} {
			hist.Merge(wo.reads)
			hist.Merge(wo.writes)
		}
		reads.Merge(wo.reads)
		writes.Merge(wo.writes)
		refused[ke] += wo.counts[outcomeNotRun]
		re.addWorkerCounts(wo)
	}
	re.P50Millis, re.P99Millis = quantileMillis(all, 50), quantileMillis(all, 99)
	re.ReadP50Millis, re.ReadP99Millis = quantileMillis(reads, 50), quantileMillis(reads, 99)
	re.WriteP50Millis, re.WriteP99Millis = quantileMillis(writes, 50), quantileMillis(writes, 99)
	for _, ke := range order {
		hist := hists[ke]
		re.Callers = append(re.Callers, CallerResult{
			Caller:    ke.caller,
			Phase:     ke.phase,
			Requests:  hist.TotalCount(),
			P50Millis: quantileMillis(hist, 50),
			P99Millis: quantileMillis(hist, 99),
			Refused:   refused[ke],
		})
	}
}

// withFirstPhase returns the workers, each preceded by its firstPhase if it has
// one.
func withFirstPhase(workers []*worker) []*worker {
	var out []*worker
	for _, wo := range workers {
		if wo.firstPhase != nil {
			out = append(out, wo.firstPhase)
		}
		out = append(out, wo)
	}
	return out
}

const maxReportedErrorSamples = 10

func (re *Result) addWorkerCounts(wo *worker) {
	re.Requests += wo.requests
	re.ReadYourWrites += wo.readViolations
	re.MixedAnswers += wo.mixedAnswers
	re.WorstAnswerMillis = max(re.WorstAnswerMillis, float64(wo.maxLatency.Microseconds())/1000)
	re.CutRequests += wo.counts[outcomeCut]
	re.Refused += wo.counts[outcomeNotRun]
	re.Unknown += wo.counts[outcomeUnknown]
	re.Failed += wo.counts[outcomeFailed]
	for _, text := range wo.errorSamples {
		if len(re.ErrorSamples) < maxReportedErrorSamples && !slices.Contains(re.ErrorSamples, text) {
			re.ErrorSamples = append(re.ErrorSamples, text)
		}
	}
}

func (ru *Run) addFleetCounters(re *Result) {
	var replica, primary int64
	for _, da := range ru.Fleet.StartedDaemons() {
		rep, pri := da.Reads()
		replica += rep
		primary += pri
	}
	if replica+primary > 0 {
		re.ReplicaReadShare = float64(replica) / float64(replica+primary)
	}
	for _, ups := range ru.Fleet.Groups {
		for _, up := range ups {
			re.PeakConnections = max(re.PeakConnections, up.PeakConnections())
		}
	}
}

// verify compares the outcomes of the bookings with the rows in the databases.
func (ru *Run) verify(ctx context.Context, re *Result) error {
	stored := make(map[string]int64)
	for service := range ru.Options.Fleet.Services {
		up := ru.Fleet.Primary(service, 0)
		counts, err := up.QueryCounts(ctx, "SELECT request, count(*) FROM bookings GROUP BY request")
		if err != nil {
			return errors.Wrap(err, "count the stored bookings")
		}
		for request, count := range counts {
			stored[request] += count
		}
	}
	for _, wo := range ru.workers {
		for _, bo := range wo.bookings {
			re.verifyBooking(bo, stored[bo.request], !ru.faultTime().IsZero())
		}
	}
	return nil
}

func (re *Result) verifyBooking(bo booking, count int64, hadFault bool) {
	switch {
	case count > 1:
		re.DuplicateWrites++
	case count == 0 && bo.outcome == outcomeDone:
		re.LostWrites++
		if hadFault {
			re.AckedByOldPrimary++
		}
	case count == 1 && bo.outcome == outcomeNotRun && !bo.keyed:
		re.FalseNotRun++
	}
}

// timeline records acknowledged writes and request counts over time, for gaps and
// plots.
type timeline struct {
	began time.Time
	mu    sync.Mutex
	// writes holds the times of acknowledged writes in the order of arrival.
	writes []time.Time
	// slots counts the requests by outcome for each slotLength since began.
	slots [][5]int64
}

const slotLength = 100 * time.Millisecond

func newTimeline(began time.Time) *timeline { return &timeline{began: began} }

func (ti *timeline) recordWrite(at time.Time) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.writes = append(ti.writes, at)
}

func (ti *timeline) recordRequest(oc outcome) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	slot := int(time.Since(ti.began) / slotLength)
	for len(ti.slots) <= slot {
		ti.slots = append(ti.slots, [5]int64{})
	}
	ti.slots[slot][oc]++
}

// gapAfter returns the longest time in milliseconds without an acknowledged write
// between the fault and the end. It takes the longest gap and not the first, as
// writes in flight at the fault may still be acknowledged.
func (ti *timeline) gapAfter(fault, end time.Time) float64 {
	var longest time.Duration
	last := fault
	for _, at := range ti.writes {
		if at.After(fault) {
			longest = max(longest, at.Sub(last))
			last = at
		}
	}
	longest = max(longest, end.Sub(last))
	return float64(longest.Microseconds()) / 1000
}

// maxGap returns the longest time in milliseconds between two acknowledged writes.
func (ti *timeline) maxGap() float64 {
	var longest time.Duration
	for pos := 1; pos < len(ti.writes); pos++ {
		longest = max(longest, ti.writes[pos].Sub(ti.writes[pos-1]))
	}
	return float64(longest.Microseconds()) / 1000
}
