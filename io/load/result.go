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

// Result is what one run measured. Latencies are in milliseconds.
type Result struct {
	Scenario          string         `json:"scenario"`
	Policy            string         `json:"policy"`
	Seed              uint64         `json:"seed"`
	Seconds           float64        `json:"seconds"`
	Requests          int64          `json:"requests"`
	ReplicaReadShare  float64        `json:"replica_read_share"`
	FailoverGapMillis float64        `json:"failover_gap_ms"`
	ReadYourWrites    int64          `json:"read_your_writes_violations"`
	LostWrites        int64          `json:"lost_writes"`
	DuplicateWrites   int64          `json:"duplicate_writes"`
	FalseNotRun       int64          `json:"false_not_run"`
	AckedByOldPrimary int64          `json:"acked_by_old_primary"`
	MixedAnswers      int64          `json:"mixed_answers"`
	CutRequests       int64          `json:"cut_requests"`
	Refused           int64          `json:"refused"`
	Unknown           int64          `json:"unknown"`
	Failed            int64          `json:"failed"`
	P50Millis         float64        `json:"p50_ms"`
	P99Millis         float64        `json:"p99_ms"`
	ReadP50Millis     float64        `json:"read_p50_ms"`
	ReadP99Millis     float64        `json:"read_p99_ms"`
	WriteP50Millis    float64        `json:"write_p50_ms"`
	WriteP99Millis    float64        `json:"write_p99_ms"`
	MaxWriteGapMillis float64        `json:"max_write_gap_ms"`
	PeakConnections   int64          `json:"peak_connections"`
	WorstAnswerMillis float64        `json:"worst_answer_ms"`
	Promotions        uint64         `json:"promotions"`
	Faults            []string       `json:"faults,omitempty"`
	Callers           []CallerResult `json:"callers"`
	Samples           []string       `json:"error_samples,omitempty"`
	Baseline          *Result        `json:"baseline,omitempty"`
	timeline          *timeline
}

// CallerResult is what one caller saw in one phase of the run.
type CallerResult struct {
	Caller    string  `json:"caller"`
	Phase     int     `json:"phase"`
	Requests  int64   `json:"requests"`
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	Refused   int64   `json:"refused"`
}

// Violations adds up the counters that must be zero.
func (re *Result) Violations() int64 {
	return re.ReadYourWrites + re.LostWrites + re.DuplicateWrites + re.FalseNotRun + re.AckedByOldPrimary + re.MixedAnswers
}

func millis(hist *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(hist.ValueAtQuantile(quantile)) / 1000
}

func (ru *Run) createTables(ctx context.Context) error {
	for service := range ru.Options.Fleet.Services {
		host := ru.Fleet.Daemons()[0]
		pc, err := pgx.Connect(ctx, ru.Fleet.URL(host, ru.Options.Fleet.Callers[0], service, 0))
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

func (ru *Run) result(ctx context.Context) (*Result, error) {
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
	ru.addWorkers(re)
	ru.addReads(re)
	if fault := ru.fault(); !fault.IsZero() {
		re.FailoverGapMillis = ru.timeline.gapAfter(fault, ru.deadline)
	}
	re.MaxWriteGapMillis = ru.timeline.maxGap()
	return re, ru.verify(ctx, re)
}

func (ru *Run) addWorkers(re *Result) {
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
	for _, wo := range withEarlier(ru.workers) {
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
		re.add(wo)
	}
	re.P50Millis, re.P99Millis = millis(all, 50), millis(all, 99)
	re.ReadP50Millis, re.ReadP99Millis = millis(reads, 50), millis(reads, 99)
	re.WriteP50Millis, re.WriteP99Millis = millis(writes, 50), millis(writes, 99)
	for _, ke := range order {
		hist := hists[ke]
		re.Callers = append(re.Callers, CallerResult{
			Caller:    ke.caller,
			Phase:     ke.phase,
			Requests:  hist.TotalCount(),
			P50Millis: millis(hist, 50),
			P99Millis: millis(hist, 99),
			Refused:   refused[ke],
		})
	}
}

// withEarlier adds the measurements that workers set aside.
func withEarlier(workers []*worker) []*worker {
	var out []*worker
	for _, wo := range workers {
		if wo.earlier != nil {
			out = append(out, wo.earlier)
		}
		out = append(out, wo)
	}
	return out
}

const maxReportedSamples = 10

func (re *Result) add(wo *worker) {
	re.Requests += wo.requests
	re.ReadYourWrites += wo.violations
	re.MixedAnswers += wo.mixed
	re.WorstAnswerMillis = max(re.WorstAnswerMillis, float64(wo.worst.Microseconds())/1000)
	re.CutRequests += wo.counts[outcomeCut]
	re.Refused += wo.counts[outcomeNotRun]
	re.Unknown += wo.counts[outcomeUnknown]
	re.Failed += wo.counts[outcomeFailed]
	for _, text := range wo.samples {
		if len(re.Samples) < maxReportedSamples && !slices.Contains(re.Samples, text) {
			re.Samples = append(re.Samples, text)
		}
	}
}

func (ru *Run) addReads(re *Result) {
	var replica, primary int64
	for _, ho := range ru.Fleet.EveryDaemon() {
		rep, pri := ho.Reads()
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

// verify compares what callers were told with what the databases hold.
func (ru *Run) verify(ctx context.Context, re *Result) error {
	held := make(map[string]int64)
	for service := range ru.Options.Fleet.Services {
		up := ru.Fleet.Primary(service, 0)
		counts, err := up.CountBy(ctx, "SELECT request, count(*) FROM bookings GROUP BY request")
		if err != nil {
			return errors.Wrap(err, "verify")
		}
		for request, count := range counts {
			held[request] += count
		}
	}
	for _, wo := range ru.workers {
		for _, bo := range wo.bookings {
			re.verifyBooking(bo, held[bo.request], !ru.fault().IsZero())
		}
	}
	return nil
}

func (re *Result) verifyBooking(bo booking, count int64, failedOver bool) {
	switch {
	case count > 1:
		re.DuplicateWrites++
	case count == 0 && bo.told == outcomeDone:
		re.LostWrites++
		if failedOver {
			re.AckedByOldPrimary++
		}
	case count == 1 && bo.told == outcomeNotRun && !bo.keyed:
		re.FalseNotRun++
	}
}

// timeline counts requests by time, for gaps and plots.
type timeline struct {
	began time.Time
	mu    sync.Mutex
	// writes holds the times of acknowledged writes, in order.
	writes []time.Time
	// slots counts requests by outcome in each slot of slotLength.
	slots [][5]int64
}

const slotLength = 100 * time.Millisecond

func newTimeline(began time.Time) *timeline { return &timeline{began: began} }

func (ti *timeline) noteWrite(at time.Time) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	ti.writes = append(ti.writes, at)
}

func (ti *timeline) noteRequest(told outcome) {
	ti.mu.Lock()
	defer ti.mu.Unlock()
	slot := int(time.Since(ti.began) / slotLength)
	for len(ti.slots) <= slot {
		ti.slots = append(ti.slots, [5]int64{})
	}
	ti.slots[slot][told]++
}

// gapAfter returns the longest time in milliseconds without an acknowledged
// write from the fault to the end. Writes that were on their way when the fault
// came do not end the gap.
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

// maxGap returns the longest time without an acknowledged write.
func (ti *timeline) maxGap() float64 {
	var longest time.Duration
	for pos := 1; pos < len(ti.writes); pos++ {
		longest = max(longest, ti.writes[pos].Sub(ti.writes[pos-1]))
	}
	return float64(longest.Microseconds()) / 1000
}
