package peer

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/peer/peerpb"
)

// waitTimeout is how long a test waits for an expected event.
const waitTimeout = 2 * time.Minute

// TestMain first checks that importing the package starts no goroutines.
func TestMain(m *testing.M) {
	if started := leakedGoroutines(); len(started) > 0 {
		fmt.Fprintf(os.Stderr, "importing the package started goroutines:\n%s\n", strings.Join(started, "\n\n"))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// leakedGoroutines returns the stacks of goroutines started by this package, except those of tests.
func leakedGoroutines() (stacks []string) {
	buf := make([]byte, 1<<20)
	for _, s := range strings.Split(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
		for _, prefix := range []string{"net/http.", "connectrpc.com/", "peer.(*Client)", "peer.Serve", "peer.(*Server)"} {
			if strings.Contains(s, prefix) && !strings.Contains(s, "testing.tRunner") {
				stacks = append(stacks, s)
				break
			}
		}
	}
	return stacks
}

// scripted is a node that records its calls. A call without a scripted reply is never answered.
type scripted struct {
	Node
	asked chan string
	ask   func(*peerpb.AskRequest, func(*peerpb.TurnReply, error))
	raft  func(*peerpb.RaftRequest, func(*peerpb.RaftReply, error))
}

func (n *scripted) Ask(q *peerpb.AskRequest, done func(*peerpb.TurnReply, error)) {
	n.asked <- "ask " + q.Host
	if n.ask != nil {
		n.ask(q, done)
	}
}

func (n *scripted) Renew(q *peerpb.RenewRequest, done func(*peerpb.RenewReply, error)) {
	n.asked <- "renew " + q.Node
	done(&peerpb.RenewReply{Seq: q.Seq, Outs: []*peerpb.Out{{Host: "g1", Round: 7}}}, nil)
	done(nil, errors.New("second call of done"))
}

func (n *scripted) Raft(q *peerpb.RaftRequest, done func(*peerpb.RaftReply, error)) {
	n.asked <- "raft " + q.GetHello().GetNode()
	if n.raft != nil {
		n.raft(q, done)
	}
}

// Replay is answered, except for the site "unanswered".
func (n *scripted) Replay(q *peerpb.ReplayRequest, done func(*peerpb.ReplayReply, error)) {
	n.asked <- "replay " + q.Site
	if q.Site != "unanswered" {
		done(&peerpb.ReplayReply{}, nil)
	}
}

func (n *scripted) Turns(*peerpb.TurnsRequest, func(*peerpb.TurnsReply, error)) {
	panic("fault of the node")
}

func serve(t *testing.T, l Limits) (*scripted, *Server) {
	t.Helper()
	n := &scripted{asked: make(chan string, 1000)}
	n.ask = func(q *peerpb.AskRequest, done func(*peerpb.TurnReply, error)) {
		go done(&peerpb.TurnReply{Turn: &peerpb.Turn{Id: "t1", Host: q.Host, Minutes: q.Minutes, Phase: "asked"}}, nil)
	}
	s, err := Serve("127.0.0.1:0", n, l)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return n, s
}

func client(t *testing.T, addr string, l ClientLimits) *Client {
	t.Helper()
	c := NewClient("b", addr, l)
	t.Cleanup(c.Close)
	return c
}

// curl sends a request as curl does and decodes the JSON reply.
func curl(t *testing.T, method, url, kind, text string) (int, map[string]any) {
	t.Helper()
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	q, err := http.NewRequest(method, url, strings.NewReader(text))
	require.NoError(t, err)
	q.Header.Set("Content-Type", kind)
	r, err := (&http.Client{Transport: tr, Timeout: 20 * time.Second}).Do(q)
	require.NoError(t, err)
	defer r.Body.Close()
	body := map[string]any{}
	require.NoError(t, json.NewDecoder(r.Body).Decode(&body), "%s %s %s: %s", method, url, kind, r.Status)
	return r.StatusCode, body
}

// result is the reply or the error of a call.
type result[A any] struct {
	reply *A
	err   error
}

func collect[A any]() (chan result[A], func(*A, error)) {
	c := make(chan result[A], 10)
	return c, func(a *A, err error) { c <- result[A]{a, err} }
}

func kindOf(t *testing.T, err error) Kind {
	t.Helper()
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.NotEmpty(t, e.Action())
	assert.Contains(t, err.Error(), "; what to do: "+e.Action())
	assert.NotEmpty(t, e.Call)
	return e.Kind
}

func TestOperatorCallsInPlainJSON(t *testing.T) {
	n, s := serve(t, Limits{MaxBody: 1000})
	deskURL := "http://" + s.Addr() + "/lichenhitch.peer.Desk/"
	status, body := curl(t, "POST", deskURL+"Ask", "application/json", `{"host":"g12","minutes":10}`)
	assert.Equal(t, 200, status)
	assert.Equal(t, map[string]any{"turn": map[string]any{"id": "t1", "host": "g12", "phase": "asked", "minutes": 10.0}}, body)
	assert.Equal(t, "ask g12", <-n.asked)

	for _, tc := range []struct {
		method, path, kind, body string
		status                   int
		code, what, do           string
	}{
		{"POST", "Ask", "application/json", `{"host":"g12","minuts":10}`, 400, "invalid_argument", "minuts", "its keys are: id host minutes"},
		{"POST", "Ask", "application/json", `{"host"`, 400, "invalid_argument", "unexpected", "send one JSON object"},
		{"POST", "Ask", "application/json", `{"host":"` + strings.Repeat("g", 1000) + `"}`, 400, "invalid_argument", "more than 1000 bytes", "send less"},
		{"POST", "Ask", "application/x-www-form-urlencoded", `{"host":"g12"}`, 400, "invalid_argument", "not a call", "Content-Type: application/json"},
		{"GET", "Ask", "text/plain", ``, 400, "invalid_argument", "not a call", "POST one JSON object"},
		{"POST", "Take", "application/json", `{}`, 404, "not_found", "no such path", "/lichenhitch.peer.Desk/Ask"},
		{"GET", "../", "text/html", ``, 404, "not_found", "no such path", "POST to a path such as"},
		{"POST", "Turns", "application/json", `{}`, 500, "internal", "panic", "look at the log"},
	} {
		status, body := curl(t, tc.method, deskURL+tc.path, tc.kind, tc.body)
		assert.Equal(t, tc.status, status, tc)
		assert.Equal(t, tc.code, body["code"], tc)
		what, do, cut := splitRemedy(fmt.Sprint(body["message"]))
		assert.True(t, cut, body)
		assert.Contains(t, what, tc.what)
		assert.Contains(t, do, tc.do)
	}
	assert.Empty(t, n.asked, "none of them reached the node")
}

// policyNode answers the policy calls with the fields of the request and the name of the call.
type policyNode struct{ Node }

func replyWithRequest(name string, q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	done(&peerpb.PolicyReply{Write: name, Rollout: &peerpb.Rollout{Id: q.Id, Policy: q.Policy, Stage: q.Stage, Cause: q.By, Missing: q.Why}}, nil)
}

func (policyNode) StartPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	replyWithRequest("StartPolicy", q, done)
}
func (policyNode) HaltPolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	replyWithRequest("HaltPolicy", q, done)
}
func (policyNode) ResumePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	replyWithRequest("ResumePolicy", q, done)
}
func (policyNode) ForcePolicy(q *peerpb.PolicyRequest, done func(*peerpb.PolicyReply, error)) {
	replyWithRequest("ForcePolicy", q, done)
}
func (policyNode) Policies(_ *peerpb.PoliciesRequest, done func(*peerpb.PoliciesReply, error)) {
	age := uint64(40)
	done(&peerpb.PoliciesReply{Site: "b", Good: "g", AgeMs: &age, Nodes: []*peerpb.GoesBy{{Node: "a", Trial: true, Fell: "silence"}}}, nil)
}

