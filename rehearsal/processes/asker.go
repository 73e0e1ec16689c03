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

// Op is one call of an asker, as it saw it.
type Op struct {
	Asker, Node  string
	Kind         string        // Ask, Begin, Done, Withdraw, Turns
	ID, Host     string        // of the turn; Host is "" where the asker did not say
	Call, Return time.Duration // on the world's clock; Return is 0 where no answer came
	Seen         []Seen        // what the answer says of turns
	Refused      string        // the answer's error
}

// Seen is a turn in an answer.
type Seen struct {
	ID, Host, Phase string
	Round           uint64
}

// History is all that askers have done.
type History struct {
	w   *World
	mu  sync.Mutex
	ops []Op
}

// Ops are the calls so far, in the order in which they were over.
func (h *History) Ops() []Op {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.ops)
}

func (h *History) add(op Op) {
	h.mu.Lock()
	h.ops = append(h.ops, op)
	h.mu.Unlock()
	h.w.changes.tell()
}

// Refusal is an error that a node answered.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (r *Refusal) Error() string { return r.Code + ": " + r.Message }

// Asker does work on hosts, or is an operator. It calls nodes in plain JSON over HTTP, as curl would.
type Asker struct {
	Name  string
	Nodes []string // that Work calls; all where it is nil
	w     *World
	desks deskClient

	mu  sync.Mutex
	rng *rand.Rand
}

// deskClient makes operators' calls in plain JSON over HTTP.
type deskClient struct{ http http.Client }

