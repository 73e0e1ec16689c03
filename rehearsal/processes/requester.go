package processes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lichenhitch/internal/peer/peerpb"
)

// Op is one API call as its requester observed it.
type Op struct {
	Requester, Node string
	Kind            string         // name of the API call: Ask, Begin, Done, Withdraw, Turns, ...
	ID, Host        string         // of the turn; Host is "" if the call did not name one
	Call, Return    time.Duration  // on the world's clock; Return is 0 if no reply was received
	Observed        []ObservedTurn // the turns in the reply
	Error           string         // the error of the call; "" if it succeeded
}

// ObservedTurn is a turn as contained in a reply.
type ObservedTurn struct {
	ID, Host, Phase string
	Round           uint64
}

// History records the calls of all requesters.
type History struct {
	w   *World
	mu  sync.Mutex
	ops []Op
}

// Ops returns the finished calls so far, in the order in which they finished.
func (h *History) Ops() []Op {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.ops)
}

func (h *History) record(op Op) {
	h.mu.Lock()
	h.ops = append(h.ops, op)
	h.mu.Unlock()
	h.w.changes.notify()
}

// APIError is an error reply of a node.
type APIError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (e *APIError) Error() string { return e.Code + ": " + e.Message }

// Requester requests turns, does the work on hosts, or acts as an operator. It calls nodes in plain JSON over HTTP, as curl
// would.
type Requester struct {
	Name  string
	Nodes []string // nodes that Work calls; all if nil
	w     *World
	api   operatorClient

	mu  sync.Mutex
	rng *rand.Rand
}

// operatorClient calls the operator API in plain JSON over HTTP.
type operatorClient struct{ http http.Client }

