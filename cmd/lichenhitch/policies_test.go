package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/config"
	"lichenhitch/internal/control"
	"lichenhitch/internal/settings"
)

func policy(t *testing.T, text string) control.Policy {
	t.Helper()
	p, err := rollout.Parse([]byte(text))
	require.NoError(t, err)
	return control.Policy{Hash: p.Hash(), Text: p.Text()}
}

// goBy has a node go by a policy, as control does, and returns the policy's hash.
func goBy(t *testing.T, n *node, text string) rollout.Hash {
	t.Helper()
	p := policy(t, text)
	n.loop.Call(func() { traffic{n}.ApplyPolicy(p) })
	return p.Hash
}

// full has the node's door full, so that whoever comes is told at once when to come again: no later than the settings allow.
func full(n *node) { n.loop.Call(func() { n.acceptor.SetMaxConns(0) }) }

func advice(t *testing.T, n *node, extra string) string {
	t.Helper()
	c := dial(t, n)
	open(c, extra)
	return c.hear()
}

// told returns what a node would tell control now.
func told(n *node) (control.Report, func()) {
	var r control.Report
	var taken func()
	n.loop.Call(func() {
		r.Under, r.Retuned = n.tuning.under, n.tuning.changes
		taken = n.evidence(&r)
	})
	return r, func() { n.loop.Call(taken) }
}

// changed is a configuration whose settings have other text.
func changed(t *testing.T, cfg config.Config, old, new string) config.Config {
	t.Helper()
	require.Contains(t, string(cfg.RawSettings), old)
	cfg.RawSettings = []byte(strings.Replace(string(cfg.RawSettings), old, new, 1))
	var err error
	cfg.Settings, err = settings.Decode(cfg.RawSettings)
	require.NoError(t, err)
	return cfg
}

func TestAPolicyChangesHowOftenAHostIsTried(t *testing.T) {
	for text, tries := range map[string]int{`{}`: 2, `{"permissions":{"max_attempts":1}}`: 1} {
		busy := func(_ string, c net.Conn, _ *bufio.Reader) { io.WriteString(c, "BUSY inflight=7\r\n") }
		a, b := newHost(t, "a", busy), newHost(t, "b", busy)
		n := startNode(t, newDiscovery(t), list(1, true, targetsOf(a, b)...))
		goBy(t, n, text)
		assert.Regexp(t, `^BUSY( \d+)?$`, advice(t, n, ""))
		assert.Len(t, append(a.firstLines(), b.firstLines()...), tries, text)
	}
}

// A policy holds over settings that are read again, for as long as it fits them. One that does not changes nothing.
func TestSettingsAreReadAgainBelowAPolicy(t *testing.T) {
	cfg := testConfig(t, newDiscovery(t), list(1, true))
	var log lines
	n, err := start(slog.New(slog.NewTextHandler(&log, nil)), cfg)
	require.NoError(t, err)
	t.Cleanup(n.stop)
	full(n)
	under := func() (rollout.Hash, uint64) { r, _ := told(n); return r.Under, r.Retuned }
	assert.Equal(t, "BUSY 1000", advice(t, n, ""))
	trial := goBy(t, n, `{"permissions":{"max_retry_after_us":70000},"request_classes":{"chat":{"points":7}}}`)
	assert.Equal(t, "BUSY 70", advice(t, n, ""))
	goBy(t, n, `{"request_classes":{"another":{"points":7}}}`)
	assert.Equal(t, "BUSY 70", advice(t, n, ""))
	now, changes := under()
	assert.Equal(t, trial, now)
	assert.Zero(t, changes)
	assert.Equal(t, 1, log.count("does not fit the settings"))

	longer := changed(t, cfg, `"deadline_us":3000000`, `"deadline_us":4000000`)
	n.reload(longer, nil)
	n.reload(longer, nil)
	assert.Equal(t, "BUSY 70", advice(t, n, ""))
	now, changes = under()
	assert.Equal(t, trial, now)
	assert.Equal(t, uint64(1), changes, "the second changed nothing")
	n.loop.Call(func() {
		assert.Equal(t, 4*time.Second, n.tuning.set.Classes[0].Deadline)
		assert.Equal(t, 7.0, n.tuning.set.Classes[0].Value)
		assert.True(t, n.tuning.set.PassThrough)
	})

	n.reload(changed(t, cfg, `"name":"chat"`, `"name":"talk"`), nil)
	assert.Equal(t, "BUSY 1000", advice(t, n, ",c=talk"))
	now, changes = under()
	assert.Empty(t, now, "the settings hold without it")
	assert.Equal(t, uint64(2), changes)
	assert.Equal(t, 1, log.count("does not fit the new settings"))

	n.reload(cfg, nil)
	assert.Equal(t, "BUSY 70", advice(t, n, ""))
	now, _ = under()
	assert.Equal(t, trial, now, "it fits again")
	n.loop.Call(func() { traffic{n}.ApplyPolicy(control.Policy{}) })
	assert.Equal(t, "BUSY 1000", advice(t, n, ""))
}

