package front

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"banyanspring/core/class"
	"banyanspring/core/codes"
	"banyanspring/io/frame"
)

// localQuery answers a local statement in the simple query protocol.
func (se *session) localQuery(set class.Setting) error {
	if err := se.applyLocal(set); err != nil {
		return se.refuseUnit(codes.From(err), true)
	}
	if set.Show {
		se.bufferMessage(showColumns(set))
	}
	se.bufferLocalResult(set)
	return se.sendReady()
}

// localBatch answers an extended-protocol batch of local statements.
func (se *session) localBatch(un *unit) error {
	for raw := un.messages; len(raw) > 0; {
		msg, size, err := frame.Decode(raw)
		if err != nil {
			return err
		}
		raw = raw[size:]
		if err := se.localMessage(un, msg); err != nil {
			return se.refuseUnit(codes.From(err), true)
		}
	}
	return se.sendReady()
}

func (se *session) localMessage(un *unit, msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		// A batch may bind a name to several statements in turn, so names are
		// tracked again while the messages are answered in order.
		if err := se.trackNames(un, msg); err != nil {
			return err
		}
		se.bufferMessage(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		if err := se.trackNames(un, msg); err != nil {
			return err
		}
		se.bufferMessage(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		se.localDescribe(un, msg)
	case *pgproto3.Execute:
		pr := se.portals[msg.Portal]
		if pr == nil || pr.classified.Kind() != class.Local {
			return codes.Refuse(codes.LocalInBatch, "portal %q", msg.Portal)
		}
		set := pr.classified.Statements[0].Setting
		if err := se.applyLocal(set); err != nil {
			return err
		}
		se.bufferLocalResult(set)
	case *pgproto3.Close:
		se.bufferMessage(&pgproto3.CloseComplete{})
	}
	return nil
}

func (se *session) localDescribe(un *unit, msg *pgproto3.Describe) {
	pr := se.portals[msg.Name]
	if msg.ObjectType == 'S' {
		se.bufferMessage(&pgproto3.ParameterDescription{})
		pr, _ = se.findStatement(un, msg.Name)
	}
	if pr == nil || pr.classified.Kind() != class.Local || !pr.classified.Statements[0].Setting.Show {
		se.bufferMessage(&pgproto3.NoData{})
		return
	}
	se.bufferMessage(showColumns(pr.classified.Statements[0].Setting))
}

func showColumns(set class.Setting) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(set.Name),
		DataTypeOID:  pgtype.TextOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

func (se *session) bufferLocalResult(set class.Setting) {
	if set.Show {
		se.bufferMessage(&pgproto3.DataRow{Values: [][]byte{[]byte(se.show(set.Name))}})
	}
	se.bufferMessage(&pgproto3.CommandComplete{CommandTag: []byte(set.Tag)})
}

// show returns the value of a local setting.
func (se *session) show(name string) string {
	switch name {
	case settingToken:
		if se.state.MinPosition.IsZero() {
			return ""
		}
		return se.state.MinPosition.String()
	case settingReportToken:
		if se.reportToken {
			return "on"
		}
		return "off"
	case settingReadClass:
		return se.state.ReadClass
	case settingRequestKey:
		return se.state.RequestKey
	case settingDaemon:
		return se.front.site.Region + "/" + se.front.site.Domain
	}
	return ""
}

// applyLocal applies a SET, RESET, DEALLOCATE or DISCARD to the session.
func (se *session) applyLocal(set class.Setting) error {
	switch {
	case set.Show:
		return nil
	case set.Name == "deallocate" && set.Value != "":
		delete(se.statements, set.Value)
		return nil
	case set.Name == "deallocate":
		se.statements = nil
		return nil
	case set.Name == "discard":
		se.statements = nil
		se.state = se.state.WithReadClass("").WithRequestKey("")
		return nil
	case set.Name == settingToken && set.Value == "":
		return nil
	}
	if set.Tag == "RESET" && set.Name != settingReadClass && set.Name != settingRequestKey {
		return nil
	}
	return se.applySetting(set.Name, set.Value)
}

// runAfterLoss answers a unit in a transaction whose stream was lost. Only COMMIT
// and ROLLBACK are accepted; both end the transaction as rolled back.
func (se *session) runAfterLoss(un *unit) error {
	if !un.isSingle(class.Commit) && !un.isSingle(class.Rollback) {
		return se.refuseUnit(codes.Refuse(codes.TransactionFailed, ""), un.expectsReady)
	}
	se.unpin()
	for raw := un.messages; len(raw) > 0; {
		msg, size, err := frame.Decode(raw)
		if err != nil {
			return err
		}
		raw = raw[size:]
		se.answerAfterLoss(msg)
	}
	return se.finishReply(un.expectsReady)
}

// answerAfterLoss answers one message of the unit that ends a lost transaction.
func (se *session) answerAfterLoss(msg pgproto3.FrontendMessage) {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		se.bufferMessage(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		se.bufferMessage(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if msg.ObjectType == 'S' {
			se.bufferMessage(&pgproto3.ParameterDescription{})
		}
		se.bufferMessage(&pgproto3.NoData{})
	case *pgproto3.Execute, *pgproto3.Query:
		se.bufferMessage(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case *pgproto3.Close:
		se.bufferMessage(&pgproto3.CloseComplete{})
	}
}