func newOperatorClient() operatorClient {
	return operatorClient{http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

const (
	// A node replies within peer.Limits.CallTimeout (5 s), if only to report its own timeout; callTimeout leaves
	// time for that reply.
	callTimeout      = 8 * time.Second
	pollInterval     = 20 * time.Millisecond // between two requests for the state of a turn
	maxResponseBytes = 8 << 20
)

// Requester returns a new requester. Its choice of nodes depends on the seed and its name.
func (w *World) Requester(name string) *Requester {
	var stream uint64
	for _, b := range []byte(name) {
		stream = stream*131 + uint64(b)
	}
	return &Requester{Name: name, w: w, rng: rand.New(rand.NewPCG(w.Plan.Seed, stream)), api: newOperatorClient()}
}

// Ask requests a turn from a node. extra holds further fields of the request, as in peer.proto; it may be nil.
func (a *Requester) Ask(node, id, host string, minutes int, extra map[string]any) (*peerpb.Turn, error) {
	params := map[string]any{"id": id, "host": host, "minutes": minutes, "by": a.Name}
	for k, v := range extra {
		params[k] = v
	}
	return a.turn(node, "Ask", id, host, params)
}

// Begin reports that the work begins.
func (a *Requester) Begin(node, id string) (*peerpb.Turn, error) { return a.ref(node, "Begin", id) }

// Done reports that the work is done.
func (a *Requester) Done(node, id string) (*peerpb.Turn, error) { return a.ref(node, "Done", id) }

// Withdraw withdraws a turn.
func (a *Requester) Withdraw(node, id string) (*peerpb.Turn, error) {
	return a.ref(node, "Withdraw", id)
}

func (a *Requester) ref(node, kind, id string) (*peerpb.Turn, error) {
	return a.turn(node, kind, id, "", map[string]any{"id": id, "by": a.Name})
}

func (a *Requester) turn(node, kind, id, host string, params map[string]any) (*peerpb.Turn, error) {
	var out peerpb.TurnReply
	err := a.call(Op{Node: node, Kind: kind, ID: id, Host: host}, params, &out, func() []*peerpb.Turn {
		if out.Turn == nil {
			return nil
		}
		return []*peerpb.Turn{out.Turn}
	})
	if err == nil && out.Turn == nil {
		err = errors.New("the reply contains no turn")
	}
	return out.Turn, err
}

// Turns lists all turns that a node knows.
func (a *Requester) Turns(node string) (*peerpb.TurnsReply, error) {
	var out peerpb.TurnsReply
	err := a.call(Op{Node: node, Kind: "Turns"}, map[string]any{}, &out, out.GetTurns)
	return &out, err
}

// DeclareDead asks a node to declare another one permanently dead. No process of that node may still run.
func (a *Requester) DeclareDead(node, dead, why string) error {
	return a.call(Op{Node: node, Kind: "DeclareDead", ID: dead}, map[string]any{"node": dead, "by": a.Name, "why": why,
		"i_know_that_it_may_still_send": true}, &peerpb.DeclareReply{}, nil)
}

// TakeIn asks a node to make its group admit a node again that was declared dead, or whose store was lost.
func (a *Requester) TakeIn(node, admitted, why string) error {
	return a.call(Op{Node: node, Kind: "TakeIn", ID: admitted}, map[string]any{"node": admitted, "by": a.Name, "why": why},
		&peerpb.DeclareReply{}, nil)
}

// call makes one API call and records it in the history.
func (a *Requester) call(op Op, params map[string]any, out proto.Message, turns func() []*peerpb.Turn) (err error) {
	op.Requester, op.Call = a.Name, a.w.Now()
	defer func() {
		if err != nil {
			op.Error = err.Error()
		}
		a.w.History.record(op)
	}()
	addr := a.w.nodes[op.Node].OperatorAddr()
	if addr == "" {
		return fmt.Errorf("the operator API of %s is not open", op.Node)
	}
	status, reply, err := a.api.post(a.w.ctx, addr, op.Kind, params)
	if err != nil {
		return err
	}
	op.Return = a.w.Now()
	if err := decodeReply(status, reply, out); err != nil {
		return err
	}
	if turns != nil {
		for _, t := range turns() {
			op.Observed = append(op.Observed, ObservedTurn{ID: t.Id, Host: t.Host, Phase: t.Phase, Round: t.Round})
		}
	}
	return nil
}

// post makes one API call at an address and returns the status and body of the reply.
func (c *operatorClient) post(ctx context.Context, addr, kind string, params map[string]any) (status int, reply []byte, err error) {
	body, err := json.Marshal(params)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/lichenhitch.peer.Desk/"+kind, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	reply, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, reply, err
}

// decodeReply decodes a reply into out, or returns the *APIError that it contains.
func decodeReply(status int, reply []byte, out proto.Message) error {
	if status == http.StatusOK {
		return (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(reply, out)
	}
	apiErr := &APIError{}
	if json.Unmarshal(reply, apiErr) != nil || apiErr.Code == "" {
		apiErr = &APIError{Code: fmt.Sprintf("%d %s", status, http.StatusText(status)), Message: string(reply)}
	}
	return apiErr
}

// randomNode returns a running, unpaused node chosen by the seed, or "" if there is none.
func (a *Requester) randomNode() string {
	var running []string
	for _, n := range a.w.nodeNames {
		if node := a.w.nodes[n]; node.OperatorAddr() != "" && !node.Paused() && (a.Nodes == nil || slices.Contains(a.Nodes, n)) {
			running = append(running, n)
		}
	}
	if len(running) == 0 {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return running[a.rng.IntN(len(running))]
}

// Work requests a turn, runs the work once the turn is granted and begun, and reports that it is done. If a node does not
// reply, it tries another one. It gives up when ctx has ended or the time limit of the test is reached (see waitLimit).
// While the work runs, the host reports every first line it receives as a violation.
func (a *Requester) Work(ctx context.Context, id, host string, minutes int, work func()) error {
	ctx, cancel := context.WithTimeout(ctx, waitLimit(a.w.t, 2*EventTimeout))
	defer cancel()
	var lastErr error
	// poll waits for the poll interval and returns an error if Work has to give up.
	poll := func() error {
		timer := time.NewTimer(pollInterval)
		defer timer.Stop()
		select {
		case <-timer.C:
			return nil
		case <-a.w.done:
			return errors.Join(errors.New("the test has ended"), lastErr)
		case <-ctx.Done():
			return fmt.Errorf("turn %s of host %s: %w; last error: %w", id, host, ctx.Err(), lastErr)
		}
	}
	lastErr = errors.New("no running node has an open operator API")
	var phase string
	for phase != "working" {
		node := a.randomNode()
		if node != "" {
			var t *peerpb.Turn
			if phase == "granted" {
				t, lastErr = a.Begin(node, id)
			} else {
				t, lastErr = a.Ask(node, id, host, minutes, nil) // repeating the request refers to the same turn
			}
			if phase = ""; lastErr == nil {
				phase = t.Phase
				lastErr = fmt.Errorf("its phase is %s, it waits for %q", t.Phase, t.WaitsFor)
			}
		}
		switch phase {
		case "working":
		case "returning", "over":
			return fmt.Errorf("turn %s of host %s is in phase %s before its work has begun", id, host, phase)
		case "granted":
		default:
			if err := poll(); err != nil {
				return err
			}
		}
	}
	h := a.w.Host(host)
	h.BeginWork()
	work()
	h.EndWork()
	for {
		if node := a.randomNode(); node != "" {
			var t *peerpb.Turn
			if t, lastErr = a.Done(node, id); lastErr == nil && t.Phase != "working" {
				return nil
			}
		}
		if err := poll(); err != nil {
			return err
		}
	}
}
