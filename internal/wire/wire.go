// Package wire converts between the batches of JSON lines that a proxy host exchanges with its balancers and the events and
// actions of package balance. It makes no decisions.
package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"lichenhitch/balance"
	"lichenhitch/internal/settings"
)

// Kind is the kind of an input line.
type Kind int

// The kinds of lines.
const (
	Mark   Kind = iota // starts a batch and sets its clock
	Commit             // ends a batch
	Start              // a balancer instance starts
	Stop               // an instance is killed
	Event              // an event of a running instance
)

// Message is one decoded line.
type Message struct {
	Name     string
	Kind     Kind
	Clock    time.Duration // for Mark
	Instance string
	Seed     uint64           // for Start
	Settings balance.Settings // for Start
	Event    balance.Event    // for Event
}

type entry struct {
	Rating   float64 `json:"rating"`
	Zone     string  `json:"campus"`
	Cell     int     `json:"cell"`
	Server   string  `json:"server"`
	OnlineUS int64   `json:"online_since_us"`
	State    string  `json:"state"`
}

// fields holds the fields of all incoming messages; each message uses some of them.
type fields struct {
	TimeUS    *int64          `json:"t_us"`
	Instance  *string         `json:"proxy_id"`
	Seed      *uint64         `json:"random_seed"`
	Info      json.RawMessage `json:"info"`
	Kind      *string         `json:"kind"`
	Entries   []entry         `json:"rows_in"`
	Request   *uint64         `json:"corr"`
	Class     *string         `json:"lane"`
	Tenant    tenantName      `json:"owner"`
	Key       string          `json:"path_key"`
	LeftUS    *int64          `json:"time_budget_us"`
	LoadUS    float64         `json:"effort_us"`
	Group     string          `json:"room"`
	MidFlow   bool            `json:"stray"`
	Returning bool            `json:"reconnect"`
	Repeat    bool            `json:"again_by_client"`
	Server    *string         `json:"server"`
	TookUS    int64           `json:"time_taken_us"`
	Attempt   *int            `json:"n"`
	Note      *int            `json:"what"`
	Amount    *float64        `json:"amount"`
	Outcome   *int            `json:"reason"`
	Final     bool            `json:"finished"`
	Report    report          `json:"feedback"`
	Token     *uint64         `json:"label"`
	From      *int            `json:"who"`
	Data      string          `json:"data"`
}

// tenantName is decoded from a name, or from the number 0 if there are no tenants.
type tenantName string

func (t *tenantName) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		*t = ""
		return nil
	}
	return json.Unmarshal(data, (*string)(t))
}

type report struct {
	X0        *float64 `json:"x0"`
	X1        *float64 `json:"x1"`
	Inflight  *float64 `json:"inflight"`
	Util      *float64 `json:"util"`
	Queue     *float64 `json:"queue"`
	LatencyMS *float64 `json:"latency_ms"`
	QPS       *float64 `json:"qps"`
	EPS       *float64 `json:"eps"`
}

func (r report) balance() balance.Report {
	var out balance.Report
	set := func(to *float64, from *float64, metric balance.Metric) {
		if from != nil {
			*to = *from
			out.Known |= metric
		}
	}
	set(&out.Ratio, r.X0, balance.HasRatio)
	set(&out.Backlog, r.X1, balance.HasBacklog)
	set(&out.Held, r.Inflight, balance.HasHeld)
	set(&out.Busy, r.Util, balance.HasBusy)
	set(&out.Queue, r.Queue, balance.HasQueue)
	set(&out.Latency, r.LatencyMS, balance.HasLatency)
	set(&out.Served, r.QPS, balance.HasServed)
	set(&out.Errors, r.EPS, balance.HasErrors)
	return out
}

var outcomes = map[int]balance.Outcome{
	0: balance.OK, 5: balance.Errored, 11: balance.Full, 110: balance.TimedOut, 111: balance.Unreachable,
	104: balance.Reset, 125: balance.Cancelled, 114: balance.Unsent,
}

var states = map[string]balance.State{
	"Running": balance.Ready, "Stopping": balance.Draining, "Deleted": balance.Gone,
}

var listKinds = map[string]balance.ListKind{
	"update": balance.ListChanges, "replace": balance.ListFull, "restored": balance.ListSaved,
	"unavailable": balance.ListFailed,
}

// Decode parses one line. An error names the message and what is wrong with it.
func Decode(line []byte) (Message, error) {
	name, body, ok := split(line)
	if !ok {
		return Message{}, fmt.Errorf("not a message: %.60q", line)
	}
	m, err := decodeBody(name, body)
	if err != nil {
		return Message{}, fmt.Errorf("%s: %w", name, err)
	}
	return m, nil
}

