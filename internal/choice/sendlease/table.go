package sendlease

import (
	"maps"
	"time"
)

// Table is the leader's side: when it last answered each node, and what each node has confirmed. It is soft state: a new leader
// starts with none of it. It is not safe for concurrent use.
type Table struct {
	terms     Terms
	leads     bool
	since     time.Duration
	answered  map[string]time.Duration
	confirmed map[string]map[string]uint64 // by node and host: the round
}

// NewTable returns the table of a replica that does not lead.
func NewTable(terms Terms) *Table { return &Table{terms: terms} }

// BecomeLeader records that this replica has become leader: every node's lease counts as running from now. Any response of another
// leader was confirmed by a quorum before that quorum elected this one, and its request was older still.
func (t *Table) BecomeLeader(now time.Duration) {
	t.leads, t.since = true, now
	t.answered, t.confirmed = map[string]time.Duration{}, map[string]map[string]uint64{}
}

// Resign records that this replica no longer leads: it knows nothing of any lease.
func (t *Table) Resign() { t.leads, t.answered, t.confirmed = false, nil, nil }

// RecordAnswered records that a response to a node is about to be sent. A quorum has confirmed, after the request arrived, that
// this replica leads.
func (t *Table) RecordAnswered(now time.Duration, node string) {
	if t.leads {
		t.answered[node] = max(t.answered[node], now)
	}
}

// RecordConfirmed adds the confirmations of a request to the earlier ones, in whichever order requests arrive: a confirmation
// stays true for as long as the host is excluded in that round. The node had the host in its store as excluded before it
// confirmed, so it excludes it after a restart too; only a response sent after the turn is over removes it. If the node loses its
// store, it has no lease and excludes all hosts until a response names the host as excluded. A host that is excluded again has a
// later round, and rounds only rise.
func (t *Table) RecordConfirmed(_ time.Duration, q LeaseRequest) {
	if !t.leads || len(q.Confirmed) == 0 {
		return
	}
	rounds := t.confirmed[q.Node]
	if rounds == nil {
		rounds = map[string]uint64{}
		t.confirmed[q.Node] = rounds
	}
	for _, o := range q.Confirmed {
		rounds[o.Host] = max(rounds[o.Host], o.Round)
	}
}

// LeaseState returns what is known of a node's lease. A replica that does not lead considers no lease expired.
func (t *Table) LeaseState(now time.Duration, node string) LeaseState {
	if t.leads && now > max(t.since, t.answered[node])+t.terms.CountedDuration() {
		return Expired
	}
	return Running
}

// Confirmed returns the hosts that a node sends no new work to, with the rounds in which it confirmed them. The caller may keep
// the map.
func (t *Table) Confirmed(node string) map[string]uint64 { return maps.Clone(t.confirmed[node]) }
