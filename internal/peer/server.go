// Package peer transports calls between nodes and from operators over HTTP/1.1 or h2c, in the formats of the Connect protocol,
// which include plain JSON as curl sends it. A Server hands calls to a Node; a Client sends them to one peer. A Client
// implements Node, so a call is forwarded by handing it to the Client of the peer it is meant for. Nothing runs before Serve or
// NewClient.
package peer

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"mime"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenhitch/internal/peer/peerpb"
	"lichenhitch/internal/peer/peerpb/peerpbconnect"
)

// Node executes calls. Each method returns at once and later calls done exactly once, from any goroutine, with a reply or an
// error. The error is an *Error, or has an Action method if an operator can do something about it. A Node must not retain q
// after calling done.
type Node interface {
	Renew(q *peerpb.RenewRequest, done func(*peerpb.RenewReply, error))
	Raft(q *peerpb.RaftRequest, done func(*peerpb.RaftReply, error))
	Replay(q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply, error))
	Ask(q *peerpb.AskRequest, done func(*peerpb.TurnReply, error))
	Begin(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error))
	Done(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error))
	Withdraw(q *peerpb.TurnRequest, done func(*peerpb.TurnReply, error))
	Turns(q *peerpb.TurnsRequest, done func(*peerpb.TurnsReply, error))
	Write(q *peerpb.WriteRequest, done func(*peerpb.WriteReply, error))
	Read(q *peerpb.ReadRequest, done func(*peerpb.ReadReply, error))
	DeclareDead(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error))
	TakeIn(q *peerpb.DeclareRequest, done func(*peerpb.DeclareReply, error))
	Vouch(q *peerpb.VouchRequest, done func(*peerpb.SeatReply, error))
	FoundAnew(q *peerpb.FoundRequest, done func(*peerpb.SeatReply, error))
	StartPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error))
	HaltPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error))
	ResumePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error))
	ForcePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error))
	Policies(q *peerpb.PoliciesRequest, done func(*peerpb.PoliciesReply, error))
}

// Limits limits a Server. A zero field takes its default.
type Limits struct {
	MaxConns      int           // open connections, one descriptor each; further ones are closed at once; default 128
	MaxCalls      int           // concurrent calls, separately for nodes and for operators; default 32
	MaxBody       int           // of a request, in bytes; default 1 MiB
	CallTimeout   time.Duration // for receiving a request body, and again for producing the reply; default 5 s
	HeaderTimeout time.Duration // for receiving the header of a request; default 2 s
	IdleTimeout   time.Duration // of a connection between calls; default 60 s
}

func (l Limits) orDefaults() Limits {
	return Limits{
		MaxConns: cmp.Or(l.MaxConns, ServerConns), MaxCalls: cmp.Or(l.MaxCalls, 32), MaxBody: cmp.Or(l.MaxBody, 1<<20),
		CallTimeout: cmp.Or(l.CallTimeout, 5*time.Second), HeaderTimeout: cmp.Or(l.HeaderTimeout, 2*time.Second),
		IdleTimeout: cmp.Or(l.IdleTimeout, time.Minute),
	}
}

const (
	// ServerConns is the default of Limits.MaxConns.
	ServerConns = 128

	maxHeaderBytes = 16 << 10    // of a request or reply, in bytes
	closeGrace     = time.Second // for sending the remaining replies at Close
)

// Server accepts calls at an address.
type Server struct {
	node    Node
	limits  Limits
	ln      net.Listener
	http    *http.Server
	closing chan struct{}
	close   sync.Once
	served  chan struct{} // closed when the server no longer accepts connections
}

// Serve listens at addr (with port 0, at any free port) and hands calls to n until Close.
func Serve(addr string, n Node, limits Limits) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Kind: Unreachable, Message: fmt.Sprintf("cannot listen at %s: %v", addr, err), Err: err,
			Remedy: "set listen to an address of this machine with an unused port"}
	}
	s := &Server{node: n, limits: limits.orDefaults(), closing: make(chan struct{}), served: make(chan struct{})}
	s.ln = &limitedListener{Listener: ln, slots: make(chan struct{}, s.limits.MaxConns)}
	options := []connect.HandlerOption{
		connect.WithReadMaxBytes(s.limits.MaxBody), connect.WithCompression("gzip", nil, nil), connect.WithCodec(strictJSON{}),
		connect.WithRecover(func(_ context.Context, spec connect.Spec, _ http.Header, p any) error {
			return wireError(spec.Procedure, fmt.Errorf("panic: %v", p))
		}),
	}
	mux := http.NewServeMux()
	_, councilHandler := peerpbconnect.NewCouncilHandler(callHandler{s}, options...)
	_, deskHandler := peerpbconnect.NewDeskHandler(callHandler{s}, options...)
	s.register(mux, peerpbconnect.CouncilName, councilHandler)
	s.register(mux, peerpbconnect.DeskName, deskHandler)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, r, &Error{Kind: Unknown, Message: "no such path",
			Remedy: "POST to a path such as /lichenhitch.peer.Desk/Ask or /lichenhitch.peer.Desk/Turns"})
	})
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler: mux, Protocols: &protocols, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 2 * s.limits.MaxCalls},
		ReadHeaderTimeout: s.limits.HeaderTimeout, IdleTimeout: s.limits.IdleTimeout,
		WriteTimeout: 3 * s.limits.CallTimeout, // counted from the header: receiving the body, producing the reply, sending it
	}
	go func() {
		defer close(s.served)
		_ = s.http.Serve(s.ln) // always returns ErrServerClosed or the error of a closed listener
	}()
	return s, nil
}

