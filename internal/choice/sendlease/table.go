package sendlease

import (
	"maps"
	"time"
)

// Table is the leader's side: when it answered each node last, and what each has confirmed. It is soft state: a new
// leader begins with none of it. It is not safe for concurrent use.
type Table struct {
	terms    Terms
	leads    bool
	since    time.Duration
	answered map[string]time.Duration
	holds    map[string]map[string]uint64 // node, host: the round
}

// NewTable returns the table of a seat that does not lead.
func NewTable(terms Terms) *Table { return &Table{terms: terms} }

// Lead says that this seat has become leader: every node's right counts as running from now. Whatever another leader
// answered, a quorum confirmed it before it elected this one, and the question came before that.
func (t *Table) Lead(now time.Duration) {
	t.leads, t.since = true, now
	t.answered, t.holds = map[string]time.Duration{}, map[string]map[string]uint64{}
}

// Resign says that this seat leads no more: it knows nothing of any right.
func (t *Table) Resign() { t.leads, t.answered, t.holds = false, nil, nil }

// Answered says that an answer to a node is about to be sent. A quorum has confirmed that this seat leads, after the
// question came.
func (t *Table) Answered(now time.Duration, node string) {
	if t.leads {
		t.answered[node] = max(t.answered[node], now)
	}
}

// Holds takes the confirmations of a question in. They are added to those before, in whichever order questions come:
// what a node has once confirmed stays true for as long as the host is out in that round. It had the host in its store
// as out before it confirmed it, so that it withholds it after a restart too; only an answer with the turn over takes
// it off. With its store lost it has no right and withholds all hosts, until an answer that tells the host as out. A
// host that is taken out once more has a later round, and rounds only rise.
func (t *Table) Holds(_ time.Duration, q Question) {
	if !t.leads || len(q.Holds) == 0 {
		return
	}
	held := t.holds[q.Node]
	if held == nil {
		held = map[string]uint64{}
		t.holds[q.Node] = held
	}
	for _, o := range q.Holds {
		held[o.Host] = max(held[o.Host], o.Round)
	}
}

// Standing returns what is known of a node's right. A seat that does not lead knows of none that it has run out.
func (t *Table) Standing(now time.Duration, node string) Standing {
	if t.leads && now > max(t.since, t.answered[node])+t.terms.Counted() {
		return Lapsed
	}
	return Running
}

// Confirmed returns the hosts that nothing new of a node goes to, with the rounds in which it said so. The caller may
// keep it.
func (t *Table) Confirmed(node string) map[string]uint64 { return maps.Clone(t.holds[node]) }
