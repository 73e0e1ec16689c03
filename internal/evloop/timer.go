package evloop

import (
	"container/heap"
	"time"
)

// Timer is a call to be made later.
type Timer struct {
	loop *Loop
	at   time.Duration
	seq  uint64 // of two that are due at once, the one set first comes first
	run  func()
	pos  int // in the heap, or -1
}

// After runs f on the loop after d. gnet's own ticker runs beside the loop and at a fixed pace; here one
// system timer, set to the earliest of all, hops onto the loop.
func (l *Loop) After(d time.Duration, f func()) *Timer {
	t := &Timer{loop: l, at: l.Now() + max(d, 0), seq: l.timerSeq, run: f}
	l.timerSeq++
	heap.Push(&l.timers, t)
	if t.pos == 0 {
		l.setAlarm()
	}
	return t
}

// Stop takes the timer back. A nil, fired or stopped timer is fine.
func (t *Timer) Stop() {
	if t != nil && t.pos >= 0 {
		heap.Remove(&t.loop.timers, t.pos)
	}
}

func (l *Loop) setAlarm() {
	d := l.timers[0].at - l.Now()
	if l.alarm == nil {
		l.alarm = time.AfterFunc(d, func() { l.Do(l.fire) })
		return
	}
	l.alarm.Reset(max(d, 0))
}

// fire runs what is due. A timer that a due one sets for now waits for the next round.
func (l *Loop) fire() {
	now := l.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*Timer).run()
	}
	if len(l.timers) > 0 {
		l.setAlarm()
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.pos = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.pos = -1
	return t
}