// lines is a log that can be read meanwhile.
type lines struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.String(), text)
}

// Check goes by the settings as read, whatever policy is over them, on any thread.
func TestAPolicyIsCheckedAgainstTheSettingsAsRead(t *testing.T) {
	cfg := testConfig(t, newDiscovery(t), list(1, true))
	n := startConfig(t, cfg)
	talk := changed(t, cfg, `"name":"chat"`, `"name":"talk"`)
	goBy(t, n, `{"request_classes":{"chat":{"aim_us":1000}}}`)
	chats, odd := policy(t, `{"request_classes":{"chat":{"aim_us":1000}}}`), control.Policy{Text: []byte(`{"me":1}`)}
	stop := make(chan struct{})
	var checks sync.WaitGroup
	checks.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				_ = traffic{n}.Check(chats)
			}
		}
	})
	var fault *rollout.Fault
	for range 20 {
		n.reload(talk, nil)
		require.ErrorAs(t, traffic{n}.Check(chats), &fault)
		assert.Equal(t, "request_classes.chat", fault.Key)
		n.reload(cfg, nil)
		require.NoError(t, traffic{n}.Check(chats))
	}
	close(stop)
	checks.Wait()
	require.ErrorAs(t, traffic{n}.Check(odd), &fault)
	assert.Equal(t, "me", fault.Key)
	assert.NoError(t, traffic{n}.Check(control.Policy{}))
}

// What was counted is told with the policy that it was counted under, once, and waits until control has it.
func TestCountsAreToldUnderTheirPolicy(t *testing.T) {
	n := startNode(t, newDiscovery(t), list(1, true))
	n.loop.Call(func() { n.core.SetCounting(true) })
	full(n)
	refused := func(n uint64) []rollout.Counts {
		return []rollout.Counts{{Class: "chat", Tenant: "acme", Offered: n, Refused: n}}
	}
	advice(t, n, "")
	trial := goBy(t, n, `{"request_classes":{"chat":{"points":7}}}`)
	want := []control.PolicyCounts{{Counts: refused(1)}}
	r, taken := told(n)
	assert.Equal(t, want, r.Counted)
	advice(t, n, "")
	advice(t, n, "")
	want = append(want, control.PolicyCounts{Policy: trial, Counts: refused(2)})
	r, _ = told(n)
	assert.Equal(t, want, r.Counted, "control did not take the report before")
	taken()
	r, _ = told(n)
	assert.Empty(t, r.Counted)
	for i := range 3 * mostTold {
		advice(t, n, "")
		goBy(t, n, fmt.Sprintf(`{"request_classes":{"chat":{"points":%d}}}`, i))
	}
	r, _ = told(n)
	assert.Len(t, r.Counted, mostTold)
}

// A node with a site tells control what it counted; while control stands still, nothing is lost.
func TestWhatWasCountedReachesControl(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startAlone(t, h, 300)
	waits := func() (counts []rollout.Counts, reports int) {
		n.loop.Call(func() { counts, _ = n.core.Counts(n.worth()); reports = n.reports })
		return counts, reports
	}
	release, still := make(chan struct{}), make(chan struct{})
	require.True(t, n.affairs.Do(func() { close(still); <-release }))
	<-still
	for n.affairs.Do(func() {}) { // until nothing more goes in
	}
	require.Equal(t, "UP r1", advice(t, n, ""))
	begun := 0
	require.Eventually(t, func() bool {
		counts, reports := waits()
		if len(counts) > 0 && begun == 0 {
			begun = reports
		}
		return begun > 0 && reports >= begun+2*lookEvery
	}, patience, time.Millisecond, "two reports with counts were tried")
	counts, _ := waits()
	require.Len(t, counts, 2)
	assert.Equal(t, uint64(1), counts[1].Served)
	assert.NotEmpty(t, counts[0].SetUp)
	close(release)
	require.Eventually(t, func() bool { counts, _ := waits(); return len(counts) == 0 }, patience, time.Millisecond)
}

