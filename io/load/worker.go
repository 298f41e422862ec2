package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"banyanspring/core/life"
	"banyanspring/io/daemon"
)

// outcome classifies the end of a request as its caller sees it.
type outcome uint8

const (
	outcomeDone outcome = iota
	// outcomeNotRun means a refusal whose message says that nothing was run.
	outcomeNotRun
	// outcomeUnknown means an error after which the request may have run or not.
	outcomeUnknown
	// outcomeCut means that the connection failed before the reply.
	outcomeCut
	// outcomeFailed means any other error reply.
	outcomeFailed
)

// booking is an insert into the table bookings, which must run at most once.
type booking struct {
	request string
	outcome outcome
	// keyed bookings carry a request key and are retried until their outcome is
	// known.
	keyed bool
}

// worker is one session of a caller. It alone writes its row of the table
// registers, so that it can check the value of every read.
type worker struct {
	ru     *Run
	caller string
	id     int
	phase  int
	rng    *rand.Rand
	pc     *pgx.Conn
	daemon *daemon.Daemon
	// token is the session token after the last write; empty if it is not known.
	token string
	// acked and attempted are the highest values of the register that were
	// acknowledged and that were sent.
	acked, attempted int64
	bookings         []booking
	reads            *hdrhistogram.Histogram
	writes           *hdrhistogram.Histogram
	requests         int64
	counts           [5]int64
	// nextPhase makes the worker start its second phase before the next request.
	nextPhase atomic.Bool
	// firstPhase holds the latencies of the first phase once the second has
	// started; nil before.
	firstPhase *worker
	// readViolations counts reads that missed the worker's acknowledged writes or
	// returned a value that it never wrote.
	readViolations int64
	// maxLatency is the longest time until a request succeeded or failed.
	maxLatency time.Duration
	// mixedAnswers counts replies that belong to another request.
	mixedAnswers int64
	// errorSamples holds the first distinct error messages.
	errorSamples []string
}

// Parameters of the workload. readShare is a fraction of the requests, keyedShare
// and transactionShare are fractions of the writes.
const (
	readShare        = 0.8
	keyedShare       = 0.25
	transactionShare = 0.05
	maxThinkTime     = 4 * time.Millisecond
	requestTimeout   = 15 * time.Second
	roamEvery        = 8
)

func newWorker(ru *Run, caller string, id, phase int) *worker {
	const maxMicros = 60_000_000
	return &worker{
		ru:     ru,
		caller: caller,
		id:     id,
		phase:  phase,
		rng:    rand.New(rand.NewPCG(ru.Options.Seed, uint64(id))),
		reads:  hdrhistogram.New(1, maxMicros, 3),
		writes: hdrhistogram.New(1, maxMicros, 3),
	}
}

// run sends requests until the deadline of the run.
func (wo *worker) run(ctx context.Context) {
	defer wo.disconnect()
	for time.Now().Before(wo.ru.deadline) && ctx.Err() == nil {
		time.Sleep(time.Duration(wo.rng.Int64N(int64(maxThinkTime))))
		if wo.ru.scenario.Roams && wo.requests%roamEvery == 0 {
			wo.disconnect()
		}
		if !wo.connect(ctx) {
			time.Sleep(maxThinkTime)
			continue
		}
		wo.sendRequest(ctx)
	}
}

func (wo *worker) disconnect() {
	if wo.pc == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = wo.pc.Close(ctx)
	wo.pc = nil
}

