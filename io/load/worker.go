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

// outcome is what a caller was told about a request.
type outcome uint8

const (
	outcomeDone outcome = iota
	// outcomeNotRun is a refusal that says that nothing was run.
	outcomeNotRun
	// outcomeUnknown is an error that leaves the outcome open.
	outcomeUnknown
	// outcomeCut is a connection that ended without an answer.
	outcomeCut
	// outcomeFailed is any other error of the database.
	outcomeFailed
)

// booking is one insert that must run at most once.
type booking struct {
	request string
	told    outcome
	// keyed bookings are repeated until their outcome is known.
	keyed bool
}

// worker is one session of a caller. It owns one register, whose value only it
// changes, so that every read can be judged.
type worker struct {
	ru     *Run
	caller string
	id     int
	phase  int
	rng    *rand.Rand
	pc     *pgx.Conn
	host   *daemon.Host
	// token is the last session token of the database.
	token string
	// acked and tried are the highest values of the register that were
	// acknowledged and attempted.
	acked, tried int64
	bookings     []booking
	reads        *hdrhistogram.Histogram
	writes       *hdrhistogram.Histogram
	requests     int64
	counts       [5]int64
	// nextPhase moves the worker's measurements to the second phase.
	nextPhase atomic.Bool
	// earlier holds the measurements of the first phase.
	earlier    *worker
	violations int64
	// worst is the longest that the worker waited to hear anything.
	worst time.Duration
	mixed int64
	// samples are messages of errors, for the report.
	samples []string
}

