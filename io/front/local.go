package front

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"banyanspring/core/class"
	"banyanspring/core/codes"
	"banyanspring/io/frame"
)

// localQuery answers a SET or SHOW in the simple protocol.
func (se *session) localQuery(set class.Setting) error {
	if err := se.applyLocal(set); err != nil {
		return se.refuseUnit(codes.From(err), true)
	}
	if set.Show {
		se.put(showColumns(set))
	}
	se.putLocalResult(set)
	return se.ready()
}

// localBatch answers an extended batch of settings.
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
	return se.ready()
}

func (se *session) localMessage(un *unit, msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		// Names may be used again within a batch: follow them once more.
		if err := se.note(un, msg); err != nil {
			return err
		}
		se.put(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		if err := se.note(un, msg); err != nil {
			return err
		}
		se.put(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		se.localDescribe(un, msg)
	case *pgproto3.Execute:
		pr := se.portals[msg.Portal]
		if pr == nil || pr.batch.Kind() != class.Local {
			return codes.Refuse(codes.LocalInBatch, "portal %q", msg.Portal)
		}
		set := pr.batch.Statements[0].Setting
		if err := se.applyLocal(set); err != nil {
			return err
		}
		se.putLocalResult(set)
	case *pgproto3.Close:
		se.put(&pgproto3.CloseComplete{})
	}
	return nil
}

func (se *session) localDescribe(un *unit, msg *pgproto3.Describe) {
	pr := se.portals[msg.Name]
	if msg.ObjectType == 'S' {
		se.put(&pgproto3.ParameterDescription{})
		pr, _ = se.lookup(un, msg.Name)
	}
	if pr == nil || pr.batch.Kind() != class.Local || !pr.batch.Statements[0].Setting.Show {
		se.put(&pgproto3.NoData{})
		return
	}
	se.put(showColumns(pr.batch.Statements[0].Setting))
}

func showColumns(set class.Setting) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(set.Name),
		DataTypeOID:  pgtype.TextOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

func (se *session) putLocalResult(set class.Setting) {
	if set.Show {
		se.put(&pgproto3.DataRow{Values: [][]byte{[]byte(se.show(set.Name))}})
	}
	se.put(&pgproto3.CommandComplete{CommandTag: []byte(set.Tag)})
}

// show returns the value of a setting that the entry answers.
func (se *session) show(name string) string {
	switch name {
	case settingToken:
		if se.state.Floor.IsZero() {
			return ""
		}
		return se.state.Floor.String()
	case settingTokens:
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

// applyLocal changes what a SET, RESET, DEALLOCATE or DISCARD asks for.
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

// runDead answers a unit in a transaction that was lost: only its end is taken.
func (se *session) runDead(un *unit) error {
	if !un.isSingle(class.Commit) && !un.isSingle(class.Rollback) {
		return se.refuseUnit(codes.Refuse(codes.TransactionFailed, ""), un.syncs)
	}
	se.dropHeld()
	for raw := un.messages; len(raw) > 0; {
		msg, size, err := frame.Decode(raw)
		if err != nil {
			return err
		}
		raw = raw[size:]
		se.deadMessage(msg)
	}
	return se.finish(un.syncs)
}

func (se *session) deadMessage(msg pgproto3.FrontendMessage) {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		se.put(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		se.put(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if msg.ObjectType == 'S' {
			se.put(&pgproto3.ParameterDescription{})
		}
		se.put(&pgproto3.NoData{})
	case *pgproto3.Execute, *pgproto3.Query:
		se.put(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case *pgproto3.Close:
		se.put(&pgproto3.CloseComplete{})
	}
}
