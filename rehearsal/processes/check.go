package processes

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Allowance limits how many hosts of a site may be under maintenance at the same time; 0 means no limit.
type Allowance struct{ Site, Zone, Kind int }

// Grant is a turn whose work has begun, as its requester observed it: from Observed to EndCalled the host was certainly
// granted.
type Grant struct {
	ID, Host     string
	Round        uint64
	Requested    time.Duration // call of the first request about the turn
	Observed     time.Duration // first reply that shows it granted or working, in the round in which its work began
	EndCalled    time.Duration // call of the first request to end it
	EndConfirmed time.Duration // reply to that request; forever if none was received
}

const forever = time.Duration(math.MaxInt64)

// Grants returns the grants in a history, in the order in which they were observed. A turn that was granted but revoked
// before its work began proves nothing and is left out.
func Grants(ops []Op) []Grant {
	byID := make(map[string]*Grant)
	var ids []string
	grantOf := func(op Op) *Grant {
		g := byID[op.ID]
		if g == nil {
			g = &Grant{ID: op.ID, Requested: op.Call, Observed: forever, EndCalled: forever, EndConfirmed: forever}
			byID[op.ID], ids = g, append(ids, op.ID)
		}
		g.Requested = min(g.Requested, op.Call)
		return g
	}
	sorted := slices.SortedStableFunc(slices.Values(ops), func(a, b Op) int { return int(a.Call - b.Call) })
	for _, op := range sorted {
		if op.ID != "" && op.Kind != "DeclareDead" && op.Kind != "TakeIn" {
			g := grantOf(op)
			if op.Kind == "Done" || op.Kind == "Withdraw" {
				g.EndCalled = min(g.EndCalled, op.Call)
				if op.Return > 0 && op.Error == "" {
					g.EndConfirmed = min(g.EndConfirmed, op.Return)
				}
			}
		}
		for _, observed := range op.Observed { // determines the round in which the work began
			if g := byID[observed.ID]; g != nil && observed.Phase == "working" {
				g.Round, g.Host = observed.Round, observed.Host
			}
		}
	}
	var out []Grant
	for _, id := range ids {
		g := byID[id]
		if g.Host == "" {
			continue
		}
		for _, op := range ops {
			for _, observed := range op.Observed {
				if observed.ID == id && observed.Round == g.Round && (observed.Phase == "granted" || observed.Phase == "working") {
					g.Observed = min(g.Observed, op.Return)
				}
			}
		}
		if g.Observed < g.EndCalled { // a grant observed only after the request to end it proves nothing
			out = append(out, *g)
		}
	}
	slices.SortStableFunc(out, func(a, b Grant) int { return int(a.Observed - b.Observed) })
	return out
}

// CheckTurns checks what requesters and hosts observed: no first line reached a granted host, no host was granted to two
// turns at once, and never were more hosts granted than allowed.
func CheckTurns(ops []Op, lines []FirstLine, hosts []HostPlan, allowed Allowance) []Violation {
	grants := Grants(ops)
	out := append(linesDuringGrants(grants, lines), grantsOverAllowance(grants, hosts, allowed)...)
	for _, part := range partition(Operations(grants, lines)) {
		if fitsModel(part) {
			continue
		}
		host := part[0].Input.(Step).Host
		if !slices.ContainsFunc(out, func(v Violation) bool { return v.Host == host }) {
			out = append(out, Violation{Host: host, At: time.Duration(part[0].Call),
				What: fmt.Sprintf("what host %s and its requesters observed fits no order of turns", host)})
		}
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return int(a.At - b.At) })
	return out
}

// linesDuringGrants returns a violation for each first line that reached a host while it was granted.
func linesDuringGrants(grants []Grant, lines []FirstLine) (out []Violation) {
	for _, g := range grants {
		for _, l := range lines {
			if l.Host == g.Host && l.At > g.Observed && l.At < g.EndCalled {
				out = append(out, Violation{Host: g.Host, At: l.At, What: fmt.Sprintf(
					"a first line of %s reached %s, granted to turn %s since %s: %s", l.Node, l.Host, g.ID, g.Observed, l.Line)})
			}
		}
	}
	return out
}

