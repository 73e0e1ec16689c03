package evloop

import (
	"container/heap"
	"time"
)

// Timer is a call scheduled for later.
type Timer struct {
	loop  *Loop
	at    time.Duration
	seq   uint64 // breaks ties: of two timers due at the same time, the one created first runs first
	run   func()
	index int // in the heap, or -1 if not scheduled
}

// After runs f on the loop after d. gnet's own ticker runs outside the loop and at a fixed interval. Here one system timer,
// set to the earliest Timer, schedules runDue on the loop.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	t := &Timer{loop: l, at: l.Now() + max(d, 0), seq: l.timerSeq, run: f}
	l.timerSeq++
	heap.Push(&l.timers, t)
	if t.index == 0 {
		l.setSystemTimer()
	}
	return t
}

// Stop cancels the timer. It may be called on a timer that is nil, has fired or is stopped.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

func (l *Loop) setSystemTimer() {
	d := l.timers[0].at - l.Now()
	if l.systemTimer == nil {
		l.systemTimer = time.AfterFunc(d, func() { l.Do(l.runDue) })
		return
	}
	l.systemTimer.Reset(max(d, 0))
}

// runDue runs the timers that are due. A timer that one of them creates with no delay waits for the next call.
func (l *Loop) runDue() {
	now := l.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*Timer).run()
	}
	if len(l.timers) > 0 {
		l.setSystemTimer()
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
