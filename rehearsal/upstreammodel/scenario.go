package upstreammodel

import "lichenhitch/internal/choice/sitesync"

// Write is a write of a scenario.
type Write struct {
	Site      int
	Local     sitesync.LocalWrite
	needs     []int // indexes of the writes that it needs; it is made once its site holds them
	tokenSite int   // the site whose token is presented, plus one
	after     int   // index of the write that must be made before it, plus one
	afterLoss bool  // made in the building's second incarnation
}

// Scenario is a set of writes that may be made at any time, with the limits of the network.
type Scenario struct {
	Name, About   string
	Writes        []Write
	MaxCalls      int
	MaxLosses     int
	MaxDuplicates int
	StoreLoss     bool // the building loses its store once
	NoRelay       bool // the building calls the province only
}

func local(k sitesync.Kind, subject, value string) sitesync.LocalWrite {
	return sitesync.LocalWrite{Kind: k, Subject: subject, Value: []byte(value)}
}

func urgent(l sitesync.LocalWrite) sitesync.LocalWrite {
	l.Urgent = true
	return l
}

func closing(l sitesync.LocalWrite) sitesync.LocalWrite {
	l.Closes = true
	return l
}

var scenarios = []Scenario{
	{Name: "two-routes", About: "a replay that begins with the parent and ends with the grandparent, with losses and repetitions",
		Writes: []Write{
			{Site: building, Local: local(sitesync.Safety, "host/1", "out")},
			{Site: building, Local: local(sitesync.Safety, "host/1", "back"), after: 1},
			{Site: building, Local: urgent(local(sitesync.Safety, "host/2", "out")), after: 2},
			{Site: province, Local: local(sitesync.Safety, "host/1", "out smoke")},
		}, MaxCalls: 2, MaxLosses: 1},
	{Name: "concurrent", About: "all three sites write on one subject",
		Writes: []Write{
			{Site: building, Local: local(sitesync.Policy, "policy/1", "halt")},
			{Site: regency, Local: local(sitesync.Policy, "policy/1", "begin")},
			{Site: province, Local: local(sitesync.Policy, "policy/1", "resume")},
			{Site: building, Local: urgent(local(sitesync.Policy, "policy/1", "force")), after: 1},
		}, MaxCalls: 2},
	{Name: "token", About: "an operator moves from the regency to the building, whose writes go on to the province",
		Writes: []Write{
			{Site: regency, Local: local(sitesync.Work, "host/1", "asked")},
			{Site: building, Local: local(sitesync.Work, "host/1", "begun"), tokenSite: regency + 1, after: 1},
			{Site: building, Local: urgent(local(sitesync.Work, "host/1", "done")), after: 2},
		}, MaxCalls: 2, MaxLosses: 1, MaxDuplicates: 1},
	{Name: "closed", About: "the province closes a subject that others write on",
		Writes: []Write{
			{Site: building, Local: local(sitesync.Work, "host/1", "asked")},
			{Site: building, Local: local(sitesync.Work, "host/2", "begun"), needs: []int{0}},
			{Site: building, Local: local(sitesync.Note, "policy/1", "seen"), needs: []int{0}},
			{Site: province, Local: closing(local(sitesync.Work, "host/1", "taken off"))},
		}, MaxCalls: 2, MaxLosses: 1},
	{Name: "pieces", About: "a state is sent down in chunks, with a refusal before the last one",
		Writes: []Write{
			{Site: building, Local: local(sitesync.Work, "host/1", "asked"), tokenSite: province + 1, after: 2},
			{Site: province, Local: closing(local(sitesync.Work, "host/1", "taken off"))},
			{Site: province, Local: local(sitesync.Note, "policy/1", "a"), after: 2},
			{Site: province, Local: local(sitesync.Note, "policy/2", "b"), after: 3},
		}, MaxCalls: 2, MaxLosses: 1, NoRelay: true},
	{Name: "lost-store", About: "the building loses its store; another site depends on a write that it had not sent",
		Writes: []Write{
			{Site: building, Local: local(sitesync.Work, "host/1", "asked")},
			{Site: regency, Local: local(sitesync.Work, "host/1", "begun"), tokenSite: building + 1},
			{Site: building, Local: local(sitesync.Safety, "host/1", "out"), afterLoss: true},
		}, MaxCalls: 2, MaxDuplicates: 1, StoreLoss: true},
	{Name: "evidence", About: "evidence that may be merged before it is sent, with a lost store",
		Writes: []Write{
			{Site: building, Local: local(sitesync.Evidence, "policy/1", "\x01")},
			{Site: building, Local: local(sitesync.Evidence, "policy/1", "\x02"), after: 1},
			{Site: building, Local: local(sitesync.Evidence, "policy/1", "\x04"), afterLoss: true},
			{Site: regency, Local: local(sitesync.Evidence, "policy/1", "\x08")},
		}, MaxCalls: 2, MaxLosses: 1, StoreLoss: true},
}

// Scenarios lists the scenarios.
func Scenarios() []Scenario { return scenarios }