func TestPolicyCallsArriveUnchanged(t *testing.T) {
	s, err := Serve("127.0.0.1:0", policyNode{}, Limits{})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	deskURL := "http://" + s.Addr() + "/lichenhitch.peer.Desk/"
	c := client(t, s.Addr(), ClientLimits{})
	policy := `{"request_classes":{"chat":{"aim_us":1}}}`
	for name, call := range map[string]func(*peerpb.PolicyRequest, func(*peerpb.PolicyReply, error)){"StartPolicy": c.StartPolicy,
		"HaltPolicy": c.HaltPolicy, "ResumePolicy": c.ResumePolicy, "ForcePolicy": c.ForcePolicy} {
		body, err := json.Marshal(map[string]string{"id": "p1", "policy": policy, "stage": "building", "by": "rina", "why": "w"})
		require.NoError(t, err)
		status, reply := curl(t, "POST", deskURL+name, "application/json", string(body))
		assert.Equal(t, 200, status, name)
		assert.Equal(t, map[string]any{"write": name, "rollout": map[string]any{"id": "p1", "policy": policy, "stage": "building",
			"cause": "rina", "missing": "w"}}, reply)
		answers, done := collect[peerpb.PolicyReply]()
		call(&peerpb.PolicyRequest{Id: "p2", Stage: "all"}, done)
		a := <-answers
		require.NoError(t, a.err)
		assert.Equal(t, []string{name, "p2", "all"}, []string{a.reply.Write, a.reply.Rollout.Id, a.reply.Rollout.Stage})
		status, reply = curl(t, "POST", deskURL+name, "application/json", `{"id":"p1","reason":"w"}`)
		assert.Equal(t, 400, status, name)
		assert.Contains(t, reply["message"], "its keys are: id policy stage by why")
	}
	status, reply := curl(t, "POST", deskURL+"Policies", "application/json", `{}`)
	assert.Equal(t, 200, status)
	assert.Equal(t, map[string]any{"site": "b", "good": "g", "age_ms": "40",
		"nodes": []any{map[string]any{"node": "a", "trial": true, "fell": "silence"}}}, reply)
	answers, done := collect[peerpb.PoliciesReply]()
	c.Policies(&peerpb.PoliciesRequest{}, done)
	assert.EqualValues(t, 40, (<-answers).reply.GetAgeMs())
}

