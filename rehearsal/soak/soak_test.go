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
	seeds    = flag.Int("seeds", 2, "number of seeds to run")
	first    = flag.Uint64("first", 1, "the first seed")
	parallel = flag.Int("beside", 2, "number of seeds to run at once")
)

func TestMain(m *testing.M) {
	code := m.Run()
	processes.Unbuild()
	os.Exit(code)
}

// TestSoak runs one site under faults generated from a seed and checks every rule against what clients, hosts and the
// kernel observed.
func TestSoak(t *testing.T) {
	slots := make(chan struct{}, *parallel)
	var failedSeeds atomic.Int64
	var tallyMu sync.Mutex
	tally := NewTally()
	t.Cleanup(func() {
		fmt.Printf("soak: %d seeds, %d broken; cases checked: %s\n", *seeds, failedSeeds.Load(), tally)
		assert.False(t, tally.NoneRetried(), "no request was tried again in any run")
	})
	for i := range uint64(*seeds) {
		seed := *first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			r := Run(t, GeneratePlan(seed))
			var lines []string
			passed := true
			results := Judge(r)
			tallyMu.Lock()
			tally.Add(results)
			tallyMu.Unlock()
			for _, result := range results {
				lines = append(lines, "    "+result.String())
				passed = passed && result.Passed()
				assert.True(t, result.Passed(), result)
			}
			t.Logf("%s\n%s\n%s", SummaryLine(r), strings.Join(lines, "\n"), strings.Join(r.EventLog, "\n"))
			fmt.Println(SummaryLine(r)) // one line per seed, also without -v
			if !passed {
				failedSeeds.Add(1)
				t.Logf("to repeat: go test ./rehearsal/soak -run TestSoak -args -seeds 1 -first %d", seed)
			}
		})
	}
}
