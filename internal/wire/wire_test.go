package wire

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"lichenhitch/balance"
)

const us = time.Microsecond

const startLine = `{"start":{"proxy_id":"proxy/1","random_seed":9,"info":{"balancers":2,"me":1,"my_zone":"z1",` +
	`"registry_mode":"ask","weight_source":"rough","round_us":2000,"extra":{"message_aim_us":[100000.0],` +
	`"tenant_quota_connections":[35.0]},"parties":[{"name":"t","share":0.5}],` +
	`"permissions":{"probes":true,"peers":true,"second_copies":true,"max_attempts":4,"retry_after":true,` +
	`"max_retry_after_us":1500000,"made_up":1},"request_classes":[{"name":"c","aim_us":500000,` +
	`"semantics":"idempotency_key","group":"cell","window_us":5000000,"streamed":true,"points":3.0}],` +
	`"safety":{"answer_slack_us":8000,"ask_within_us":10000000,"cold_from":0.3,"cold_us":8900000,` +
	`"drain_grace_us":250000,"overload_factor":2.5,"tip_after_us":1000000},` +
	`"tariffs":{"cross_zone":0.03,"probe":0.004,"moves":0.02,"peer":0.01},"new_setting":{"x":[1]}}}}`

func TestDecodeEveryMessage(t *testing.T) {
	report := balance.Report{Known: balance.HasRatio | balance.HasHeld, Ratio: 0.5, Held: 12}
	arrival := balance.Arrival{Request: 4469589345472964, Class: "c", Tenant: "t", Key: "k", Group: "g",
		TimeLeft: 240000 * us, Load: 12000, MidFlow: true, Returning: true, Repeat: true}
	const fields = `"proxy_id":"proxy/1","corr":4469589345472964,"lane":"c","owner":"t","path_key":"k",` +
		`"time_budget_us":240000,"effort_us":12000,"room":"g","stray":true,"reconnect":true,"again_by_client":true`
	for line, want := range map[string]Message{
		`{"mark":{"t_us":8412250}}`:           {Name: "mark", Kind: Mark, Clock: 8412250 * us},
		`{"commit":{}}`:                       {Name: "commit", Kind: Commit},
		`{"power_off":{"proxy_id":"p"}}`:      {Name: "power_off", Kind: Stop, Instance: "p"},
		`{"arrival":{` + fields + `,"x":{}}}`: {Name: "arrival", Instance: "proxy/1", Event: arrival},
		`{"arrival":{"proxy_id":"p","corr":1,"lane":"c","owner":0,"time_budget_us":5}}`: {Name: "arrival",
			Instance: "p", Event: balance.Arrival{Request: 1, Class: "c", TimeLeft: 5 * us}},
		`{"open":{` + fields + `,"server":"s"}}`: {Name: "open", Instance: "proxy/1",
			Event: balance.Inherited{Arrival: arrival, Server: "s"}},
		`{"established":{"proxy_id":"p","corr":1,"time_taken_us":7,"server":"s","n":2}}`: {Name: "established",
			Instance: "p", Event: balance.Established{Request: 1, Attempt: 2, Took: 7 * us}},
		`{"progress":{"proxy_id":"p","corr":1,"what":1,"n":0,"server":"s","amount":2.5}}`: {Name: "progress",
			Instance: "p", Event: balance.LoadChanged{Request: 1, Load: 2.5}},
		`{"progress":{"proxy_id":"p","corr":1,"what":2,"n":0,"server":"s","amount":40}}`: {Name: "progress",
			Instance: "p", Event: balance.MessageLatency{Request: 1, Took: 40 * time.Millisecond}},
		`{"completed":{"proxy_id":"p","corr":1,"server":"s","reason":111,"time_taken_us":7,"n":1}}`: {
			Name: "completed", Instance: "p",
			Event: balance.Ended{Request: 1, Attempt: 1, Outcome: balance.Unreachable, Took: 7 * us}},
		`{"completed":{"proxy_id":"p","corr":1,"reason":0,"n":0,"finished":true,"feedback":{"x0":0.5,"inflight":12}}}`: {
			Name: "completed", Instance: "p", Event: balance.Ended{Request: 1, Final: true, Report: report}},
		`{"lapsed":{"proxy_id":"p","corr":1}}`: {Name: "lapsed", Instance: "p", Event: balance.Departed{Request: 1}},
		`{"tick_due":{"proxy_id":"p","label":9223372036854775807}}`: {Name: "tick_due", Instance: "p",
			Event: balance.TimerFired{Token: 1<<63 - 1}},
		`{"pong":{"proxy_id":"p","server":"s","reason":0,"time_taken_us":7,"feedback":{"x0":0.5,"inflight":12}}}`: {
			Name: "pong", Instance: "p", Event: balance.Probed{Server: "s", Took: 7 * us, Report: report}},
		`{"datagram":{"proxy_id":"p","who":3,"data":"hi 7"}}`: {Name: "datagram", Instance: "p",
			Event: balance.PeerMessage{From: 3, Data: "hi 7"}},
		`{"targets":{"proxy_id":"p","version":4,"kind":"unavailable"}}`: {Name: "targets", Instance: "p",
			Event: balance.ServerList{Kind: balance.ListFailed, Entries: []balance.Listing{}}},
		`{"targets":{"proxy_id":"p","version":4,"kind":"update","rows_in":[{"rating":1.5,"campus":"z","cell":2,` +
			`"sku":"m","server":"s","online_since_us":6,"state":"Stopping"}]}}`: {Name: "targets", Instance: "p",
			Event: balance.ServerList{Kind: balance.ListChanges, Entries: []balance.Listing{{Server: "s", Zone: "z",
				Cell: 2, Weight: 1.5, Started: 6 * us, State: balance.Draining}}}},
	} {
		if want.Event != nil {
			want.Kind = Event
		}
		got, err := Decode([]byte(line))
		if err != nil {
			t.Errorf("%s: %v", line, err)
		} else if !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\n got %+v\nwant %+v", line, got, want)
		}
	}
}