// Addr returns the address that the server listens at.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close answers pending calls with an error that the node is stopping. It returns within a second, whatever the callers do.
func (s *Server) Close() {
	s.close.Do(func() {
		close(s.closing)
		ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
		defer cancel()
		if s.http.Shutdown(ctx) != nil {
			_ = s.http.Close()
		}
	})
	<-s.served
}

// register adds the handler of one service, with its own limit of concurrent calls: calls of nodes and of operators are limited
// separately.
func (s *Server) register(mux *http.ServeMux, service protoreflect.FullName, handler http.Handler) {
	handler = s.limit(handler)
	methods := peerpb.File_internal_peer_peerpb_peer_proto.Services().ByName(service.Name()).Methods()
	for i := range methods.Len() {
		mux.Handle("/"+string(service)+"/"+string(methods.Get(i).Name()), handler)
	}
}

// limit limits the number of concurrent calls and the size of their bodies, and rejects requests that are not calls.
func (s *Server) limit(next http.Handler) http.Handler {
	slots := make(chan struct{}, s.limits.MaxCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			refuse(w, r, &Error{Kind: Busy, Message: fmt.Sprintf("%d calls are pending already", s.limits.MaxCalls),
				Remedy: "call again shortly, or " + remedyOtherNode})
			return
		}
		kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
		if r.Method != http.MethodPost || kind != "application/json" && kind != "application/proto" && !strings.HasPrefix(kind, "application/grpc") {
			refuse(w, r, &Error{Kind: Invalid, Message: "not a call", Remedy: "POST one JSON object with the header Content-Type: application/json"})
			return
		}
		body, err := s.readBody(w, r)
		if err != nil {
			refuse(w, r, err)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// readBody reads a complete request body.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(s.limits.CallTimeout)) // supported for HTTP/1.1 and HTTP/2
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.limits.MaxBody)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &Error{Kind: Invalid, Message: fmt.Sprintf("the body has more than %d bytes", s.limits.MaxBody), Remedy: "send less in one call"}
	case err != nil:
		return nil, &Error{Kind: Invalid, Message: "incomplete body: " + err.Error(), Err: err,
			Remedy: fmt.Sprintf("send the complete body within %v", s.limits.CallTimeout)}
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// refuse answers a call that is not handed to the Node.
func refuse(w http.ResponseWriter, r *http.Request, e *Error) {
	e.Call = r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	_ = connect.NewErrorWriter().Write(w, r, wireError("", e)) // the caller may have disconnected
}

// limitedListener closes new connections at once while the limit of connections is reached.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// strictJSON is a JSON codec that rejects unknown fields: an operator's typing error would otherwise be ignored silently.
type strictJSON struct{}

func (strictJSON) Name() string { return "json" }

func (strictJSON) Marshal(v any) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(v.(proto.Message))
}

func (strictJSON) Unmarshal(raw []byte, v any) error {
	if err := protojson.Unmarshal(raw, v.(proto.Message)); err != nil {
		m := v.(proto.Message).ProtoReflect().Descriptor()
		names := ""
		for i := range m.Fields().Len() {
			if f := m.Fields().Get(i); f.TextName() != "forwarded" {
				names += " " + f.TextName()
			}
		}
		return fmt.Errorf("%w%ssend one JSON object; its keys are:%s", err, remedyMarker, names)
	}
	return nil
}

// callHandler hands the requests decoded by connect to the Node.
type callHandler struct{ *Server }

func dispatch[Q, A any](ctx context.Context, s *Server, name string, req *connect.Request[Q],
	call func(*Q, func(*A, error))) (*connect.Response[A], error) {
	type answer struct {
		reply *A
		err   error
	}
	result := make(chan answer, 1)
	timer := time.NewTimer(s.limits.CallTimeout)
	defer timer.Stop()
	call(req.Msg, func(reply *A, err error) {
		select {
		case result <- answer{reply, err}:
		default: // done was called twice
		}
	})
	select {
	case a := <-result:
		if a.err == nil && a.reply == nil {
			a.err = errors.New("the node returned neither a reply nor an error")
		}
		if a.err != nil {
			return nil, wireError(name, a.err)
		}
		return connect.NewResponse(a.reply), nil
	case <-s.closing:
		return nil, wireError("", closedError(name))
	case <-timer.C:
	case <-ctx.Done(): // the caller disconnected or its deadline passed
	}
	return nil, wireError("", timeoutError(name, s.limits.CallTimeout))
}

