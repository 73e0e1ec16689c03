package verdict

import (
	"encoding/json"
	"fmt"
)

// Action is the kind of an event.
type Action string

// The actions of go test -json that matter here; see go doc test2json and go help buildjson. Others are ignored.
const (
	Run         Action = "run"
	Pass        Action = "pass"
	Fail        Action = "fail"
	Skip        Action = "skip"
	Output      Action = "output"
	BuildOutput Action = "build-output"
	BuildFail   Action = "build-fail"
)

// Event is one line of go test -json.
type Event struct {
	Action      Action
	Package     string
	Test        string // empty in an event of the package itself
	Output      string
	ImportPath  string // of a build event
	FailedBuild string // the failed build that made the package fail
}

// ParseEvent parses a line of go test -json.
func ParseEvent(line []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return Event{}, fmt.Errorf("not an event of go test -json: %w", err)
	}
	if e.Action == "" {
		return Event{}, fmt.Errorf("not an event of go test -json: no action in %q", line)
	}
	return e, nil
}