// Workload: shares of the requests and the pause between them.
const (
	readShare       = 0.8
	keyedShare      = 0.25
	transactionPart = 0.05
	maxThink        = 4 * time.Millisecond
	requestTimeout  = 15 * time.Second
	roamEvery       = 8
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

func (wo *worker) run(ctx context.Context) {
	defer wo.disconnect()
	for time.Now().Before(wo.ru.deadline) && ctx.Err() == nil {
		time.Sleep(time.Duration(wo.rng.Int64N(int64(maxThink))))
		if wo.ru.scenario.Roams && wo.requests%roamEvery == 0 {
			wo.disconnect()
		}
		if !wo.connect(ctx) {
			time.Sleep(maxThink)
			continue
		}
		wo.request(ctx)
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

// connect opens a session at a daemon that serves. Sessions that roam go
// anywhere, every other time with the token; the others stay near.
func (wo *worker) connect(ctx context.Context) bool {
	if wo.pc != nil && !wo.pc.IsClosed() {
		return true
	}
	wo.pc = nil
	hosts := servingHosts(wo.ru)
	if len(hosts) == 0 {
		return false
	}
	pick := wo.id % len(hosts)
	if wo.ru.scenario.Roams || wo.counts[outcomeCut]+wo.counts[outcomeNotRun] > 0 {
		pick = wo.rng.IntN(len(hosts))
	}
	wo.host = hosts[pick]
	service := wo.id % wo.ru.Options.Fleet.Services
	params := ""
	if wo.token != "" && wo.rng.IntN(2) == 0 {
		params = "&banyanspring.token=" + wo.token
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	pc, err := pgx.Connect(ctx, wo.ru.Fleet.URL(wo.host, wo.caller, service, 0)+params)
	if err != nil {
		wo.sample(err)
		return false
	}
	wo.pc = pc
	return true
}

func servingHosts(ru *Run) []*daemon.Host {
	var out []*daemon.Host
	for _, ho := range ru.Fleet.Daemons() {
		if ho.State() == life.Serving {
			out = append(out, ho)
		}
	}
	return out
}

func (wo *worker) request(ctx context.Context) {
	if wo.nextPhase.CompareAndSwap(true, false) {
		wo.splitPhase()
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	wo.requests++
	began := time.Now()
	if wo.rng.Float64() < readShare {
		told := wo.read(ctx)
		wo.finish(told, wo.reads, began)
		return
	}
	told := wo.write(ctx)
	wo.finish(told, wo.writes, began)
	if told == outcomeDone {
		wo.ru.timeline.noteWrite(time.Now())
	}
}

// splitPhase sets the latencies of the first phase aside.
func (wo *worker) splitPhase() {
	next := newWorker(wo.ru, wo.caller, wo.id, wo.phase+1)
	wo.earlier = &worker{caller: wo.caller, phase: wo.phase, reads: wo.reads, writes: wo.writes}
	wo.phase, wo.reads, wo.writes = next.phase, next.reads, next.writes
}

func (wo *worker) finish(told outcome, hist *hdrhistogram.Histogram, began time.Time) {
	wo.counts[told]++
	wo.worst = max(wo.worst, time.Since(began))
	if told == outcomeDone {
		_ = hist.RecordValue(max(1, time.Since(began).Microseconds()))
	}
	wo.ru.timeline.noteRequest(told)
}

// read reads the worker's register and judges the value.
func (wo *worker) read(ctx context.Context) outcome {
	nonce := fmt.Sprintf("n%d-%d", wo.id, wo.requests)
	least := wo.acked
	var id, value int64
	var echo string
	err := wo.pc.QueryRow(ctx, "SELECT id, value, $2::text FROM registers WHERE id = $1", int64(wo.id), nonce).Scan(&id, &value, &echo)
	if errors.Is(err, pgx.ErrNoRows) {
		if least > 0 {
			wo.violations++
		}
		return outcomeDone
	}
	if err != nil {
		return wo.judge(err)
	}
	if id != int64(wo.id) || echo != nonce {
		wo.mixed++
	}
	if value < least || value > wo.tried {
		wo.violations++
	}
	return outcomeDone
}

// write changes the register, books something, or does both in a transaction.
func (wo *worker) write(ctx context.Context) outcome {
	pick := wo.rng.Float64()
	switch {
	case pick < keyedShare:
		return wo.bookKeyed(ctx)
	case pick < keyedShare+transactionPart:
		return wo.bookAndSet(ctx)
	case wo.rng.IntN(2) == 0:
		return wo.book(ctx)
	}
	return wo.set(ctx)
}

const (
	setRegister   = "INSERT INTO registers (id, value) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET value = excluded.value"
	insertBooking = "INSERT INTO bookings (request, worker) VALUES ($1, $2)"
)

func (wo *worker) set(ctx context.Context) outcome {
	wo.tried++
	value := wo.tried
	_, err := wo.pc.Exec(ctx, setRegister, int64(wo.id), value)
	if err != nil {
		return wo.judge(err)
	}
	wo.acked = value
	wo.keepToken(ctx)
	return outcomeDone
}

// keepToken asks for the token now and then, as a caller that carries one.
func (wo *worker) keepToken(ctx context.Context) {
	wo.token = ""
	if !wo.ru.scenario.Roams {
		return
	}
	if err := wo.pc.QueryRow(ctx, "SHOW banyanspring.token").Scan(&wo.token); err != nil {
		wo.token = ""
	}
}

func (wo *worker) newBooking(keyed bool) *booking {
	request := fmt.Sprintf("%d-%d", wo.id, len(wo.bookings))
	wo.bookings = append(wo.bookings, booking{request: request, told: outcomeUnknown, keyed: keyed})
	return &wo.bookings[len(wo.bookings)-1]
}

func (wo *worker) book(ctx context.Context) outcome {
	bo := wo.newBooking(false)
	_, err := wo.pc.Exec(ctx, insertBooking, bo.request, int64(wo.id))
	bo.told = wo.judge(err)
	return bo.told
}

func (wo *worker) bookAndSet(ctx context.Context) outcome {
	bo := wo.newBooking(false)
	wo.tried++
	value := wo.tried
	tx, err := wo.pc.Begin(ctx)
	if err != nil {
		bo.told = wo.judge(err)
		return bo.told
	}
	if _, err = tx.Exec(ctx, insertBooking, bo.request, int64(wo.id)); err == nil {
		_, err = tx.Exec(ctx, setRegister, int64(wo.id), value)
	}
	if err != nil {
		_ = tx.Rollback(ctx)
		wo.sample(err)
		// No COMMIT was sent, so that nothing can have been committed.
		bo.told = outcomeNotRun
		if wo.pc.IsClosed() {
			return outcomeCut
		}
		return wo.judge(err)
	}
	bo.told = wo.judge(tx.Commit(ctx))
	if bo.told == outcomeDone {
		wo.acked = value
		wo.token = ""
	}
	return bo.told
}

// bookKeyed repeats a booking with its request key until it hears an outcome.
func (wo *worker) bookKeyed(ctx context.Context) outcome {
	bo := wo.newBooking(true)
	key, err := uuid.NewV7()
	if err != nil {
		return outcomeFailed
	}
	query := "/* banyanspring request_key=" + key.String() + " */ " + insertBooking
	for {
		_, err := wo.pc.Exec(ctx, query, pgx.QueryExecModeExec, bo.request, int64(wo.id))
		told := wo.judge(err)
		if told == outcomeDone || told == outcomeFailed || ctx.Err() != nil || time.Now().After(wo.ru.deadline) {
			if bo.told != outcomeDone {
				bo.told = told
			}
			return told
		}
		bo.told = outcomeUnknown
		if !wo.connect(ctx) {
			time.Sleep(maxThink)
			for !wo.connect(ctx) && ctx.Err() == nil {
				time.Sleep(maxThink)
			}
		}
		if wo.pc == nil {
			return outcomeUnknown
		}
	}
}

// judge reads what an error tells the caller.
func (wo *worker) judge(err error) outcome {
	if err == nil {
		return outcomeDone
	}
	wo.sample(err)
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

const maxSamples = 3

// sample keeps the first few different messages of errors.
func (wo *worker) sample(err error) {
	if len(wo.samples) < maxSamples && !slices.Contains(wo.samples, err.Error()) {
		wo.samples = append(wo.samples, err.Error())
	}
}
