package upstr

import (
	"context"
	"database/sql"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	pg_query "github.com/pganalyze/pg_query_go/v6"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"banyanspring/core/posn"
	"banyanspring/io/delay"
)

var (
	paramPattern     = regexp.MustCompile(`\$(\d+)`)
	forUpdatePattern = regexp.MustCompile(`(?i)\s+for\s+(no key )?(update|share)\b`)
	castPattern      = regexp.MustCompile(`::[a-z_0-9]+`)
	sleepPattern     = regexp.MustCompile(`(?i)pg_sleep\(([\d.]+)\)`)
	returningPattern = regexp.MustCompile(`(?is)\breturning\s+(.*)$`)
	changePattern    = regexp.MustCompile(`(?i)\b(insert|update|delete)\b`)
	tablePattern     = regexp.MustCompile(`(?is)\b(?:into|update|from)\s+([a-z_0-9.]+)`)
	activityPattern  = regexp.MustCompile(`(?i)count\(\*\) FROM pg_stat_activity WHERE pid = (\d+).*$`)
	// internalPattern matches the statements that daemons send on their own
	// behalf; CallerStatements does not count them.
	internalPattern = regexp.MustCompile(`platform_(position|promote|follow)\(|pg_stat_activity`)
	promotePattern  = regexp.MustCompile(`(?i)platform_promote\((\d+), '([^']*)', (\d+), '([^']*)'\)`)
	followPattern   = regexp.MustCompile(`(?i)platform_follow\((\d+), '([^']*)', '([^']*)'\)`)
	positionPattern = regexp.MustCompile(`(?i)\bplatform_position\(\)`)
)

func parseTerm(number, primary string) posn.Term {
	num, _ := strconv.ParseUint(number, 10, 64)
	return posn.Term{Number: num, Primary: primary}
}

// termChangeError wraps the error of a refused Promote or Follow with the SQLSTATE
// code 55000 (object not in prerequisite state).
func termChangeError(err error) error {
	if err == nil {
		return nil
	}
	return pgError("55000", err.Error())
}

// firstKeyword returns the first word of a statement in upper case, skipping
// leading comments.
func firstKeyword(text string) string {
	text = strings.TrimSpace(text)
	for strings.HasPrefix(text, "/*") {
		_, rest, _ := strings.Cut(text, "*/")
		text = strings.TrimSpace(rest)
	}
	word, _, _ := strings.Cut(text, " ")
	return strings.ToUpper(strings.TrimRight(word, ";"))
}

func returnsRows(text string) bool {
	switch firstKeyword(text) {
	case "SELECT", "VALUES", "WITH", "EXPLAIN", "SHOW":
		return true
	}
	return returningPattern.MatchString(text)
}

func mayWrite(text string) bool {
	switch firstKeyword(text) {
	case "WITH":
		return changePattern.MatchString(text)
	case "SELECT", "VALUES", "EXPLAIN", "SHOW", "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SET":
		return false
	}
	return true
}

// translateAndRun rewrites Postgres syntax that SQLite does not support, and replaces
// the stand-in's functions by their results: it runs pg_sleep, platform_promote and
// platform_follow.
func (co *conn) translateAndRun(ctx context.Context, text string) (string, error) {
	if found := sleepPattern.FindStringSubmatch(text); found != nil {
		seconds, _ := strconv.ParseFloat(found[1], 64)
		if !delay.Pause(ctx, time.Duration(seconds*float64(time.Second))) {
			return "", context.Canceled
		}
		text = sleepPattern.ReplaceAllString(text, "''")
	}
	if found := activityPattern.FindStringSubmatch(text); found != nil {
		text = "SELECT " + co.se.activityCount(found[1])
	}
	if found := promotePattern.FindStringSubmatch(text); found != nil {
		err := co.se.Promote(parseTerm(found[1], found[2]), parseTerm(found[3], found[4]))
		return "SELECT 't' AS promoted", termChangeError(err)
	}
	if found := followPattern.FindStringSubmatch(text); found != nil {
		err := co.se.Follow(parseTerm(found[1], found[2]), found[3])
		return "SELECT 't' AS following", termChangeError(err)
	}
	if positionPattern.MatchString(text) {
		po, last := co.se.Position(), co.se.LastEntry()
		row := fmt.Sprintf("(SELECT %d AS term_number, '%s' AS term_primary, %d AS log_offset, %t AS is_primary, "+
			"%d AS entry_number, '%s' AS entry_primary, %d AS received_ms)",
			po.Term.Number, po.Term.Primary, po.Offset, co.se.IsPrimary(),
			last.Term.Number, last.Term.Primary, co.se.receivedAge().Milliseconds())
		text = positionPattern.ReplaceAllString(text, row)
	}
	text = forUpdatePattern.ReplaceAllString(text, "")
	text = castPattern.ReplaceAllString(text, "")
	return paramPattern.ReplaceAllString(text, "?$1"), nil
}

