package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// An encoded Plan or Stored has three parts: a line with the name and format version, the state as JSON with keys in a fixed
// order, and an end marker.
const (
	planHead   = "lichenhitch rollout plan 1\n"
	storedHead = "lichenhitch rollout holder 1\n"
	endMark    = "\nend\n"
)

// DecodeError reports encoded state that cannot be decoded.
type DecodeError struct{ Why string }

func (u *DecodeError) Error() string { return "rollouts: " + u.Why }

// Action returns what an operator can do about the error.
func (u *DecodeError) Action() string {
	return "restore the snapshot of another replica, or start the node with the version that wrote this state"
}

func encode(head string, state any) []byte {
	text, err := json.Marshal(state)
	if err != nil {
		panic(err) // only non-finite numbers fail to encode, and none are stored
	}
	return append(append([]byte(head), text...), endMark...)
}

func decode(head string, raw []byte, state any) error {
	rest, ok := bytes.CutPrefix(raw, []byte(head))
	if !ok {
		return &DecodeError{fmt.Sprintf("the encoded state does not begin with %q", head)}
	}
	if rest, ok = bytes.CutSuffix(rest, []byte(endMark)); !ok {
		return &DecodeError{"the end mark of the encoded state is missing"}
	}
	d := json.NewDecoder(bytes.NewReader(rest))
	d.DisallowUnknownFields()
	if err := d.Decode(state); err != nil {
		return &DecodeError{err.Error()}
	}
	if !bytes.Equal(encode(head, state), raw) {
		return &DecodeError{"the encoded state is not in canonical form"}
	}
	return nil
}

// Encode returns the canonical encoding of the plan: equal states have equal bytes.
func (p *Plan) Encode() []byte { return encode(planHead, &p.s) }

// Decode decodes the output of Encode. An error is a *DecodeError.
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

// check verifies the invariants that later commands rely on.
func (s *state) check() error {
	if err := s.Limits.Check(); err != nil {
		return err
	}
	if s.Texts[s.Good] == nil || s.Nodes == nil || s.MaintenanceEnded == nil || s.SlowThresholds == nil || s.Typical == nil {
		return errors.New("the texts, nodes or another part of the plan is missing")
	}
	for name, n := range s.Nodes {
		if n == nil || n.Baselines == nil {
			return fmt.Errorf("the node %q has no state or no baselines", name)
		}
	}
	for _, w := range s.OpenWindows {
		if w == nil || w.Nodes == nil {
			return errors.New("an open window is empty")
		}
		for name, t := range w.Nodes {
			if t == nil || t.Sums == nil {
				return fmt.Errorf("the tally of node %q is empty", name)
			}
		}
	}
	for _, r := range s.Rollouts {
		if r == nil || len(r.Targets) != Stages+1 || r.Stage >= stageCount || r.Phase >= phaseCount || r.Cause >= causeCount {
			return errors.New("a rollout has an invalid stage, phase, cause or number of targets")
		}
	}
	return nil
}

// Clone returns a deep copy.
func (p *Plan) Clone() *Plan {
	c := &Plan{s: clone(p.s)}
	c.topology = newTopology(c.s.Tree)
	return c
}

// clone returns a deep copy of a value by encoding and decoding it.
func clone[T any](v T) (out T) {
	text, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		panic(err) // for the same reason as in encode
	}
	return out
}
