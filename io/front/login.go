package front

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"banyanspring/core/class"
	"banyanspring/core/codes"
	"banyanspring/core/docum"
	"banyanspring/core/event"
	"banyanspring/core/posn"
	"banyanspring/core/sessn"
)

// Names of the local settings, which this daemon answers itself.
const (
	settingToken       = class.LocalPrefix + "token"
	settingReportToken = class.LocalPrefix + "report_token"
	settingReadClass   = class.LocalPrefix + "read_class"
	settingRequestKey  = class.LocalPrefix + "request_key"
	settingDaemon      = class.LocalPrefix + "daemon"
)

// serveConn serves one connection from the handshake until it is closed.
func (fr *Front) serveConn(nc net.Conn) {
	// login may replace nc by a TLS connection, which must be the one closed.
	defer func() { _ = nc.Close() }()
	defer func() {
		if fault := recover(); fault != nil {
			event.Log(fr.log, event.SessionPanicked, "fault", fmt.Sprint(fault))
		}
	}()
	_ = nc.SetDeadline(fr.now().Add(fr.settings.LoginTimeout))
	se, err := fr.login(&nc)
	if err != nil {
		fr.refuseSession(nc, err)
		return
	}
	if se == nil {
		return
	}
	defer fr.unregister(se)
	_ = nc.SetDeadline(time.Time{})
	event.Log(fr.log, event.SessionOpened, "caller", se.caller.Name, "database", se.database)
	se.loop()
	event.Log(fr.log, event.SessionClosed, "caller", se.caller.Name, "database", se.database)
}

func (fr *Front) refuseSession(nc net.Conn, err error) {
	ref := codes.From(err)
	event.Log(fr.log, event.SessionRefused, "code", uint32(ref.Code), "detail", ref.Detail)
	raw, err := fatalResponse(ref, fr.now()).Encode(nil)
	if err == nil {
		_, _ = nc.Write(raw)
	}
}

// login runs the handshake and replaces the connection by a TLS one if the
// caller requests it. The session is nil if the connection carried only a cancel
// request or was closed.
func (fr *Front) login(nc *net.Conn) (*session, error) {
	sr := newStartupReader(*nc)
	be := newBackend(sr, *nc, fr.settings.MaxMessageBytes)
	hasAskedSSL, hasAskedGSS := false, false
	for {
		msg, err := be.ReceiveStartupMessage()
		if err != nil {
			return nil, codes.Refuse(codes.ProtocolViolation, "startup: %v", err)
		}
		switch msg := msg.(type) {
		case *pgproto3.GSSEncRequest:
			if err := checkEncryptionRequest(sr, hasAskedGSS); err != nil {
				return nil, err
			}
			hasAskedGSS = true
			if _, err := (*nc).Write([]byte("N")); err != nil {
				return nil, nil
			}
		case *pgproto3.SSLRequest:
			if err := checkEncryptionRequest(sr, hasAskedSSL); err != nil {
				return nil, err
			}
			hasAskedSSL = true
			next, err := fr.startTLS(*nc)
			if err != nil {
				return nil, nil
			}
			*nc, sr = next, newStartupReader(next)
			be = newBackend(sr, next, fr.settings.MaxMessageBytes)
		case *pgproto3.CancelRequest:
			fr.handleCancel(msg)
			return nil, nil
		case *pgproto3.StartupMessage:
			sr.isStarted = true
			return fr.startSession(*nc, be, msg)
		}
	}
}

// startupReader reads a connection so that a backend takes no byte behind a message until
// the session has started: the bytes behind a request for encryption are not lost, but
// seen.
type startupReader struct {
	nc net.Conn
	rd *bufio.Reader
	// isStarted is true once the backend may take any number of bytes.
	isStarted bool
}

// startupBufferBytes is the size of the buffer for startup messages; most are shorter.
const startupBufferBytes = 256

func newStartupReader(nc net.Conn) *startupReader {
	return &startupReader{nc: nc, rd: bufio.NewReaderSize(nc, startupBufferBytes)}
}

// Read implements io.Reader.
func (sr *startupReader) Read(buf []byte) (int, error) {
	switch {
	case sr.isStarted && sr.rd.Buffered() == 0:
		return sr.nc.Read(buf)
	case !sr.isStarted && len(buf) > 1:
		buf = buf[:1]
	}
	return sr.rd.Read(buf)
}

