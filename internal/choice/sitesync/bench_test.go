package sitesync

import (
	"fmt"
	"testing"
)

// newQueuedSite returns a site with n writes that the site above does not have, a forwarder with credit for a call of
// 32, and a function that adds writes. One write in a thousand is urgent; with outOfOrder, one in a hundred names by a
// token a write that has not arrived.
func newQueuedSite(n int, outOfOrder bool) (*Site, *Forwarder, func(int)) {
	s := New(Place{Site: "b", Level: 1, Incarnation: 1, Ancestors: []string{"p"}},
		Limits{Bytes: 1 << 30, Number: 1 << 20, Batch: 32, Held: 4})
	written := 0
	write := func(n int) {
		for range n {
			l := &LocalWrite{Kind: Note, Subject: fmt.Sprint(written % 5000), Value: []byte("x"), Urgent: written%1000 == 999}
			if outOfOrder && written%100 == 50 {
				l.Token = VersionVector{{Origin{Site: "r", Incarnation: 1}, uint64(written)}}.Encode()
			}
			s.Apply(0, Command{Write: l})
			written++
		}
		s.Apply(0, *s.Unoffered())
	}
	write(n)
	c := NewForwarder(func() *Site { return s }, Timing{MaxFailures: 9})
	c.Next(0)
	c.Answered(0, &Answer{From: "p", Incarnation: 1, Credit: 32})
	return s, c, write
}

// BenchmarkCall measures building a call at a site with many writes that the site above does not have.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		for _, outOfOrder := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d,tangled=%v", n, outOfOrder), func(b *testing.B) {
				_, c, _ := newQueuedSite(n, outOfOrder)
				for b.Loop() {
					if call := c.batch("p"); len(call.Writes) != 32 {
						b.Fatal(len(call.Writes))
					}
					c.caughtUp(c.routes["p"])
				}
			})
		}
	}
}

// BenchmarkJudged measures applying the state update that judges 32 more writes, and adding as many new ones.
func BenchmarkJudged(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, _, write := newQueuedSite(n, false)
			for judged := uint64(32); b.Loop(); judged += 32 {
				s.Apply(0, Command{Down: &StateUpdate{From: "p", Incarnation: 1, To: 1, Judged: VersionVector{{s.ownOrigin(0), judged}}}})
				write(32)
			}
		})
	}
}
