package class

import (
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"

	"banyanspring/core/codes"
)

// LocalPrefix is the prefix of the settings that the daemon which holds the
// session handles itself.
const LocalPrefix = "banyanspring."

func refuse(co codes.Code, detail string) Statement {
	return Statement{Kind: Refused, Refusal: codes.Refuse(co, "%s", detail)}
}

func classifyNode(node *pg_query.Node) Statement {
	switch stmt := node.GetNode().(type) {
	case *pg_query.Node_TransactionStmt:
		return classifyTransaction(stmt.TransactionStmt)
	case *pg_query.Node_VariableSetStmt:
		return classifySet(stmt.VariableSetStmt)
	case *pg_query.Node_VariableShowStmt:
		return classifyShow(stmt.VariableShowStmt)
	case *pg_query.Node_ListenStmt, *pg_query.Node_UnlistenStmt:
		return refuse(codes.Listen, "")
	case *pg_query.Node_CopyStmt:
		return refuse(codes.Copy, "")
	case *pg_query.Node_PrepareStmt, *pg_query.Node_ExecuteStmt:
		return refuse(codes.SQLPrepare, "")
	case *pg_query.Node_DeallocateStmt:
		return classifyDeallocate(stmt.DeallocateStmt)
	case *pg_query.Node_DiscardStmt:
		return Statement{Kind: Local, Setting: Setting{Name: "discard", Tag: "DISCARD ALL"}}
	case *pg_query.Node_LoadStmt:
		return refuse(codes.UnknownSet, "LOAD")
	case *pg_query.Node_DeclareCursorStmt:
		if stmt.DeclareCursorStmt.Options&cursorOptHold != 0 {
			return refuse(codes.HoldCursor, "")
		}
	}
	return classifyTree(node)
}

// cursorOptHold is CURSOR_OPT_HOLD of Postgres, set by DECLARE ... WITH HOLD.
const cursorOptHold = 0x0020

func classifyTransaction(stmt *pg_query.TransactionStmt) Statement {
	if stmt.Chain {
		return refuse(codes.TwoPhase, "AND CHAIN")
	}
	switch stmt.Kind {
	case pg_query.TransactionStmtKind_TRANS_STMT_BEGIN, pg_query.TransactionStmtKind_TRANS_STMT_START:
		if isReadOnly(stmt.Options) {
			return Statement{Kind: BeginReadOnly}
		}
		return Statement{Kind: Begin}
	case pg_query.TransactionStmtKind_TRANS_STMT_COMMIT:
		return Statement{Kind: Commit}
	case pg_query.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return Statement{Kind: Rollback}
	case pg_query.TransactionStmtKind_TRANS_STMT_PREPARE,
		pg_query.TransactionStmtKind_TRANS_STMT_COMMIT_PREPARED,
		pg_query.TransactionStmtKind_TRANS_STMT_ROLLBACK_PREPARED:
		return refuse(codes.TwoPhase, "")
	}
	return Statement{Kind: Write}
}

func isReadOnly(options []*pg_query.Node) bool {
	for _, opt := range options {
		elem := opt.GetDefElem()
		if elem.GetDefname() == "transaction_read_only" && elem.GetArg().GetAConst().GetIval().GetIval() != 0 {
			return true
		}
	}
	return false
}

// poolSafeSettings lists the settings that a session may set, each with the values
// that are allowed. All pooled connections have the same value of the setting, and
// the allowed values mean the same.
var poolSafeSettings = map[string][]string{
	"client_encoding":             {"utf8", "utf-8", "unicode"},
	"datestyle":                   {"iso", "iso, mdy", "iso,mdy"},
	"timezone":                    {"utc", "etc/utc"},
	"standard_conforming_strings": {"on"},
	"extra_float_digits":          {"1", "2", "3"},
	"intervalstyle":               {"postgres"},
}

// IsPoolSafe reports whether a session may set the name to the value without
// affecting pooled connections. The application name is always allowed, since
// the daemon handles it itself.
func IsPoolSafe(name, value string) bool {
	name = strings.ToLower(name)
	if name == "application_name" {
		return true
	}
	for _, allowed := range poolSafeSettings[name] {
		if strings.ToLower(value) == allowed {
			return true
		}
	}
	return false
}

func classifySet(stmt *pg_query.VariableSetStmt) Statement {
	name := strings.ToLower(stmt.Name)
	value := setValue(stmt.Args)
	isReset := stmt.Kind == pg_query.VariableSetKind_VAR_RESET || stmt.Kind == pg_query.VariableSetKind_VAR_SET_DEFAULT
	local := Statement{Kind: Local, Setting: Setting{Name: name, Value: value, Tag: "SET"}}
	if isReset {
		local.Setting.Value = ""
		local.Setting.Tag = "RESET"
	}
	switch {
	case strings.HasPrefix(name, LocalPrefix):
		return local
	case stmt.Kind == pg_query.VariableSetKind_VAR_RESET_ALL:
		return Statement{Kind: Local, Setting: Setting{Name: "discard", Tag: "RESET"}}
	case stmt.IsLocal:
		return Statement{Kind: Write}
	case name == "transaction":
		return Statement{Kind: Write}
	case IsPoolSafe(name, value) || (isReset && poolSafeSettings[name] != nil):
		return local
	}
	return refuse(codes.UnknownSet, name)
}

