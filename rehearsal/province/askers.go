package province

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lichenhitch/internal/choice/turns"
	"lichenhitch/internal/control"
)

// ask follows one turn from its asking to its end, through whichever node answers.
func (w *World) ask(p *place, a *work) {
	a.asked = w.now
	if p.doomed {
		a.over = true
		return
	}
	if w.Plain {
		p.lock.list = append(p.lock.list, a)
		return
	}
	w.call(p, a, turns.Command{Request: &turns.Request{ID: a.id, Host: a.host, Duration: 2 * time.Second, Requester: "staff"}})
}

// call brings a command before the council, through any node, and then looks again and again.
func (w *World) call(p *place, a *work, cmd turns.Command) {
	if !a.over {
		w.callAt(p, a, cmd, p.nodes[w.rng.IntN(len(p.nodes))])
	}
}

func (w *World) callAt(p *place, a *work, cmd turns.Command, n *node) {
	answered := false
	a.at = n
	next := func(d time.Duration) {
		if !answered {
			answered, a.at = true, nil
			w.after(d, func() { w.step(p, a) })
		}
	}
	w.after(5*time.Second, func() { next(0) })
	if !n.up { // nobody listens there: the call fails at once, as others do
		next(100 * time.Millisecond)
		return
	}
	a.lost = func() { next(100 * time.Millisecond) }
	if n.paused || n.core == nil {
		return
	}
	n.core.Submit(n.clock(), control.Call{Command: cmd, ID: a.id}, func(r control.Reply, err error) {
		if answered {
			return
		}
		var elsewhere *control.NotLeaderError
		if errors.As(err, &elsewhere) {
			answered = true
			i := slices.IndexFunc(p.nodes, func(m *node) bool { return m.name == elsewhere.Leader })
			w.after(2*time.Millisecond, func() { w.callAt(p, a, cmd, p.nodes[i]) })
			return
		}
		if err == nil || r.Turn.ID != "" {
			w.learn(p, a, cmd, r.Turn, err)
		}
		next(100 * time.Millisecond)
	})
}

// learn takes in what the asker was told. Only what it was told of its own call counts as done.
func (w *World) learn(p *place, a *work, cmd turns.Command, t turns.Turn, err error) {
	if !a.agreed {
		a.agreed = true
		w.tally.Agreed = append(w.tally.Agreed, w.now-a.asked)
	}
	if t.Phase == turns.Granted {
		a.granted = true
		w.count(a)
	}
	if t.Phase == turns.Working && !a.begun { // nobody else begins it
		w.work(p, a)
	}
	if t.Phase == turns.Over && !a.over {
		a.over = true
		if a.done {
			w.tally.Done++
			w.back(p, a)
		}
	}
}

// count notes that a turn was given for the first time.
func (w *World) count(a *work) {
	if !a.counted {
		a.counted = true
		w.tally.Granted++
		w.tally.Waited = append(w.tally.Waited, w.now-a.asked)
	}
}

// overrun is by how much work now and then takes longer than was said.
const overrun = 10 * time.Second

// work begins work, and ends it when it is done.
func (w *World) work(p *place, a *work) {
	h := p.hosts[a.host]
	a.begun, h.inWork, h.by = true, true, a.id
	w.say(a.id + " begins at " + h.id)
	if w.Lists.Leave {
		h.leaves(w)
	}
	out := 0
	for _, h := range p.hosts {
		if h.inWork {
			out++
		}
	}
	w.tally.MostOut = max(w.tally.MostOut, out)
	if out > w.Limits.Site {
		w.broken(fmt.Sprintf("%d hosts of %s are in work, %d allowed", out, p.name, w.Limits.Site))
	}
	w.after(a.lasts, func() {
		a.done, a.doneAt, h.inWork = true, w.now, false
		if w.Lists.Leave {
			h.returns(w)
		}
		if w.Plain {
			w.tally.Done++
		}
		w.say(a.id + " is done at " + h.id)
	})
}

// step does what an asker does next: it asks once more, which has no second effect and tells how the turn stands; it
// begins what is granted, and reports what is done.
func (w *World) step(p *place, a *work) {
	switch {
	case a.done:
		w.call(p, a, turns.Command{Done: &turns.Ref{ID: a.id}})
	case a.begun:
		w.after(200*time.Millisecond, func() { w.step(p, a) })
	case a.granted:
		a.granted = false // it may be called back before the work begins
		w.call(p, a, turns.Command{Begin: &turns.Ref{ID: a.id}})
	default:
		w.call(p, a, turns.Command{Request: &turns.Request{ID: a.id, Host: a.host, Duration: 2 * time.Second, Requester: "staff"}})
	}
}