// grantsOverAllowance returns a violation for each grant that exceeded the allowance.
func grantsOverAllowance(grants []Grant, hosts []HostPlan, allowed Allowance) (out []Violation) {
	planOf := func(id string) HostPlan {
		i := slices.IndexFunc(hosts, func(h HostPlan) bool { return h.ID == id })
		if i < 0 {
			return HostPlan{ID: id}
		}
		return hosts[i]
	}
	for _, g := range grants {
		hostPlan := planOf(g.Host)
		var site, zone, kind int
		for _, other := range grants {
			if p := planOf(other.Host); p.Site == hostPlan.Site && other.Observed <= g.Observed && g.Observed < other.EndCalled {
				site++
				if p.Zone == hostPlan.Zone {
					zone++
				}
				if p.Kind == hostPlan.Kind {
					kind++
				}
			}
		}
		for _, c := range []struct {
			scope    string
			n, bound int
		}{{"the site", site, allowed.Site}, {"zone " + hostPlan.Zone, zone, allowed.Zone}, {"kind " + hostPlan.Kind, kind, allowed.Kind}} {
			if c.bound > 0 && c.n > c.bound {
				out = append(out, Violation{Host: g.Host, At: g.Observed, What: fmt.Sprintf(
					"with turn %s of host %s, %d hosts of %s are granted; the limit is %d", g.ID, g.Host, c.n, c.scope, c.bound)})
			}
		}
	}
	return out
}

// StepKind is a kind of operation in the model of a host.
type StepKind uint8

// The kinds: the host is granted to a turn, the turn returns it, a first line reaches it.
const (
	GrantHost StepKind = iota
	ReturnHost
	ReceiveLine
)

// Step is the input of an operation of the model.
type Step struct {
	Kind StepKind
	Host string
	Turn string // for GrantHost and ReturnHost
}

// Operations converts grants and first lines to operations of the model. First lines that arrived while no turn was
// requested for their host are left out: they can always be placed at their own time.
func Operations(grants []Grant, lines []FirstLine) []porcupine.Operation {
	var out []porcupine.Operation
	add := func(s Step, call, ret time.Duration) {
		out = append(out, porcupine.Operation{Input: s, Call: int64(call), Return: int64(ret)})
	}
	for _, g := range grants {
		add(Step{Kind: GrantHost, Host: g.Host, Turn: g.ID}, g.Requested, g.Observed)
		if g.EndCalled < forever {
			add(Step{Kind: ReturnHost, Host: g.Host, Turn: g.ID}, g.EndCalled, g.EndConfirmed)
		}
	}
	for _, l := range lines {
		if slices.ContainsFunc(grants, func(g Grant) bool { return g.Host == l.Host && g.Requested <= l.At && l.At <= g.EndConfirmed }) {
			add(Step{Kind: ReceiveLine, Host: l.Host}, l.At, l.At)
		}
	}
	return out
}

// HostModel returns the porcupine model of one host. Its state is the turn to which the host is granted, or "".
func HostModel() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return "" },
		Step: func(state, input, _ any) (bool, any) {
			holder, s := state.(string), input.(Step)
			switch s.Kind {
			case GrantHost:
				return holder == "", s.Turn
			case ReturnHost:
				return holder == s.Turn, ""
			default:
				return holder == "", holder
			}
		},
		DescribeOperation: func(input, _ any) string { return fmt.Sprint(input) },
	}
}

// partition splits a history by host, in the order of the hosts' first operations.
func partition(history []porcupine.Operation) (parts [][]porcupine.Operation) {
	indexOf := make(map[string]int)
	for _, op := range history {
		host := op.Input.(Step).Host
		i, ok := indexOf[host]
		if !ok {
			i = len(parts)
			indexOf[host], parts = i, append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

// fitsModel reports whether the history of one host is linearizable with respect to the model.
func fitsModel(part []porcupine.Operation) bool { return porcupine.CheckOperations(HostModel(), part) }