type actionError struct{}

func (actionError) Error() string  { return "more hosts have failed than allowed; what to do: wait" }
func (actionError) Action() string { return "wait" }

func TestNodeErrorsReachOperatorsAndClients(t *testing.T) {
	n, s := serve(t, Limits{})
	c := client(t, s.Addr(), ClientLimits{})
	for _, tc := range []struct {
		err    error
		status int
		kind   Kind
		text   string
	}{
		{&Error{Kind: Unknown, Message: "no host g12", Remedy: "correct the name"}, 404, Unknown, "Ask: no host g12; what to do: correct the name"},
		{fmt.Errorf("leader: %w", &Error{Kind: Refused, Message: "node b is not dead", Remedy: "stop it"}), 400, Refused, "Ask: node b is not dead; what to do: stop it"},
		{actionError{}, 400, Refused, "Ask: more hosts have failed than allowed; what to do: wait"},
		{errors.New("unexpected failure"), 500, Internal, "Ask: unexpected failure; what to do: " + remedyReport},
		{&Error{Kind: TimedOut, Call: "Ask", Peer: "c (1.2.3.4:5)", Message: "no answer", Remedy: "look"}, 503, TimedOut, "Ask: at c (1.2.3.4:5): no answer; what to do: look"},
		{errors.New(strings.Repeat("x", 4*maxText)), 500, Internal, ""},
		{nil, 500, Internal, "Ask: the node returned neither a reply nor an error; what to do: " + remedyReport},
	} {
		n.ask = func(_ *peerpb.AskRequest, done func(*peerpb.TurnReply, error)) { done(nil, tc.err) }
		status, body := curl(t, "POST", "http://"+s.Addr()+"/lichenhitch.peer.Desk/Ask", "application/json", `{}`)
		assert.Equal(t, tc.status, status)
		assert.Contains(t, body["message"], tc.text)
		answers, done := collect[peerpb.TurnReply]()
		c.Ask(&peerpb.AskRequest{}, done)
		err := (<-answers).err
		assert.Equal(t, tc.kind, kindOf(t, err))
		assert.Contains(t, err.Error(), strings.TrimPrefix(tc.text, "Ask: "))
		assert.Less(t, len(err.Error()), 3*maxText)
	}
}