// split splits {"name":body} without parsing the body, so that the body is parsed only once. Server lists are nearly all of
// the input, and parsing them takes nearly all of the adapter's time.
func split(line []byte) (name string, body []byte, ok bool) {
	rest, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("{"))
	if !ok {
		return "", nil, false
	}
	rest, ok = bytes.CutPrefix(bytes.TrimSpace(rest), []byte(`"`))
	if !ok {
		return "", nil, false
	}
	word, rest, ok := bytes.Cut(rest, []byte(`"`))
	if !ok {
		return "", nil, false
	}
	rest, ok = bytes.CutPrefix(bytes.TrimSpace(rest), []byte(":"))
	if !ok {
		return "", nil, false
	}
	body, ok = bytes.CutSuffix(bytes.TrimSpace(rest), []byte("}"))
	return string(word), bytes.TrimSpace(body), ok
}

func decodeBody(name string, body []byte) (Message, error) {
	decode, ok := decoders[name]
	if !ok {
		return Message{}, errors.New("unknown message")
	}
	var f fields
	if len(body) == 0 || body[0] != '{' {
		return Message{}, errors.New("fields are not an object")
	}
	if err := json.Unmarshal(body, &f); err != nil {
		return Message{}, fmt.Errorf("fields: %w", err)
	}
	m := Message{Name: name, Kind: Event}
	if name != "mark" && name != "commit" {
		if f.Instance == nil {
			return Message{}, missing("proxy_id")
		}
		m.Instance = *f.Instance
	}
	err := decode(&f, &m)
	return m, err
}

func missing(field string) error { return fmt.Errorf("%s is missing", field) }

// requireFields returns an error for the first missing field. pairs alternates field names and whether each is present.
func requireFields(pairs ...any) error {
	for i := 0; i+1 < len(pairs); i += 2 {
		if !pairs[i+1].(bool) {
			return missing(pairs[i].(string))
		}
	}
	return nil
}

var decoders map[string]func(*fields, *Message) error

