package verdict

import (
	"encoding/json"
	"fmt"
)

// Action is what an event tells.
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
	Test        string // empty where the event is of the package
	Output      string
	ImportPath  string // of a build
	FailedBuild string // the build for want of which a package failed
}

// ParseEvent reads a line of go test -json.
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
