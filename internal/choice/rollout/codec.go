package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// The frame of an encoded plan or holder: a line that names it and the version of its form, the state in JSON with its
// keys in order, and a line that marks the end.
const (
	planHead   = "lichenhitch rollout plan 1\n"
	storedHead = "lichenhitch rollout holder 1\n"
	endMark    = "\nend\n"
)

// Unread is an encoded state that cannot be taken.
type DecodeError struct{ Why string }

func (u *DecodeError) Error() string { return "rollouts: " + u.Why }

// Action says what an operator can do.
func (u *DecodeError) Action() string {
	return "take the snapshot of another seat, or start the node with the version that wrote it"
}

func encode(head string, state any) []byte {
	text, err := json.Marshal(state)
	if err != nil {
		panic(err) // only numbers that are not finite fail, and none are kept
	}
	return append(append([]byte(head), text...), endMark...)
}

func decode(head string, raw []byte, state any) error {
	rest, ok := bytes.CutPrefix(raw, []byte(head))
	if !ok {
		return &DecodeError{fmt.Sprintf("it does not begin with %q", head)}
	}
	if rest, ok = bytes.CutSuffix(rest, []byte(endMark)); !ok {
		return &DecodeError{"its end is missing"}
	}
	d := json.NewDecoder(bytes.NewReader(rest))
	d.DisallowUnknownFields()
	if err := d.Decode(state); err != nil {
		return &DecodeError{err.Error()}
	}
	if !bytes.Equal(encode(head, state), raw) {
		return &DecodeError{"it is not in its one form"}
	}
	return nil
}

// Encode returns the plan as bytes: the same for the same state.
func (p *Plan) Encode() []byte { return encode(planHead, &p.s) }

// Decode reads what Encode wrote. An error is a *Unread.
func Decode(raw []byte) (*Plan, error) {
	p := &Plan{}
	if err := decode(planHead, raw, &p.s); err != nil {
		return nil, err
	}
	if err := p.s.check(); err != nil {
		return nil, &DecodeError{err.Error()}
	}
	p.topology = newTopology(p.s.Tree)
	return p, nil
}

// check finds what later steps rely on.
func (s *state) check() error {
	if err := s.Limits.Check(); err != nil {
		return err
	}
	if s.Texts[s.Good] == nil || s.Nodes == nil || s.MaintenanceEnded == nil || s.SlowThresholds == nil || s.Typical == nil {
		return errors.New("a part is missing")
	}
	for name, n := range s.Nodes {
		if n == nil || n.Baselines == nil {
			return fmt.Errorf("the node %q is empty", name)
		}
	}
	for _, sp := range s.OpenWindows {
		if sp == nil || sp.Nodes == nil {
			return errors.New("a spell is empty")
		}
		for name, ta := range sp.Nodes {
			if ta == nil || ta.Sums == nil {
				return fmt.Errorf("what %q said is empty", name)
			}
		}
	}
	for _, r := range s.Rollouts {
		if r == nil || len(r.Targets) != Stages+1 || r.Stage >= stageCount || r.Phase >= phaseCount || r.Cause >= causeCount {
			return errors.New("a rollout is faulty")
		}
	}
	return nil
}

// Clone returns a copy that shares nothing.
func (p *Plan) Clone() *Plan {
	c := &Plan{s: clone(p.s)}
	c.topology = newTopology(c.s.Tree)
	return c
}

// clone copies a value by its encoded form.
func clone[T any](v T) (out T) {
	text, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		panic(err) // as in encode
	}
	return out
}