func TestNodesCallEachOther(t *testing.T) {
	n, s := serve(t, Limits{})
	c := client(t, s.Addr(), ClientLimits{})
	answers, done := collect[peerpb.RenewReply]()
	c.Renew(&peerpb.RenewRequest{Node: "a", Seq: 3, Texts: []string{"g1"}}, done)
	a := <-answers
	require.NoError(t, a.err)
	assert.EqualValues(t, 3, a.reply.Seq)
	assert.EqualValues(t, 7, a.reply.Outs[0].Round)
	assert.Equal(t, "renew a", <-n.asked)

	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	tr := &http.Transport{Protocols: &protocols}
	defer tr.CloseIdleConnections()
	r, err := (&http.Client{Transport: tr}).Post("http://"+s.Addr()+"/lichenhitch.peer.Desk/Ask", "application/json", strings.NewReader(`{}`))
	require.NoError(t, err)
	defer r.Body.Close()
	assert.Equal(t, 2, r.ProtoMajor)
	assert.Equal(t, 200, r.StatusCode)
}

func TestCallThatTheNodeNeverAnswersTimesOut(t *testing.T) {
	n, s := serve(t, Limits{CallTimeout: 30 * time.Millisecond})
	n.ask = nil
	status, body := curl(t, "POST", "http://"+s.Addr()+"/lichenhitch.peer.Desk/Ask", "application/json", `{"host":"g1"}`)
	assert.Equal(t, 503, status)
	assert.Equal(t, "unavailable", body["code"])
	assert.Equal(t, "Ask: no answer within 30ms; what to do: "+remedyRetry, body["message"])
}

func TestIncompleteCallTimesOut(t *testing.T) {
	n, s := serve(t, Limits{CallTimeout: 30 * time.Millisecond, HeaderTimeout: 30 * time.Millisecond})
	for _, part := range []string{"", "POST /lichen", "POST /lichenhitch.peer.Desk/Ask HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n{"} {
		conn, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
		_, err = io.WriteString(conn, part)
		require.NoError(t, err)
		all, err := io.ReadAll(conn)
		require.NoError(t, err, "the server must close the connection")
		if strings.HasSuffix(part, "{") {
			assert.Contains(t, string(all), "incomplete body")
		}
	}
	assert.Empty(t, n.asked)
}

func TestConcurrentCallsAreLimitedPerService(t *testing.T) {
	n, s := serve(t, Limits{MaxCalls: 1, CallTimeout: 20 * time.Second})
	n.ask = nil
	first, second := client(t, s.Addr(), ClientLimits{}), client(t, s.Addr(), ClientLimits{})
	_, never := collect[peerpb.TurnReply]()
	first.Ask(&peerpb.AskRequest{Host: "g1"}, never)
	assert.Equal(t, "ask g1", <-n.asked)
	answers, done := collect[peerpb.TurnReply]()
	second.Ask(&peerpb.AskRequest{Host: "g2"}, done)
	assert.Equal(t, Busy, kindOf(t, (<-answers).err))
	renewed, renew := collect[peerpb.RenewReply]()
	second.Renew(&peerpb.RenewRequest{Node: "a"}, renew)
	require.NoError(t, (<-renewed).err, "calls of operators must not count against the limit of the nodes")
	assert.Equal(t, "renew a", <-n.asked)

}

func TestConnectionsBeyondTheLimitAreClosedAtOnce(t *testing.T) {
	_, s := serve(t, Limits{MaxConns: 2, HeaderTimeout: time.Minute})
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
		conns = append(conns, conn)
	}
	_, err := conns[2].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	require.NoError(t, conns[0].Close())
	require.Eventually(t, func() bool { // a slot is free once the server has noticed the close
		r, err := http.Post("http://"+s.Addr()+"/", "application/json", nil)
		if err == nil {
			r.Body.Close()
			http.DefaultClient.CloseIdleConnections()
		}
		return err == nil
	}, waitTimeout, time.Millisecond)
}

func TestCloseAnswersPendingCalls(t *testing.T) {
	n, s := serve(t, Limits{HeaderTimeout: time.Hour}) // Close must not wait for an idle connection
	n.ask = nil
	c := client(t, s.Addr(), ClientLimits{})
	idle, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer idle.Close()
	answers, done := collect[peerpb.TurnReply]()
	c.Ask(&peerpb.AskRequest{Host: "g1"}, done)
	assert.Equal(t, "ask g1", <-n.asked)
	s.Close()
	err = (<-answers).err
	kindOf(t, err)
	assert.Contains(t, err.Error(), "this node is stopping")
	_, err = net.Dial("tcp", s.Addr())
	assert.Error(t, err)
	s.Close()

	c.Ask(&peerpb.AskRequest{}, done)
	assert.Equal(t, Unreachable, kindOf(t, (<-answers).err))
	c.Close()
	c.Ask(&peerpb.AskRequest{}, done)
	assert.Equal(t, Closed, kindOf(t, (<-answers).err))
	idle.Close()
	require.Eventually(t, func() bool { return len(leakedGoroutines()) == 0 }, waitTimeout, time.Millisecond, "no goroutine may be left")
}