// What a policy says of the worth of a class does not count for it.
func TestWorthIsThatOfTheSettingsAsRead(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg = changed(t, cfg, `"streamed":true`, `"streamed":true,"points":3`)
	n := startConfig(t, cfg)
	n.loop.Call(func() { n.core.SetCounting(true) })
	goBy(t, n, `{"request_classes":{"chat":{"points":7}}}`)
	require.Equal(t, "UP r1", advice(t, n, ""))
	r, _ := told(n)
	require.Len(t, r.Counted, 1)
	assert.Equal(t, 3.0, r.Counted[0].Counts[1].Value)
}

// The loop ends a trial whose lease is over by itself, however control stands; a longer lease keeps it.
func TestALeaseIsOverWithoutControl(t *testing.T) {
	var log lines
	n, err := start(slog.New(slog.NewTextHandler(&log, nil)), testConfig(t, newDiscovery(t), list(1, true)))
	require.NoError(t, err)
	t.Cleanup(n.stop)
	full(n)
	good := policy(t, `{"permissions":{"max_retry_after_us":500000}}`)
	trial := policy(t, `{"permissions":{"max_retry_after_us":70000}}`)
	var first, last time.Duration
	n.loop.Call(func() {
		first = n.loop.Now() + 100*time.Millisecond
		last = first + 200*time.Millisecond
		trial.Good, trial.LeaseEnd = &good, first
		traffic{n}.ApplyPolicy(trial)
		trial.LeaseEnd = last
		traffic{n}.ApplyPolicy(trial)
		assert.Equal(t, trial.Hash, n.tuning.under) // a client may come too late to see it
	})
	over := func() bool { return log.count("the lease of a trial policy is over") > 0 }
	require.Eventually(t, over, patience, time.Millisecond)
	n.loop.Call(func() { assert.GreaterOrEqual(t, n.loop.Now(), last) })
	assert.Equal(t, "BUSY 500", advice(t, n, ""))
	r, _ := told(n)
	assert.Equal(t, good.Hash, r.Under)
	n.reload(changed(t, n.cfg, `"deadline_us":3000000`, `"deadline_us":4000000`), nil)
	assert.Equal(t, "BUSY 500", advice(t, n, ""), "nor does SIGHUP bring it back")
}

// A trial that does not fit any more gives way to the good policy, and that to the settings alone.
func TestATrialThatDoesNotFitAnyMoreGivesWayToTheGoodPolicy(t *testing.T) {
	for text, want := range map[string]string{`{"permissions":{"max_retry_after_us":500000}}`: "BUSY 500",
		`{"permissions":{"max_retry_after_us":500000},"request_classes":{"chat":{"points":1}}}`: "BUSY 1000"} {
		cfg := testConfig(t, newDiscovery(t), list(1, true))
		n := startConfig(t, cfg)
		full(n)
		good := policy(t, text)
		trial := policy(t, `{"permissions":{"max_retry_after_us":70000},"request_classes":{"chat":{"points":7}}}`)
		n.loop.Call(func() {
			trial.Good, trial.LeaseEnd = &good, n.loop.Now()+time.Hour
			traffic{n}.ApplyPolicy(trial)
		})
		assert.Equal(t, "BUSY 70", advice(t, n, ""))
		n.reload(changed(t, cfg, `"name":"chat"`, `"name":"talk"`), nil)
		assert.Equal(t, want, advice(t, n, ",c=talk"))
		r, _ := told(n)
		assert.Equal(t, want == "BUSY 500", r.Under == good.Hash)
		n.reload(cfg, nil)
		assert.Equal(t, "BUSY 70", advice(t, n, ""), "it fits again")
	}
}