func init() {
	decoders = map[string]func(*fields, *Message) error{
		"mark": decodeMark, "commit": decodeCommit, "start": decodeStart, "power_off": decodeStop,
		"targets": decodeServerList, "arrival": decodeArrival, "open": decodeInherited, "established": decodeEstablished,
		"progress": decodeProgress, "completed": decodeEnded, "lapsed": decodeDeparted,
		"tick_due": decodeTimerFired, "pong": decodeProbed, "datagram": decodePeerMessage,
	}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func decodeMark(f *fields, m *Message) error {
	m.Kind = Mark
	if f.TimeUS == nil {
		return missing("t_us")
	}
	m.Clock = micros(*f.TimeUS)
	return nil
}

func decodeCommit(_ *fields, m *Message) error {
	m.Kind = Commit
	return nil
}

func decodeStop(_ *fields, m *Message) error {
	m.Kind = Stop
	return nil
}

func decodeStart(f *fields, m *Message) (err error) {
	m.Kind = Start
	if err := requireFields("random_seed", f.Seed != nil, "info", f.Info != nil); err != nil {
		return err
	}
	m.Seed = *f.Seed
	if m.Settings, err = settings.Decode(f.Info); err != nil {
		return fmt.Errorf("info: %w", err)
	}
	return nil
}

func decodeServerList(f *fields, m *Message) error {
	if f.Kind == nil {
		return missing("kind")
	}
	kind, ok := listKinds[*f.Kind]
	if !ok {
		return fmt.Errorf("unknown kind %q", *f.Kind)
	}
	list := balance.ServerList{Kind: kind, Entries: make([]balance.Listing, 0, len(f.Entries))}
	for i, e := range f.Entries {
		if e.Server == "" || e.State == "" {
			return fmt.Errorf("entry %d: %w", i, requireFields("server", e.Server != "", "state", e.State != ""))
		}
		state, ok := states[e.State]
		if !ok {
			return fmt.Errorf("entry %d: unknown state %q", i, e.State)
		}
		list.Entries = append(list.Entries, balance.Listing{Server: balance.ServerID(e.Server), Zone: e.Zone,
			Cell: e.Cell, Weight: e.Rating, Started: micros(e.OnlineUS), State: state})
	}
	m.Event = list
	return nil
}

func (f *fields) arrival() (balance.Arrival, error) {
	if err := requireFields("corr", f.Request != nil, "lane", f.Class != nil); err != nil {
		return balance.Arrival{}, err
	}
	a := balance.Arrival{Request: balance.RequestID(*f.Request), Class: *f.Class, Tenant: string(f.Tenant),
		Key: f.Key, Group: f.Group, Load: f.LoadUS, MidFlow: f.MidFlow, Returning: f.Returning,
		Repeat: f.Repeat}
	if f.LeftUS != nil {
		a.TimeLeft = micros(*f.LeftUS)
	}
	return a, nil
}

func decodeArrival(f *fields, m *Message) error {
	a, err := f.arrival()
	if err == nil && f.LeftUS == nil {
		err = missing("time_budget_us")
	}
	m.Event = a
	return err
}

func decodeInherited(f *fields, m *Message) error {
	a, err := f.arrival()
	if err == nil && f.Server == nil {
		err = missing("server")
	}
	if err != nil {
		return err
	}
	m.Event = balance.Inherited{Arrival: a, Server: balance.ServerID(*f.Server)}
	return nil
}

func (f *fields) requireAttempt() error {
	return requireFields("corr", f.Request != nil, "n", f.Attempt != nil)
}

func decodeEstablished(f *fields, m *Message) error {
	if err := f.requireAttempt(); err != nil {
		return err
	}
	m.Event = balance.Established{Request: balance.RequestID(*f.Request), Attempt: *f.Attempt,
		Took: micros(f.TookUS)}
	return nil
}

// The values of the field "what" of a progress message.
const (
	noteLoadChanged    = 1
	noteMessageLatency = 2
)

func decodeProgress(f *fields, m *Message) error {
	if err := requireFields("corr", f.Request != nil, "what", f.Note != nil, "amount", f.Amount != nil); err != nil {
		return err
	}
	switch id := balance.RequestID(*f.Request); *f.Note {
	case noteLoadChanged:
		m.Event = balance.LoadChanged{Request: id, Load: *f.Amount}
	case noteMessageLatency:
		m.Event = balance.MessageLatency{Request: id, Took: time.Duration(*f.Amount * float64(time.Millisecond))}
	default:
		return fmt.Errorf("unknown note %d", *f.Note)
	}
	return nil
}

func (f *fields) outcome() (balance.Outcome, error) {
	if f.Outcome == nil {
		return 0, missing("reason")
	}
	o, ok := outcomes[*f.Outcome]
	if !ok {
		return 0, fmt.Errorf("unknown reason %d", *f.Outcome)
	}
	return o, nil
}

func decodeEnded(f *fields, m *Message) error {
	if err := f.requireAttempt(); err != nil {
		return err
	}
	o, err := f.outcome()
	m.Event = balance.Ended{Request: balance.RequestID(*f.Request), Attempt: *f.Attempt, Outcome: o,
		Took: micros(f.TookUS), Final: f.Final, Report: f.Report.balance()}
	return err
}

func decodeDeparted(f *fields, m *Message) error {
	if f.Request == nil {
		return missing("corr")
	}
	m.Event = balance.Departed{Request: balance.RequestID(*f.Request)}
	return nil
}

func decodeTimerFired(f *fields, m *Message) error {
	if f.Token == nil {
		return missing("label")
	}
	m.Event = balance.TimerFired{Token: *f.Token}
	return nil
}

func decodeProbed(f *fields, m *Message) error {
	if f.Server == nil {
		return missing("server")
	}
	o, err := f.outcome()
	m.Event = balance.Probed{Server: balance.ServerID(*f.Server), Outcome: o, Took: micros(f.TookUS),
		Report: f.Report.balance()}
	return err
}

func decodePeerMessage(f *fields, m *Message) error {
	if f.From == nil {
		return missing("who")
	}
	m.Event = balance.PeerMessage{From: *f.From, Data: f.Data}
	return nil
}

// Encode appends the line for one action of an instance.
func Encode(to []byte, instance string, action balance.Action) []byte {
	var name string
	var body any
	switch a := action.(type) {
	case balance.Place:
		name, body = "dispatch", struct {
			Instance  string `json:"proxy_id"`
			Request   uint64 `json:"corr"`
			Server    string `json:"server"`
			TimeoutUS int64  `json:"timeout_us"`
		}{instance, uint64(a.Request), string(a.Server), a.Timeout.Microseconds()}
	case balance.Refuse:
		name, body = "decline", struct {
			Instance  string `json:"proxy_id"`
			Request   uint64 `json:"corr"`
			BackoffUS int64  `json:"backoff_us,omitempty"`
		}{instance, uint64(a.Request), a.RetryAfter.Microseconds()}
	case balance.Fail:
		name, body = "fail", requestBody{instance, uint64(a.Request)}
	case balance.Move:
		name, body = "transfer", requestBody{instance, uint64(a.Request)}
	case balance.SetTimer:
		name, body = "sleep", struct {
			Instance string `json:"proxy_id"`
			WaitUS   int64  `json:"wait_us"`
			Label    uint64 `json:"label"`
		}{instance, a.After.Microseconds(), a.Token}
	case balance.Probe:
		name, body = "poll", struct {
			Instance string `json:"proxy_id"`
			Server   string `json:"server"`
		}{instance, string(a.Server)}
	case balance.Subscribe:
		name, body = "tail", struct {
			Instance string `json:"proxy_id"`
			Enable   bool   `json:"enable"`
		}{instance, true}
	case balance.Tell:
		name, body = "publish", struct {
			Instance string `json:"proxy_id"`
			Peer     any    `json:"peer"`
			Data     string `json:"data"`
		}{instance, peerValue(a.Peer), strings.ToValidUTF8(a.Data, "")}
	}
	line, err := json.Marshal(map[string]any{name: body})
	if err != nil || name == "" {
		panic(fmt.Sprintf("wire: action %T cannot be written: %v", action, err))
	}
	return append(append(to, line...), '\n')
}

type requestBody struct {
	Instance string `json:"proxy_id"`
	Request  uint64 `json:"corr"`
}

func peerValue(n int) any {
	if n == balance.AllPeers {
		return "*"
	}
	return n
}

// Next is the line that ends a reply.
const Next = `{"next":{}}` + "\n"