func TestDecodeStart(t *testing.T) {
	m, err := Decode([]byte(startLine))
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Settings{Self: 1, Balancers: 2, Zone: "z1", ListOnRequest: true, WeightsNominal: true,
		Probes: true, Peers: true, Hedging: true, MaxAttempts: 4, MaxRetryAfter: 1500 * time.Millisecond,
		Tick:    2 * time.Millisecond,
		Tenants: []balance.Tenant{{Name: "t", Share: 0.5, Quota: 35}},
		Classes: []balance.Class{{Name: "c", LatencyTarget: 500 * time.Millisecond, Effect: balance.Keyed,
			Group: balance.GroupCell, Window: 5 * time.Second, Streamed: true, Value: 3,
			MessageLatencyTarget: 100 * time.Millisecond}},
		Safety: balance.Safety{AnswerSlack: 8 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ListRefreshInterval: 10 * time.Second, ColdCapacity: 0.3, WarmUp: 8900 * time.Millisecond, OverloadFactor: 2.5,
			OverloadWindow: time.Second},
		Prices: balance.Prices{CrossZone: 0.03, Probe: 0.004, Move: 0.02, Peer: 0.01},
	}
	if m.Kind != Start || m.Seed != 9 || m.Instance != "proxy/1" || !reflect.DeepEqual(m.Settings, want) {
		t.Errorf("got %+v\nwant %+v", m.Settings, want)
	}
}

func TestEncodeEveryAction(t *testing.T) {
	for _, tc := range []struct {
		action balance.Action
		want   string
	}{
		{balance.Place{Request: 7, Server: "s", Timeout: 80 * time.Millisecond},
			`{"dispatch":{"proxy_id":"p","corr":7,"server":"s","timeout_us":80000}}`},
		{balance.Refuse{Request: 7, RetryAfter: time.Second}, `{"decline":{"proxy_id":"p","corr":7,"backoff_us":1000000}}`},
		{balance.Refuse{Request: 7}, `{"decline":{"proxy_id":"p","corr":7}}`},
		{balance.Fail{Request: 7}, `{"fail":{"proxy_id":"p","corr":7}}`},
		{balance.Move{Request: 7}, `{"transfer":{"proxy_id":"p","corr":7}}`},
		{balance.SetTimer{After: time.Second, Token: 3}, `{"sleep":{"proxy_id":"p","wait_us":1000000,"label":3}}`},
		{balance.Probe{Server: "s"}, `{"poll":{"proxy_id":"p","server":"s"}}`},
		{balance.Subscribe{}, `{"tail":{"proxy_id":"p","enable":true}}`},
		{balance.Tell{Peer: balance.AllPeers, Data: "hi"}, `{"publish":{"proxy_id":"p","peer":"*","data":"hi"}}`},
		{balance.Tell{Peer: 2, Data: "hi"}, `{"publish":{"proxy_id":"p","peer":2,"data":"hi"}}`},
	} {
		if got := string(Encode(nil, "p", tc.action)); got != tc.want+"\n" {
			t.Errorf("%#v:\n got %s want %s", tc.action, got, tc.want)
		}
	}
}

func batch(lines ...string) string {
	return `{"mark":{"t_us":1000}}` + "\n" + strings.Join(lines, "\n") + "\n" + `{"commit":{}}` + "\n"
}