// setValue returns the values of a SET statement as text, separated by commas.
func setValue(args []*pg_query.Node) string {
	words := make([]string, 0, len(args))
	for _, arg := range args {
		con := arg.GetAConst()
		switch {
		case con.GetSval() != nil:
			words = append(words, con.GetSval().GetSval())
		case con.GetBoolval() != nil:
			words = append(words, map[bool]string{true: "on", false: "off"}[con.GetBoolval().GetBoolval()])
		case con.GetIval() != nil:
			words = append(words, itoa(con.GetIval().GetIval()))
		}
	}
	return strings.Join(words, ", ")
}

func classifyShow(stmt *pg_query.VariableShowStmt) Statement {
	name := strings.ToLower(stmt.Name)
	if strings.HasPrefix(name, LocalPrefix) {
		return Statement{Kind: Local, Setting: Setting{Name: name, Show: true, Tag: "SHOW"}}
	}
	return Statement{Kind: Read}
}

func classifyDeallocate(stmt *pg_query.DeallocateStmt) Statement {
	tag := "DEALLOCATE"
	if stmt.Name == "" {
		tag = "DEALLOCATE ALL"
	}
	return Statement{Kind: Local, Setting: Setting{Name: "deallocate", Value: stmt.Name, Tag: tag}}
}

// findings holds the result of a walk over a syntax tree.
type findings struct {
	refusal *codes.Refusal
	// mayWrite is true if the tree changes data, locks rows, or calls a function that
	// is not known to be read-only.
	mayWrite bool
	// isQuery is true if the root of the tree is a SELECT, or an EXPLAIN that does
	// not run one.
	isQuery bool
}

func classifyTree(node *pg_query.Node) Statement {
	fi := &findings{isQuery: isQuery(node)}
	fi.walk(node.ProtoReflect())
	if fi.refusal != nil {
		return Statement{Kind: Refused, Refusal: fi.refusal}
	}
	if fi.mayWrite || !fi.isQuery {
		return Statement{Kind: Write}
	}
	return Statement{Kind: Read}
}

// isQuery reports whether the statement is a SELECT, or an EXPLAIN of a SELECT
// without the option ANALYZE, with which EXPLAIN runs the statement.
func isQuery(node *pg_query.Node) bool {
	switch stmt := node.GetNode().(type) {
	case *pg_query.Node_SelectStmt:
		return true
	case *pg_query.Node_ExplainStmt:
		for _, opt := range stmt.ExplainStmt.Options {
			if opt.GetDefElem().GetDefname() == "analyze" {
				return false
			}
		}
		return isQuery(stmt.ExplainStmt.Query)
	}
	return false
}

func (fi *findings) walk(msg protoreflect.Message) {
	fi.visit(msg)
	msg.Range(func(fd protoreflect.FieldDescriptor, val protoreflect.Value) bool {
		if fd.Kind() != protoreflect.MessageKind {
			return true
		}
		if !fd.IsList() {
			fi.walk(val.Message())
			return true
		}
		list := val.List()
		for pos := range list.Len() {
			fi.walk(list.Get(pos).Message())
		}
		return true
	})
}

func (fi *findings) visit(msg protoreflect.Message) {
	switch node := msg.Interface().(type) {
	case *pg_query.InsertStmt, *pg_query.UpdateStmt, *pg_query.DeleteStmt, *pg_query.MergeStmt,
		*pg_query.LockingClause:
		fi.mayWrite = true
	case *pg_query.IntoClause:
		fi.mayWrite = true
		fi.checkTemporary(node.GetRel())
	case *pg_query.CreateStmt:
		fi.checkTemporary(node.GetRelation())
	case *pg_query.CreateSeqStmt:
		fi.checkTemporary(node.GetSequence())
	case *pg_query.ViewStmt:
		fi.checkTemporary(node.GetView())
	case *pg_query.FuncCall:
		fi.visitCall(node)
	}
}

// checkTemporary refuses the statement if the relation is temporary.
func (fi *findings) checkTemporary(rel *pg_query.RangeVar) {
	// "t" is RELPERSISTENCE_TEMP of Postgres.
	if rel.GetRelpersistence() == "t" {
		fi.refusal = codes.Refuse(codes.TemporaryTable, "%s", rel.GetRelname())
	}
}

func (fi *findings) visitCall(call *pg_query.FuncCall) {
	name, mayBeBuiltin := callName(call)
	switch {
	case sessionLocks[name]:
		fi.refusal = codes.Refuse(codes.SessionLock, "%s", name)
	case name == "set_config":
		fi.refusal = codes.Refuse(codes.UnknownSet, "%s", name)
	case !mayBeBuiltin || !readOnlyFunctions[name]:
		fi.mayWrite = true
	}
}

// callName returns the function's name without its schema, and whether the function
// may be a built-in one: the name is unqualified or its schema is pg_catalog.
func callName(call *pg_query.FuncCall) (string, bool) {
	parts := call.GetFuncname()
	if len(parts) == 0 {
		return "", false
	}
	name := strings.ToLower(parts[len(parts)-1].GetString_().GetSval())
	mayBeBuiltin := len(parts) == 1 || parts[0].GetString_().GetSval() == "pg_catalog"
	return name, mayBeBuiltin
}