// checkEncryptionRequest refuses a second request for the same encryption, and one that
// came with other bytes: they were sent before the answer, and someone between the caller
// and this daemon may have added them.
func checkEncryptionRequest(sr *startupReader, isRepeated bool) error {
	if isRepeated {
		return codes.Refuse(codes.ProtocolViolation, "second request for encryption")
	}
	if sr.rd.Buffered() > 0 {
		return codes.Refuse(codes.ProtocolViolation, "data behind a request for encryption")
	}
	return nil
}

func newBackend(rd io.Reader, nc net.Conn, maxBytes int) *pgproto3.Backend {
	be := pgproto3.NewBackend(rd, nc)
	be.SetMaxBodyLen(maxBytes)
	return be
}

func (fr *Front) startTLS(nc net.Conn) (net.Conn, error) {
	if fr.tls == nil {
		_, err := nc.Write([]byte("N"))
		return nc, err
	}
	if _, err := nc.Write([]byte("S")); err != nil {
		return nil, err
	}
	secure := tls.Server(nc, fr.tls)
	return secure, secure.Handshake()
}

// handleCancel cancels the session's request here, or forwards the cancel request
// if the process id has the prefix of another daemon.
func (fr *Front) handleCancel(msg *pgproto3.CancelRequest) {
	if len(msg.SecretKey) != 4 {
		return
	}
	secret := binary.BigEndian.Uint32(msg.SecretKey)
	if fr.Cancel(msg.ProcessID, secret) {
		return
	}
	if PrefixOfPID(msg.ProcessID) == fr.pidPrefix {
		return
	}
	event.Log(fr.log, event.CancelForwarded, "pid", msg.ProcessID)
	ctx, cancel := context.WithTimeout(context.Background(), fr.settings.LoginTimeout)
	defer cancel()
	fr.cluster.ForwardCancel(ctx, msg.ProcessID, secret)
}

// startSession authenticates the caller and registers the session. The session
// is nil if the connection was closed.
func (fr *Front) startSession(nc net.Conn, be *pgproto3.Backend, msg *pgproto3.StartupMessage) (*session, error) {
	if _, secure := nc.(*tls.Conn); fr.settings.TLSRequired && !secure {
		return nil, codes.Refuse(codes.TLSRequired, "")
	}
	if fr.isLeaving() {
		return nil, codes.Refuse(codes.ShuttingDown, "")
	}
	database := msg.Parameters["database"]
	target, err := fr.cluster.Document().Document.GetTargetByName(database)
	if err != nil {
		return nil, codes.Refuse(codes.UnknownDatabase, "%q", database)
	}
	caller, ok := target.Service.GetCallerByName(msg.Parameters["user"])
	if !ok {
		return nil, codes.Refuse(codes.CallerNotListed, "%q", msg.Parameters["user"])
	}
	if err := authenticate(be, caller); err != nil {
		return nil, err
	}
	se := &session{
		front:    fr,
		net:      nc,
		backend:  be,
		database: strings.Clone(database),
		caller:   caller,
		state:    sessn.New(fr.now()),
		pid:      fr.newPID(),
		secret:   newSecret(),
	}
	if err := se.applyStartupParams(msg.Parameters); err != nil {
		return nil, err
	}
	if err := fr.register(se, target); err != nil {
		return nil, err
	}
	if err := se.finishHandshake(); err != nil {
		fr.unregister(se)
		return nil, nil
	}
	return se, nil
}

// register adds the session if the limits of this daemon and of the caller allow
// it.
func (fr *Front) register(se *session, target docum.Target) error {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	if len(fr.sessions) >= fr.settings.MaxSessions {
		return codes.Refuse(codes.TooManySessions, "%d sessions on this daemon", len(fr.sessions))
	}
	name := se.callerKey(target.Service.Name)
	if fr.sessionsPerCaller[name] >= target.Service.Limits.SessionsPerCaller {
		return codes.Refuse(codes.TooManySessions, "%d sessions of caller %q", fr.sessionsPerCaller[name], se.caller.Name)
	}
	se.service = target.Service.Name
	fr.sessionsPerCaller[name]++
	fr.sessions[se.pid] = se
	return nil
}

func (fr *Front) unregister(se *session) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	delete(fr.sessions, se.pid)
	name := se.callerKey(se.service)
	fr.sessionsPerCaller[name]--
	if fr.sessionsPerCaller[name] <= 0 {
		delete(fr.sessionsPerCaller, name)
	}
}

// saslMechanism is the only SASL mechanism offered.
const saslMechanism = "SCRAM-SHA-256"