func newDeskClient() deskClient {
	return deskClient{http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

const (
	callTimeout = 8 * time.Second       // a node answers within peer.Limits.Within, 5 s, if only that it is late: its word has to come first
	lookAgain   = 20 * time.Millisecond // between two looks at a turn
	mostAnswer  = 8 << 20               // bytes of an answer
)

// Asker returns a new asker.
func (w *World) Asker(name string) *Asker {
	var number uint64
	for _, b := range []byte(name) {
		number = number*131 + uint64(b)
	}
	return &Asker{Name: name, w: w, rng: rand.New(rand.NewPCG(w.Plan.Seed, number)), desks: newDeskClient()}
}

// Ask asks for a turn at a node. more are further fields of the request, as in peer.proto; nil where there are none.
func (a *Asker) Ask(node, id, host string, minutes int, more map[string]any) (*peerpb.Turn, error) {
	in := map[string]any{"id": id, "host": host, "minutes": minutes, "by": a.Name}
	for k, v := range more {
		in[k] = v
	}
	return a.turn(node, "Ask", id, host, in)
}

// Begin says that the work begins.
func (a *Asker) Begin(node, id string) (*peerpb.Turn, error) { return a.ref(node, "Begin", id) }

// Done says that the work is done.
func (a *Asker) Done(node, id string) (*peerpb.Turn, error) { return a.ref(node, "Done", id) }

// Withdraw takes a turn back.
func (a *Asker) Withdraw(node, id string) (*peerpb.Turn, error) { return a.ref(node, "Withdraw", id) }

func (a *Asker) ref(node, kind, id string) (*peerpb.Turn, error) {
	return a.turn(node, kind, id, "", map[string]any{"id": id, "by": a.Name})
}

func (a *Asker) turn(node, kind, id, host string, in map[string]any) (*peerpb.Turn, error) {
	var out peerpb.TurnReply
	err := a.call(Op{Node: node, Kind: kind, ID: id, Host: host}, in, &out, func() []*peerpb.Turn {
		if out.Turn == nil {
			return nil
		}
		return []*peerpb.Turn{out.Turn}
	})
	if err == nil && out.Turn == nil {
		err = errors.New("an answer without a turn")
	}
	return out.Turn, err
}

// Turns asks a node for all turns.
func (a *Asker) Turns(node string) (*peerpb.TurnsReply, error) {
	var out peerpb.TurnsReply
	err := a.call(Op{Node: node, Kind: "Turns"}, map[string]any{}, &out, out.GetTurns)
	return &out, err
}

// DeclareDead declares a node dead, for good: nothing of it may run.
func (a *Asker) DeclareDead(node, dead, why string) error {
	return a.call(Op{Node: node, Kind: "DeclareDead", ID: dead}, map[string]any{"node": dead, "by": a.Name, "why": why,
		"i_know_that_it_may_still_send": true}, &peerpb.DeclareReply{}, nil)
}

// TakeIn takes a node in anew that was declared dead.
func (a *Asker) TakeIn(node, dead, why string) error {
	return a.call(Op{Node: node, Kind: "TakeIn", ID: dead}, map[string]any{"node": dead, "by": a.Name, "why": why},
		&peerpb.DeclareReply{}, nil)
}

// call makes one call and records it.
func (a *Asker) call(op Op, in map[string]any, out proto.Message, turns func() []*peerpb.Turn) (err error) {
	op.Asker, op.Call = a.Name, a.w.Now()
	defer func() {
		if err != nil {
			op.Refused = err.Error()
		}
		a.w.History.add(op)
	}()
	desk := a.w.nodes[op.Node].Desk()
	if desk == "" {
		return fmt.Errorf("%s is not open to operators", op.Node)
	}
	status, text, err := a.desks.exchange(a.w.ctx, desk, op.Kind, in)
	if err != nil {
		return err
	}
	op.Return = a.w.Now()
	if err := answered(status, text, out); err != nil {
		return err
	}
	if turns != nil {
		for _, t := range turns() {
			op.Seen = append(op.Seen, Seen{ID: t.Id, Host: t.Host, Phase: t.Phase, Round: t.Round})
		}
	}
	return nil
}

// exchange makes one call at an address and returns what is answered, as it came.
func (c *deskClient) exchange(ctx context.Context, desk, kind string, in map[string]any) (status int, text []byte, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+desk+"/lichenhitch.peer.Desk/"+kind, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	text, err = io.ReadAll(io.LimitReader(answer.Body, mostAnswer))
	return answer.StatusCode, text, err
}

// answered reads an answer into out, or returns the *Refusal that it is.
func answered(status int, text []byte, out proto.Message) error {
	if status == http.StatusOK {
		return (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, out)
	}
	no := &Refusal{}
	if json.Unmarshal(text, no) != nil || no.Code == "" {
		no = &Refusal{Code: fmt.Sprintf("%d %s", status, http.StatusText(status)), Message: string(text)}
	}
	return no
}

// anyNode is a node that runs and is not paused, as the seed chooses; "" where there is none.
func (a *Asker) anyNode() string {
	var all []string
	for _, n := range a.w.nodeNames {
		if node := a.w.nodes[n]; node.Desk() != "" && !node.Paused() && (a.Nodes == nil || slices.Contains(a.Nodes, n)) {
			all = append(all, n)
		}
	}
	if len(all) == 0 {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return all[a.rng.IntN(len(all))]
}

// Work asks for a turn, has the work done once it is granted and begun, and says that it is done. It goes from node to node
// while it gets no answer, and gives up when patience or ctx is over. The host knows that it is in work meanwhile.
func (a *Asker) Work(ctx context.Context, id, host string, minutes int, do func()) error {
	ctx, end := context.WithTimeout(ctx, waitLimit(a.w.t, 2*Patience))
	defer end()
	var last error
	// on looks whether to go on, after a while.
	on := func() error {
		timer := time.NewTimer(lookAgain)
		defer timer.Stop()
		select {
		case <-timer.C:
			return nil
		case <-a.w.done:
			return errors.Join(errors.New("the world has ended"), last)
		case <-ctx.Done():
			return fmt.Errorf("turn %s of %s: %w; last: %w", id, host, ctx.Err(), last)
		}
	}
	last = errors.New("no node is open to operators")
	var phase string
	for phase != "working" {
		node := a.anyNode()
		if node != "" {
			var t *peerpb.Turn
			if phase == "granted" {
				t, last = a.Begin(node, id)
			} else {
				t, last = a.Ask(node, id, host, minutes, nil) // the same once more is the same turn
			}
			if phase = ""; last == nil {
				phase = t.Phase
				last = fmt.Errorf("it is %s, waits for %q", t.Phase, t.WaitsFor)
			}
		}
		switch phase {
		case "working":
		case "returning", "over":
			return fmt.Errorf("turn %s of %s is %s before its work has begun", id, host, phase)
		case "granted":
		default:
			if err := on(); err != nil {
				return err
			}
		}
	}
	h := a.w.Host(host)
	h.Begin()
	do()
	h.Finish()
	for {
		if node := a.anyNode(); node != "" {
			var t *peerpb.Turn
			if t, last = a.Done(node, id); last == nil && t.Phase != "working" {
				return nil
			}
		}
		if err := on(); err != nil {
			return err
		}
	}
}