func TestServeAnswersEveryBatch(t *testing.T) {
	in := batch() + batch(startLine,
		`{"targets":{"proxy_id":"proxy/1","version":1,"kind":"restored","rows_in":[{"server":"s","state":"Running"}]}}`,
	) + batch(`{"power_off":{"proxy_id":"proxy/1"}}`, startLine) + batch(`{"power_off":{"proxy_id":"proxy/1"}}`)
	var out bytes.Buffer
	if err := Serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out.String(), Next); got != 4 {
		t.Errorf("%d replies to 4 batches:\n%s", got, out.String())
	}
	if !strings.Contains(out.String(), `"sleep"`) {
		t.Error("no reply has a sleep action")
	}
}

func TestErrorsNameTheMalformedMessage(t *testing.T) {
	for name, tc := range map[string]struct{ in, want string }{
		"not json":         {batch(`hello`), "not a message"},
		"two names":        {batch(`{"lapsed":{},"pong":{}}`), "lapsed: fields"},
		"unknown message":  {batch(`{"surprise":{"proxy_id":"p"}}`), "surprise: unknown message"},
		"not an object":    {batch(`{"lapsed":3}`), "lapsed: fields are not an object"},
		"no instance":      {batch(`{"lapsed":{"corr":1}}`), "lapsed: proxy_id is missing"},
		"wrong type":       {batch(`{"lapsed":{"proxy_id":"p","corr":"x"}}`), "lapsed: fields"},
		"unknown instance": {batch(`{"lapsed":{"proxy_id":"p","corr":1}}`), `lapsed: unknown instance "p"`},
		"no request":       {batch(`{"lapsed":{"proxy_id":"p"}}`), "lapsed: corr is missing"},
		"no reason":        {batch(`{"pong":{"proxy_id":"p","server":"s"}}`), "pong: reason is missing"},
		"unknown reason":   {batch(`{"pong":{"proxy_id":"p","server":"s","reason":42}}`), "pong: unknown reason 42"},
		"no attempt":       {batch(`{"completed":{"proxy_id":"p","corr":1,"reason":0}}`), "completed: n is missing"},
		"unknown state": {batch(`{"targets":{"proxy_id":"p","kind":"update","rows_in":[{"server":"s","state":"?"}]}}`),
			`targets: entry 0: unknown state "?"`},
		"no server": {batch(`{"targets":{"proxy_id":"p","kind":"update","rows_in":[{"state":"Running"}]}}`),
			"targets: entry 0: server is missing"},
		"unknown kind":    {batch(`{"targets":{"proxy_id":"p","kind":"?"}}`), `targets: unknown kind "?"`},
		"no settings":     {batch(`{"start":{"proxy_id":"p","random_seed":1}}`), "start: info is missing"},
		"outside a batch": {`{"lapsed":{"proxy_id":"p","corr":1}}`, "lapsed: outside a batch"},
		"batch in batch":  {`{"mark":{"t_us":1}}` + "\n" + `{"mark":{"t_us":1}}`, "mark: the batch before is not closed"},
		"truncated":       {`{"mark":{"t_us":1}}` + "\n", "commit: the input ends inside a batch"},
		"cut line":        {`{"mark":{"t_us":1}}` + "\n" + `{"lapsed":{"proxy`, "not a message"},
	} {
		t.Run(name, func(t *testing.T) {
			err := Serve(strings.NewReader(tc.in), &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want %q", err, tc.want)
			}
			if strings.Contains(err.Error(), "\n") {
				t.Error("more than one line")
			}
		})
	}
}

// FuzzServe checks that neither the decoder nor the balancers panic on any input; errors are fine.
func FuzzServe(f *testing.F) {
	f.Add(batch(startLine))
	f.Add(batch(startLine, `{"arrival":{"proxy_id":"proxy/1","corr":1,"lane":"c","time_budget_us":-5}}`))
	f.Add(batch(startLine, `{"open":{"proxy_id":"proxy/1","corr":1,"lane":"c","server":"s","effort_us":-1e300}}`))
	f.Add(batch(startLine, `{"targets":{"proxy_id":"proxy/1","kind":"update","rows_in":[{"server":"s",`+
		`"state":"Running","rating":-1}]}}`, `{"pong":{"proxy_id":"proxy/1","server":"s","reason":0,"feedback":{"x0":1e308}}}`,
		`{"arrival":{"proxy_id":"proxy/1","corr":1,"lane":"c","time_budget_us":500000}}`))
	f.Add(batch(`{"start":{"proxy_id":"proxy/1","random_seed":1,"info":{}}}`, `{"tick_due":{"proxy_id":"proxy/1","label":2}}`))
	f.Add(`{"mark":null}`)
	f.Fuzz(func(_ *testing.T, in string) {
		_ = Serve(strings.NewReader(in), &bytes.Buffer{})
	})
}