// Renew implements peerpbconnect.CouncilHandler, like the next two methods.
func (c callHandler) Renew(ctx context.Context, q *connect.Request[peerpb.RenewRequest]) (*connect.Response[peerpb.RenewReply], error) {
	return dispatch(ctx, c.Server, "Renew", q, c.node.Renew)
}

func (c callHandler) Raft(ctx context.Context, q *connect.Request[peerpb.RaftRequest]) (*connect.Response[peerpb.RaftReply], error) {
	return dispatch(ctx, c.Server, "Raft", q, c.node.Raft)
}

func (c callHandler) Replay(ctx context.Context, q *connect.Request[peerpb.ReplayRequest]) (*connect.Response[peerpb.ReplayReply], error) {
	return dispatch(ctx, c.Server, "Replay", q, c.node.Replay)
}

// Ask implements peerpbconnect.DeskHandler, like the methods below.
func (c callHandler) Ask(ctx context.Context, q *connect.Request[peerpb.AskRequest]) (*connect.Response[peerpb.TurnReply], error) {
	return dispatch(ctx, c.Server, "Ask", q, c.node.Ask)
}

func (c callHandler) Begin(ctx context.Context, q *connect.Request[peerpb.TurnRequest]) (*connect.Response[peerpb.TurnReply], error) {
	return dispatch(ctx, c.Server, "Begin", q, c.node.Begin)
}

func (c callHandler) Done(ctx context.Context, q *connect.Request[peerpb.TurnRequest]) (*connect.Response[peerpb.TurnReply], error) {
	return dispatch(ctx, c.Server, "Done", q, c.node.Done)
}

func (c callHandler) Withdraw(ctx context.Context, q *connect.Request[peerpb.TurnRequest]) (*connect.Response[peerpb.TurnReply], error) {
	return dispatch(ctx, c.Server, "Withdraw", q, c.node.Withdraw)
}

func (c callHandler) Turns(ctx context.Context, q *connect.Request[peerpb.TurnsRequest]) (*connect.Response[peerpb.TurnsReply], error) {
	return dispatch(ctx, c.Server, "Turns", q, c.node.Turns)
}

func (c callHandler) Write(ctx context.Context, q *connect.Request[peerpb.WriteRequest]) (*connect.Response[peerpb.WriteReply], error) {
	return dispatch(ctx, c.Server, "Write", q, c.node.Write)
}

func (c callHandler) Read(ctx context.Context, q *connect.Request[peerpb.ReadRequest]) (*connect.Response[peerpb.ReadReply], error) {
	return dispatch(ctx, c.Server, "Read", q, c.node.Read)
}

func (c callHandler) DeclareDead(ctx context.Context, q *connect.Request[peerpb.DeclareRequest]) (*connect.Response[peerpb.DeclareReply], error) {
	return dispatch(ctx, c.Server, "DeclareDead", q, c.node.DeclareDead)
}

func (c callHandler) TakeIn(ctx context.Context, q *connect.Request[peerpb.DeclareRequest]) (*connect.Response[peerpb.DeclareReply], error) {
	return dispatch(ctx, c.Server, "TakeIn", q, c.node.TakeIn)
}

func (c callHandler) Vouch(ctx context.Context, q *connect.Request[peerpb.VouchRequest]) (*connect.Response[peerpb.SeatReply], error) {
	return dispatch(ctx, c.Server, "Vouch", q, c.node.Vouch)
}

func (c callHandler) FoundAnew(ctx context.Context, q *connect.Request[peerpb.FoundRequest]) (*connect.Response[peerpb.SeatReply], error) {
	return dispatch(ctx, c.Server, "FoundAnew", q, c.node.FoundAnew)
}

func (c callHandler) StartPolicy(ctx context.Context, q *connect.Request[peerpb.PolicyRequest]) (*connect.Response[peerpb.PolicyReply], error) {
	return dispatch(ctx, c.Server, "StartPolicy", q, c.node.StartPolicy)
}

func (c callHandler) HaltPolicy(ctx context.Context, q *connect.Request[peerpb.PolicyRequest]) (*connect.Response[peerpb.PolicyReply], error) {
	return dispatch(ctx, c.Server, "HaltPolicy", q, c.node.HaltPolicy)
}

func (c callHandler) ResumePolicy(ctx context.Context, q *connect.Request[peerpb.PolicyRequest]) (*connect.Response[peerpb.PolicyReply], error) {
	return dispatch(ctx, c.Server, "ResumePolicy", q, c.node.ResumePolicy)
}

func (c callHandler) ForcePolicy(ctx context.Context, q *connect.Request[peerpb.PolicyRequest]) (*connect.Response[peerpb.PolicyReply], error) {
	return dispatch(ctx, c.Server, "ForcePolicy", q, c.node.ForcePolicy)
}

func (c callHandler) Policies(ctx context.Context, q *connect.Request[peerpb.PoliciesRequest]) (*connect.Response[peerpb.PoliciesReply], error) {
	return dispatch(ctx, c.Server, "Policies", q, c.node.Policies)
}