// connect opens a session, if there is none, and reports whether there is one. A
// worker picks the same daemon until one of its requests was cut or refused, and a
// random one after that or if the scenario roams. Half of the reconnects send the
// session token, if the worker has one.
func (wo *worker) connect(ctx context.Context) bool {
	if wo.pc != nil && !wo.pc.IsClosed() {
		return true
	}
	wo.pc = nil
	daemons := servingDaemons(wo.ru)
	if len(daemons) == 0 {
		return false
	}
	pick := wo.id % len(daemons)
	if wo.ru.scenario.Roams || wo.counts[outcomeCut]+wo.counts[outcomeNotRun] > 0 {
		pick = wo.rng.IntN(len(daemons))
	}
	wo.daemon = daemons[pick]
	service := wo.id % wo.ru.Options.Fleet.Services
	params := ""
	if wo.token != "" && wo.rng.IntN(2) == 0 {
		params = "&banyanspring.token=" + wo.token
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	pc, err := pgx.Connect(ctx, wo.ru.Fleet.URL(wo.daemon, wo.caller, service, 0)+params)
	if err != nil {
		wo.recordError(err)
		return false
	}
	wo.pc = pc
	return true
}

func servingDaemons(ru *Run) []*daemon.Daemon {
	var out []*daemon.Daemon
	for _, da := range ru.Fleet.Daemons() {
		if da.State() == life.Serving {
			out = append(out, da)
		}
	}
	return out
}

func (wo *worker) sendRequest(ctx context.Context) {
	if wo.nextPhase.CompareAndSwap(true, false) {
		wo.startNextPhase()
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	wo.requests++
	began := time.Now()
	if wo.rng.Float64() < readShare {
		oc := wo.read(ctx)
		wo.recordOutcome(oc, wo.reads, began)
		return
	}
	oc := wo.write(ctx)
	wo.recordOutcome(oc, wo.writes, began)
	if oc == outcomeDone {
		wo.ru.timeline.recordWrite(time.Now())
	}
}

// startNextPhase moves the latencies measured so far to firstPhase.
func (wo *worker) startNextPhase() {
	next := newWorker(wo.ru, wo.caller, wo.id, wo.phase+1)
	wo.firstPhase = &worker{caller: wo.caller, phase: wo.phase, reads: wo.reads, writes: wo.writes}
	wo.phase, wo.reads, wo.writes = next.phase, next.reads, next.writes
}

func (wo *worker) recordOutcome(oc outcome, hist *hdrhistogram.Histogram, began time.Time) {
	wo.counts[oc]++
	wo.maxLatency = max(wo.maxLatency, time.Since(began))
	if oc == outcomeDone {
		_ = hist.RecordValue(max(1, time.Since(began).Microseconds()))
	}
	wo.ru.timeline.recordRequest(oc)
}

// read reads the worker's register and checks the value and that the reply belongs
// to this request.
func (wo *worker) read(ctx context.Context) outcome {
	nonce := fmt.Sprintf("n%d-%d", wo.id, wo.requests)
	minValue := wo.acked
	var id, value int64
	var echo string
	err := wo.pc.QueryRow(ctx, "SELECT id, value, $2::text FROM registers WHERE id = $1", int64(wo.id), nonce).Scan(&id, &value, &echo)
	if errors.Is(err, pgx.ErrNoRows) {
		if minValue > 0 {
			wo.readViolations++
		}
		return outcomeDone
	}
	if err != nil {
		return wo.classify(err)
	}
	if id != int64(wo.id) || echo != nonce {
		wo.mixedAnswers++
	}
	if value < minValue || value > wo.attempted {
		wo.readViolations++
	}
	return outcomeDone
}

// write sets the register, inserts a booking, or does both in a transaction.
func (wo *worker) write(ctx context.Context) outcome {
	pick := wo.rng.Float64()
	switch {
	case pick < keyedShare:
		return wo.bookKeyed(ctx)
	case pick < keyedShare+transactionShare:
		return wo.bookInTransaction(ctx)
	case wo.rng.IntN(2) == 0:
		return wo.book(ctx)
	}
	return wo.setRegister(ctx)
}

const (
	setRegisterSQL   = "INSERT INTO registers (id, value) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET value = excluded.value"
	insertBookingSQL = "INSERT INTO bookings (request, worker) VALUES ($1, $2)"
)

func (wo *worker) setRegister(ctx context.Context) outcome {
	wo.attempted++
	value := wo.attempted
	_, err := wo.pc.Exec(ctx, setRegisterSQL, int64(wo.id), value)
	if err != nil {
		return wo.classify(err)
	}
	wo.acked = value
	wo.refreshToken(ctx)
	return outcomeDone
}

// refreshToken reads the session token after a write in scenarios with roaming, and
// drops it in others.
func (wo *worker) refreshToken(ctx context.Context) {
	wo.token = ""
	if !wo.ru.scenario.Roams {
		return
	}
	if err := wo.pc.QueryRow(ctx, "SHOW banyanspring.token").Scan(&wo.token); err != nil {
		wo.token = ""
	}
}

// newBooking adds a booking, whose outcome is unknown until it is set.
func (wo *worker) newBooking(keyed bool) *booking {
	request := fmt.Sprintf("%d-%d", wo.id, len(wo.bookings))
	wo.bookings = append(wo.bookings, booking{request: request, outcome: outcomeUnknown, keyed: keyed})
	return &wo.bookings[len(wo.bookings)-1]
}

func (wo *worker) book(ctx context.Context) outcome {
	bo := wo.newBooking(false)
	_, err := wo.pc.Exec(ctx, insertBookingSQL, bo.request, int64(wo.id))
	bo.outcome = wo.classify(err)
	return bo.outcome
}

func (wo *worker) bookInTransaction(ctx context.Context) outcome {
	bo := wo.newBooking(false)
	wo.attempted++
	value := wo.attempted
	tx, err := wo.pc.Begin(ctx)
	if err != nil {
		bo.outcome = wo.classify(err)
		return bo.outcome
	}
	if _, err = tx.Exec(ctx, insertBookingSQL, bo.request, int64(wo.id)); err == nil {
		_, err = tx.Exec(ctx, setRegisterSQL, int64(wo.id), value)
	}
	if err != nil {
		_ = tx.Rollback(ctx)
		wo.recordError(err)
		// No COMMIT was sent, so nothing can have been committed.
		bo.outcome = outcomeNotRun
		if wo.pc.IsClosed() {
			return outcomeCut
		}
		return wo.classify(err)
	}
	bo.outcome = wo.classify(tx.Commit(ctx))
	if bo.outcome == outcomeDone {
		wo.acked = value
		wo.token = ""
	}
	return bo.outcome
}

// bookKeyed inserts a booking with a request key and retries it until the outcome
// is known or the time is up.
func (wo *worker) bookKeyed(ctx context.Context) outcome {
	bo := wo.newBooking(true)
	key, err := uuid.NewV7()
	if err != nil {
		return outcomeFailed
	}
	query := "/* banyanspring request_key=" + key.String() + " */ " + insertBookingSQL
	for {
		_, err := wo.pc.Exec(ctx, query, pgx.QueryExecModeExec, bo.request, int64(wo.id))
		oc := wo.classify(err)
		if oc == outcomeDone || oc == outcomeFailed || ctx.Err() != nil || time.Now().After(wo.ru.deadline) {
			if bo.outcome != outcomeDone {
				bo.outcome = oc
			}
			return oc
		}
		bo.outcome = outcomeUnknown
		if !wo.connect(ctx) {
			time.Sleep(maxThinkTime)
			for !wo.connect(ctx) && ctx.Err() == nil {
				time.Sleep(maxThinkTime)
			}
		}
		if wo.pc == nil {
			return outcomeUnknown
		}
	}
}

// classify returns the outcome of a request from its error, and records the error's
// message.
func (wo *worker) classify(err error) outcome {
	if err == nil {
		return outcomeDone
	}
	wo.recordError(err)
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		return outcomeCut
	}
	switch {
	case strings.Contains(pe.Message, "(not run)"):
		return outcomeNotRun
	case strings.HasPrefix(pe.Code, "08"):
		return outcomeUnknown
	}
	return outcomeFailed
}

const maxErrorSamples = 3

// recordError keeps the first maxErrorSamples distinct error messages.
func (wo *worker) recordError(err error) {
	if len(wo.errorSamples) < maxErrorSamples && !slices.Contains(wo.errorSamples, err.Error()) {
		wo.errorSamples = append(wo.errorSamples, err.Error())
	}
}