// authenticate checks the caller's password against its verifier by
// SCRAM-SHA-256.
func authenticate(be *pgproto3.Backend, caller docum.Caller) error {
	stored, err := parseVerifier(caller.Verifier)
	if err != nil {
		return codes.Refuse(codes.Internal, "verifier of %q: %v", caller.Name, err)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return codes.Refuse(codes.Internal, "%v", err)
	}
	be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}})
	if err := be.Flush(); err != nil {
		return codes.Refuse(codes.ProtocolViolation, "%v", err)
	}
	return runSCRAM(be, server.NewConversation(), caller)
}

// runSCRAM exchanges the messages of one SCRAM conversation.
func runSCRAM(be *pgproto3.Backend, conv *scram.ServerConversation, caller docum.Caller) error {
	first, err := receiveSASL(be, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	challenge, err := conv.Step(first)
	if err != nil {
		return codes.Refuse(codes.BadPassword, "caller %q", caller.Name)
	}
	be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := be.Flush(); err != nil {
		return codes.Refuse(codes.ProtocolViolation, "%v", err)
	}
	final, err := receiveSASL(be, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	proof, err := conv.Step(final)
	if err != nil || !conv.Valid() {
		return codes.Refuse(codes.BadPassword, "caller %q", caller.Name)
	}
	be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	be.Send(&pgproto3.AuthenticationOk{})
	return nil
}

func receiveSASL(be *pgproto3.Backend, phase uint32) (string, error) {
	if err := be.SetAuthType(phase); err != nil {
		return "", codes.Refuse(codes.Internal, "%v", err)
	}
	msg, err := be.Receive()
	if err != nil {
		return "", codes.Refuse(codes.ProtocolViolation, "login: %v", err)
	}
	switch msg := msg.(type) {
	case *pgproto3.SASLInitialResponse:
		if msg.AuthMechanism != saslMechanism {
			return "", codes.Refuse(codes.ProtocolViolation, "mechanism %q is not served", msg.AuthMechanism)
		}
		return string(msg.Data), nil
	case *pgproto3.SASLResponse:
		return string(msg.Data), nil
	}
	return "", codes.Refuse(codes.ProtocolViolation, "unexpected %T in login", msg)
}

// applyStartupParams applies the settings of the startup message.
func (se *session) applyStartupParams(params map[string]string) error {
	for name, value := range params {
		switch name {
		case "user", "database":
			continue
		case "options":
			if err := se.applyOptions(value); err != nil {
				return err
			}
			continue
		}
		if err := se.applySetting(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

// applyOptions applies settings of the form "-c name=value" or "-cname=value".
func (se *session) applyOptions(text string) error {
	words := strings.Fields(text)
	for pos := 0; pos < len(words); pos++ {
		word := strings.TrimPrefix(words[pos], "-c")
		if word == "" && pos+1 < len(words) {
			pos++
			word = words[pos]
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return codes.Refuse(codes.UnknownSet, "options %q", text)
		}
		if err := se.applySetting(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

// applySetting applies one setting to the session. Settings that are not local
// are refused unless they have no effect on a pooled connection.
func (se *session) applySetting(name, value string) error {
	switch name {
	case settingToken:
		minPos, err := posn.Parse(value)
		if err != nil {
			return codes.Refuse(codes.BadToken, "%q", value)
		}
		se.state = se.state.WithToken(minPos)
	case settingReportToken:
		se.reportToken = value == "on" || value == "true"
	case settingReadClass:
		return se.setReadClass(value)
	case settingRequestKey:
		se.state = se.state.WithRequestKey(value)
	default:
		if !class.IsPoolSafe(name, value) {
			return codes.Refuse(codes.UnknownSet, "%s = %q", name, value)
		}
	}
	return nil
}

func (se *session) setReadClass(name string) error {
	target, err := se.front.cluster.Document().Document.GetTargetByName(se.database)
	if err != nil {
		return codes.Refuse(codes.UnknownDatabase, "%q", se.database)
	}
	if _, ok := target.Service.GetClassByName(name); !ok {
		return codes.Refuse(codes.BadSetting, "service %q has no read class %q", target.Service.Name, name)
	}
	se.state = se.state.WithReadClass(name)
	return nil
}

// finishHandshake sends the server parameters, the cancel key and ReadyForQuery.
func (se *session) finishHandshake() error {
	params := []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "16.0 (banyanspring)"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
	}
	for pos := range params {
		se.backend.Send(&params[pos])
	}
	key := binary.BigEndian.AppendUint32(nil, se.secret)
	se.backend.Send(&pgproto3.BackendKeyData{ProcessID: se.pid, SecretKey: key})
	se.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return se.backend.Flush()
}