func TestClientCloseFailsQueuedCalls(t *testing.T) {
	n, s := serve(t, Limits{})
	n.ask = nil
	c := client(t, s.Addr(), ClientLimits{})
	answers, done := collect[peerpb.TurnReply]()
	for range 3 {
		c.Ask(&peerpb.AskRequest{}, done)
	}
	<-n.asked
	c.Close()
	for range 3 {
		assert.Equal(t, Closed, kindOf(t, (<-answers).err))
	}
	assert.Empty(t, answers)
}

// fakePeer accepts connections and calls respond on each of them after every complete request.
func fakePeer(t *testing.T, respond func(net.Conn)) (addr string, conns *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	conns = new(atomic.Int32)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					respond(conn)
				}
			}()
		}
	}()
	return ln.Addr().String(), conns
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: "

func TestMisbehavingPeerFailsOnlyThatCall(t *testing.T) {
	for _, tc := range []struct {
		name  string
		speak func(net.Conn)
		kind  Kind
	}{
		{"unresponsive", func(net.Conn) {}, TimedOut},
		{"unresponsive inside a reply", func(c net.Conn) { _, _ = io.WriteString(c, okHead+"20\r\n\r\nab") }, TimedOut},
		{"closes", func(c net.Conn) { c.Close() }, Unreachable},
		{"resets inside a reply", func(c net.Conn) {
			_, _ = io.WriteString(c, okHead+"20\r\n\r\nab")
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}, Unreachable},
		{"garbage", func(c net.Conn) { _, _ = io.WriteString(c, "\x00\xffnonsense\r\n\r\n"); c.Close() }, Unreachable},
		{"garbage in a reply", func(c net.Conn) { _, _ = io.WriteString(c, okHead+"3\r\n\r\n\xff\xff\xff") }, Internal},
		{"redirect", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n")
		}, Internal},
		{"oversized reply", func(c net.Conn) {
			_, _ = io.WriteString(c, okHead+"99000000\r\n\r\n")
			for part := make([]byte, 1<<16); ; {
				if _, err := c.Write(part); err != nil {
					return
				}
			}
		}, Internal},
		{"oversized error reply", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Type: application/json\r\n\r\n{\"message\":\"")
			for part := []byte(strings.Repeat("x", 1<<16)); ; {
				if _, err := c.Write(part); err != nil {
					return
				}
			}
		}, Internal},
		{"endless header", func(c net.Conn) {
			for _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"); err == nil; _, err = io.WriteString(c, "X: y\r\n") {
			}
		}, Unreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var healthy atomic.Bool
			addr, conns := fakePeer(t, func(c net.Conn) {
				if healthy.Load() {
					_, _ = io.WriteString(c, okHead+"0\r\n\r\n")
				} else {
					tc.speak(c)
				}
			})
			timeout := 20 * time.Second
			if tc.kind == TimedOut {
				timeout = 100 * time.Millisecond
			}
			c := client(t, addr, ClientLimits{CallTimeout: timeout, MaxBody: 1 << 16})
			answers, done := collect[peerpb.TurnReply]()
			c.Ask(&peerpb.AskRequest{}, done)
			a := <-answers
			assert.Equal(t, tc.kind, kindOf(t, a.err), "%v", a.err)
			assert.Less(t, len(a.err.Error()), 3*maxText)
			healthy.Store(true)
			before := conns.Load()
			for a.err != nil { // an unresponsive peer may need more than the first backoff under load
				c.Ask(&peerpb.AskRequest{}, done)
				a = <-answers
			}
			assert.NotNil(t, a.reply)
			if tc.kind == TimedOut {
				assert.Greater(t, conns.Load(), before, "the connection of an unresponsive peer must not be reused")
			}
			assert.Empty(t, answers)
		})
	}
}

