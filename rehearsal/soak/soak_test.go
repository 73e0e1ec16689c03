package soak

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"lichenhitch/rehearsal/processes"
)

var (
	seeds  = flag.Int("seeds", 2, "how many seeds are played")
	first  = flag.Uint64("first", 1, "the first of these seeds")
	beside = flag.Int("beside", 2, "how many are played at once")
)

func TestMain(m *testing.M) {
	code := m.Run()
	processes.Unbuild()
	os.Exit(code)
}

// One site under trouble from a seed: every rule is kept, by what clients, hosts and the kernel saw.
func TestSoak(t *testing.T) {
	room := make(chan struct{}, *beside)
	var broken atomic.Int64
	var summing sync.Mutex
	tally := NewTally()
	t.Cleanup(func() {
		fmt.Printf("soak: %d seeds, %d broken; judged: %s\n", *seeds, broken.Load(), tally)
		assert.False(t, tally.NoneTriedAgain(), "no request was tried again in any run")
	})
	for i := range uint64(*seeds) {
		seed := *first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			room <- struct{}{}
			defer func() { <-room }()
			r := Play(t, Draw(seed))
			var told []string
			kept := true
			rulings := Judge(r)
			summing.Lock()
			tally.Add(rulings)
			summing.Unlock()
			for _, ruling := range rulings {
				told = append(told, "    "+ruling.String())
				kept = kept && ruling.Kept()
				assert.True(t, ruling.Kept(), ruling)
			}
			t.Logf("%s\n%s\n%s", Line(r), strings.Join(told, "\n"), strings.Join(r.Order, "\n"))
			fmt.Println(Line(r)) // a line for each seed, also of a run that is not verbose
			if !kept {
				broken.Add(1)
				t.Logf("again: go test ./rehearsal/soak -run TestSoak -args -seeds 1 -first %d", seed)
			}
		})
	}
}