func (co *conn) simpleQuery(ctx context.Context, text string) {
	parts, err := pg_query.SplitWithParser(text, true)
	if err != nil {
		co.sendError(pgError("42601", err.Error()))
		co.sendReady()
		return
	}
	if len(parts) == 0 {
		co.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, part := range parts {
		po := &portal{st: &statement{sql: part}}
		if err := co.execute(ctx, po, 0, true); err != nil {
			co.sendError(err)
			break
		}
	}
	co.skipToSync = false
	if co.implicit {
		if err := co.commit(); err != nil {
			co.backend.Send(errorResponse(err))
		}
	}
	co.sendReady()
}

func (co *conn) extendedQuery(ctx context.Context, msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return co.parse(msg)
	case *pgproto3.Bind:
		return co.bind(msg)
	case *pgproto3.Describe:
		return co.describe(ctx, msg)
	case *pgproto3.Execute:
		po := co.portals[msg.Portal]
		if po == nil {
			return pgError("34000", "portal does not exist")
		}
		return co.execute(ctx, po, int(msg.MaxRows), false)
	case *pgproto3.Close:
		co.closeObject(msg)
		return nil
	}
	return pgError("08P01", fmt.Sprintf("unexpected message %T", msg))
}

func (co *conn) parse(msg *pgproto3.Parse) error {
	parts, err := pg_query.SplitWithParser(msg.Query, true)
	if err != nil {
		return pgError("42601", err.Error())
	}
	if len(parts) > 1 {
		return pgError("42601", "cannot insert multiple commands into a prepared statement")
	}
	st := &statement{sql: msg.Query, oids: append([]uint32(nil), msg.ParameterOIDs...)}
	for _, found := range paramPattern.FindAllStringSubmatch(msg.Query, -1) {
		num, _ := strconv.Atoi(found[1])
		st.params = max(st.params, num)
	}
	co.statements[msg.Name] = st
	co.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (co *conn) bind(msg *pgproto3.Bind) error {
	st := co.statements[msg.PreparedStatement]
	if st == nil {
		return pgError("26000", "prepared statement does not exist")
	}
	po := &portal{st: st, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for pos, raw := range msg.Parameters {
		text, err := co.paramText(st, pos, formatCode(msg.ParameterFormatCodes, pos), raw)
		if err != nil {
			return err
		}
		po.args = append(po.args, text)
	}
	co.portals[msg.DestinationPortal] = po
	co.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func formatCode(formats []int16, pos int) int16 {
	switch len(formats) {
	case 0:
		return pgtype.TextFormatCode
	case 1:
		return formats[0]
	}
	if pos < len(formats) {
		return formats[pos]
	}
	return pgtype.TextFormatCode
}

func (co *conn) paramText(st *statement, pos int, format int16, raw []byte) (*string, error) {
	if raw == nil {
		return nil, nil
	}
	text := string(raw)
	if format == pgtype.TextFormatCode {
		return &text, nil
	}
	var oid uint32
	if pos < len(st.oids) {
		oid = st.oids[pos]
	}
	typ, ok := co.types.TypeForOID(oid)
	if !ok {
		return nil, pgError("22P03", "binary parameter of unknown type")
	}
	val, err := typ.Codec.DecodeValue(co.types, oid, format, raw)
	if err != nil {
		return nil, pgError("22P03", err.Error())
	}
	text = fmt.Sprint(val)
	return &text, nil
}

func (co *conn) closeObject(msg *pgproto3.Close) {
	if msg.ObjectType == 'S' {
		delete(co.statements, msg.Name)
	} else if po := co.portals[msg.Name]; po != nil {
		if po.rows != nil {
			_ = po.rows.Close()
		}
		delete(co.portals, msg.Name)
	}
	co.backend.Send(&pgproto3.CloseComplete{})
}

func (co *conn) describe(ctx context.Context, msg *pgproto3.Describe) error {
	var st *statement
	var formats []int16
	if msg.ObjectType == 'S' {
		st = co.statements[msg.Name]
	} else if po := co.portals[msg.Name]; po != nil {
		st, formats = po.st, po.formats
	}
	if st == nil {
		return pgError("26000", "nothing to describe under this name")
	}
	if msg.ObjectType == 'S' {
		oids := make([]uint32, st.params)
		copy(oids, st.oids)
		co.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	}
	if !returnsRows(st.sql) {
		co.backend.Send(&pgproto3.NoData{})
		return nil
	}
	fields, err := co.resultColumns(ctx, st)
	if err != nil {
		return err
	}
	for pos := range fields {
		fields[pos].Format = formatCode(formats, pos)
	}
	co.backend.Send(&pgproto3.RowDescription{Fields: fields})
	return nil
}

// resultColumns returns a statement's result columns. It neither sleeps nor changes
// tables, but translateAndRun does run platform_promote and platform_follow.
func (co *conn) resultColumns(ctx context.Context, st *statement) ([]pgproto3.FieldDescription, error) {
	text := sleepPattern.ReplaceAllString(st.sql, "''")
	text, err := co.translateAndRun(ctx, strings.TrimRight(strings.TrimSpace(text), "; \n"))
	if err != nil {
		return nil, err
	}
	if found := returningPattern.FindStringSubmatch(text); found != nil {
		table := tablePattern.FindStringSubmatch(text)
		if table == nil {
			return nil, pgError("0A000", "cannot describe")
		}
		text = "SELECT " + found[1] + " FROM " + table[1] + " LIMIT 1"
	} else {
		text = "SELECT * FROM (" + text + ") LIMIT 1"
	}
	args := make([]any, st.params)
	for pos := range args {
		args[pos] = "0"
	}
	rows, err := co.activeConn().QueryContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	fields, _, err := describeRows(rows)
	return fields, err
}

// describeRows returns the columns of an open result and the values of its first
// row. An expression has no declared type and gets the type of its first value.
func describeRows(rows *sql.Rows) ([]pgproto3.FieldDescription, []any, error) {
	cols, err := rows.ColumnTypes()
	if err != nil {
		return nil, nil, err
	}
	var first []any
	if rows.Next() {
		if first, err = scanRow(rows, len(cols)); err != nil {
			return nil, nil, err
		}
	}
	if err := rows.Err(); err != nil {
		return nil, nil, err
	}
	fields := make([]pgproto3.FieldDescription, len(cols))
	for pos, col := range cols {
		var sample any
		if first != nil {
			sample = first[pos]
		}
		fields[pos] = pgproto3.FieldDescription{
			Name:         []byte(col.Name()),
			DataTypeOID:  columnOID(col.DatabaseTypeName(), sample),
			DataTypeSize: -1,
			TypeModifier: -1,
		}
	}
	return fields, first, nil
}

func columnOID(declared string, sample any) uint32 {
	switch strings.ToUpper(declared) {
	case "INTEGER", "INT", "BIGINT":
		return pgtype.Int8OID
	case "TEXT":
		return pgtype.TextOID
	case "REAL", "DOUBLE PRECISION":
		return pgtype.Float8OID
	case "BOOLEAN":
		return pgtype.BoolOID
	}
	switch sample.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	}
	return pgtype.TextOID
}

func scanRow(rows *sql.Rows, width int) ([]any, error) {
	vals := make([]any, width)
	refs := make([]any, width)
	for pos := range vals {
		refs[pos] = &vals[pos]
	}
	return vals, rows.Scan(refs...)
}

// execute runs a portal. With describe it sends the row description first, as the
// simple query protocol requires.
func (co *conn) execute(ctx context.Context, po *portal, maxRows int, describe bool) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	co.mu.Lock()
	co.interrupt = stop
	co.mu.Unlock()
	if po.rows == nil {
		if done, err := co.transactionControl(ctx, po.st.sql); done || err != nil {
			return err
		}
	}
	if po.rows == nil {
		if err := co.prepareWrite(ctx, po.st.sql); err != nil {
			return err
		}
	}
	select {
	case co.se.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-co.se.slots }()
	if !internalPattern.MatchString(po.st.sql) {
		co.se.callerStatements.Add(1)
	}
	delay.Pause(ctx, co.se.opts.StatementCost+time.Duration(co.se.responseDelay.Load()))
	if po.rows != nil {
		return co.sendRows(po, nil, maxRows)
	}
	return co.executePortal(ctx, po, maxRows, describe)
}

// prepareWrite opens an implicit transaction for a statement that may write and is
// outside a transaction block. It waits for the writer lock before the statement takes a
// slot: in a real database, waiting for a lock occupies no slot either.
func (co *conn) prepareWrite(ctx context.Context, text string) error {
	if !mayWrite(text) {
		return nil
	}
	if !co.se.IsPrimary() || (co.readOnly && co.txStatus == 'T') {
		return pgError("25006", "cannot execute in a read-only transaction")
	}
	if co.txStatus != 'I' || co.implicit {
		return nil
	}
	if err := co.begin(ctx, false); err != nil {
		return err
	}
	co.implicit = true
	return nil
}

// transactionControl executes BEGIN, COMMIT and ROLLBACK, accepts and ignores SET,
// and refuses all other statements in a failed transaction. It returns false if the
// statement is still to be executed.
func (co *conn) transactionControl(ctx context.Context, text string) (bool, error) {
	tag := firstKeyword(text)
	switch tag {
	case "BEGIN", "START":
		if co.txStatus != 'I' {
			return true, co.sendComplete("BEGIN")
		}
		readOnly := strings.Contains(strings.ToUpper(text), "READ ONLY")
		if !co.implicit {
			if err := co.begin(ctx, readOnly); err != nil {
				return true, err
			}
		}
		co.implicit = false
		co.txStatus = 'T'
		return true, co.sendComplete("BEGIN")
	case "COMMIT", "END":
		if co.txStatus == 'E' {
			co.closePortals()
			co.rollback()
			return true, co.sendComplete("ROLLBACK")
		}
		if co.txStatus == 'T' {
			co.closePortals()
			if err := co.commit(); err != nil {
				return true, err
			}
		}
		return true, co.sendComplete("COMMIT")
	case "ROLLBACK", "ABORT":
		if strings.Contains(strings.ToUpper(text), " TO ") {
			co.txStatus = 'T'
			break
		}
		co.closePortals()
		if co.txStatus != 'I' || co.implicit {
			co.rollback()
		}
		return true, co.sendComplete("ROLLBACK")
	case "SET":
		return true, co.sendComplete("SET")
	}
	if co.txStatus == 'E' {
		return true, pgError("25P02", "current transaction is aborted")
	}
	return false, nil
}

func (co *conn) sendComplete(tag string) error {
	co.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// executePortal runs a portal's statement for the first time.
func (co *conn) executePortal(ctx context.Context, po *portal, maxRows int, describe bool) error {
	writes := mayWrite(po.st.sql)
	text, err := co.translateAndRun(ctx, po.st.sql)
	if err != nil {
		return err
	}
	if !returnsRows(po.st.sql) {
		return co.executeCommand(ctx, po, text, writes)
	}
	// The rows of a suspended portal are read after ctx is cancelled, so the query
	// must outlive ctx.
	po.rows, err = co.activeConn().QueryContext(context.WithoutCancel(ctx), text, anyArgs(po.args)...)
	if err != nil {
		return err
	}
	fields, first, err := describeRows(po.rows)
	if err != nil {
		return err
	}
	po.oids = make([]uint32, len(fields))
	for pos := range fields {
		po.oids[pos] = fields[pos].DataTypeOID
		fields[pos].Format = formatCode(po.formats, pos)
	}
	if describe {
		co.backend.Send(&pgproto3.RowDescription{Fields: fields})
	}
	if writes {
		co.pendingLog = append(co.pendingLog, LoggedStatement{SQL: text, Args: po.args})
	}
	return co.sendRows(po, first, maxRows)
}

// executeCommand runs a statement that returns no rows.
func (co *conn) executeCommand(ctx context.Context, po *portal, text string, writes bool) error {
	res, err := co.activeConn().ExecContext(ctx, text, anyArgs(po.args)...)
	if err != nil {
		return err
	}
	if writes {
		co.pendingLog = append(co.pendingLog, LoggedStatement{SQL: text, Args: po.args})
	}
	count, _ := res.RowsAffected()
	return co.sendComplete(commandTag(po.st.sql, count))
}

func commandTag(text string, count int64) string {
	verb := firstKeyword(text)
	switch verb {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", count)
	case "UPDATE", "DELETE", "SELECT":
		return fmt.Sprintf("%s %d", verb, count)
	case "CREATE", "DROP", "ALTER":
		words := strings.Fields(strings.ToUpper(text))
		return words[0] + " " + words[1]
	case "VALUES", "WITH":
		return fmt.Sprintf("SELECT %d", count)
	}
	return verb
}

func (co *conn) sendRows(po *portal, first []any, maxRows int) error {
	sent := 0
	for vals := first; ; vals = nil {
		if vals == nil {
			if !po.rows.Next() {
				break
			}
			var err error
			if vals, err = scanRow(po.rows, len(po.oids)); err != nil {
				return err
			}
		}
		if err := co.sendRow(po, vals); err != nil {
			return err
		}
		sent++
		po.rowCount++
		if maxRows > 0 && sent >= maxRows {
			co.backend.Send(&pgproto3.PortalSuspended{})
			return nil
		}
	}
	if err := po.rows.Err(); err != nil {
		return err
	}
	_ = po.rows.Close()
	return co.sendComplete(commandTag(po.st.sql, int64(po.rowCount)))
}

// rowsPerFlush is the number of rows after which a large result is flushed, to
// limit the size of the buffer.
const rowsPerFlush = 256

func (co *conn) sendRow(po *portal, vals []any) error {
	row := &pgproto3.DataRow{Values: make([][]byte, len(vals))}
	for pos, val := range vals {
		raw, err := co.encode(po.oids[pos], formatCode(po.formats, pos), val)
		if err != nil {
			return err
		}
		row.Values[pos] = raw
	}
	co.backend.Send(row)
	if po.rowCount%rowsPerFlush == rowsPerFlush-1 {
		co.flush()
	}
	return nil
}

func (co *conn) encode(oid uint32, format int16, val any) ([]byte, error) {
	if val == nil {
		return nil, nil
	}
	if oid == pgtype.BoolOID {
		if num, ok := val.(int64); ok {
			val = num != 0
		}
	}
	if oid == pgtype.TextOID {
		val = fmt.Sprint(val)
	}
	raw, err := co.types.Encode(oid, format, val, make([]byte, 0, 16))
	if err != nil {
		return nil, pgError("22P02", err.Error())
	}
	return raw, nil
}