func TestAFullQueueDropsTheOldestRaftBatchAndRefusesOtherCalls(t *testing.T) {
	n, s := serve(t, Limits{})
	c := client(t, s.Addr(), ClientLimits{QueueLength: 2, ShortTimeout: 20 * time.Second})
	release := make(chan struct{})
	n.raft = func(_ *peerpb.RaftRequest, done func(*peerpb.RaftReply, error)) {
		go func() { <-release; done(&peerpb.RaftReply{}, nil) }()
	}
	var answers []chan result[peerpb.RaftReply]
	for i := range 5 {
		a, done := collect[peerpb.RaftReply]()
		answers = append(answers, a)
		c.Raft(&peerpb.RaftRequest{Hello: &peerpb.Hello{Node: fmt.Sprint(i)}}, done)
		if i == 0 {
			assert.Equal(t, "raft 0", <-n.asked, "the call is pending and no longer queued")
		}
	}
	for _, i := range []int{1, 2} {
		assert.Equal(t, Dropped, kindOf(t, (<-answers[i]).err))
	}
	renewed, renew := collect[peerpb.RenewReply]()
	c.Renew(&peerpb.RenewRequest{Node: "a"}, renew)
	require.NoError(t, (<-renewed).err, "Renew must not wait for Raft messages")
	assert.Equal(t, "renew a", <-n.asked)
	close(release)
	for _, i := range []int{0, 3, 4} {
		require.NoError(t, (<-answers[i]).err)
	}
	assert.Equal(t, "raft 3", <-n.asked)
	assert.Equal(t, "raft 4", <-n.asked)

	n.ask = nil
	asked, done := collect[peerpb.TurnReply]()
	c.Ask(&peerpb.AskRequest{Host: "0"}, done)
	assert.Equal(t, "ask 0", <-n.asked)
	for range 3 {
		c.Ask(&peerpb.AskRequest{}, done)
	}
	assert.Equal(t, Busy, kindOf(t, (<-asked).err), "the newest call is refused, earlier ones stay queued")
	assert.Empty(t, asked)
}

func TestUnreachablePeerIsNotDialledForEachCall(t *testing.T) {
	addr, conns := fakePeer(t, func(c net.Conn) { c.Close() })
	c := client(t, addr, ClientLimits{ShortTimeout: 200 * time.Millisecond, MaxBackoff: 400 * time.Millisecond, QueueLength: 1000})
	answers, done := collect[peerpb.RaftReply]()
	began := time.Now()
	for range 1000 {
		c.Raft(&peerpb.RaftRequest{}, done)
	}
	assert.Equal(t, Unreachable, kindOf(t, (<-answers).err))
	for range 999 {
		kindOf(t, (<-answers).err)
	}
	most := 25 + time.Since(began)/(100*time.Millisecond) // the backoff is at least 5 ms and grows up to 400 ms
	assert.Less(t, time.Duration(conns.Load()), most)
}

func TestAddressInUseIsReportedWithARemedy(t *testing.T) {
	_, s := serve(t, Limits{})
	other, err := Serve(s.Addr(), nil, Limits{})
	assert.Nil(t, other)
	var e *Error
	require.ErrorAs(t, err, &e)
	assert.Contains(t, e.Action(), "an unused port")
}

// A Replay must time out after its own timeout, and must not wait for the client's backoff at an unreachable peer.
func TestReplayTimesOutAndSkipsBackoff(t *testing.T) {
	n, s := serve(t, Limits{CallTimeout: time.Minute})
	c := client(t, s.Addr(), ClientLimits{MaxBackoff: time.Hour, CallTimeout: time.Minute})
	c.mu.Lock()
	c.failures, c.nextTry = 20, time.Now().Add(time.Hour)
	c.mu.Unlock()
	answer, done := collect[peerpb.ReplayReply]()
	c.ReplayWithTimeout(time.Minute, &peerpb.ReplayRequest{Site: "a"}, done)
	require.NoError(t, (<-answer).err, "a replay must skip the backoff")
	<-n.asked
	began := time.Now()
	c.ReplayWithTimeout(30*time.Millisecond, &peerpb.ReplayRequest{Site: "unanswered"}, done)
	assert.Equal(t, TimedOut, kindOf(t, (<-answer).err))
	assert.Less(t, time.Since(began), 30*time.Second)
}
