package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/consensus/store"
	"lichenhitch/internal/control"
	"lichenhitch/internal/peer"
	"lichenhitch/internal/site"
)

// writeSiteFile writes the site file of a node that is a site by itself, with send leases of the given duration.
func writeSiteFile(t *testing.T, name string, leaseMS int) string {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "site.txtpb")
	text := fmt.Sprintf(`listen: "127.0.0.1:0" store: %q
sites { name: "b" level: PROVINCE nodes { name: %q seat: true } }
rights { lasts_ms: %d } council { tick_ms: 20 }`, dir, name, leaseMS)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func startWithSite(t *testing.T, h *host, leaseMS int) *node {
	t.Helper()
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Name = "n"
	cfg.SiteFile = writeSiteFile(t, cfg.Name, leaseMS)
	n := startConfig(t, cfg)
	require.Eventually(t, func() (ready bool) {
		n.loop.Call(func() { ready = n.Ready() == nil })
		return ready
	}, testTimeout, time.Millisecond, "ready once there is a first send lease")
	return n
}

// While the control thread is blocked and clients connect one after the other, the send lease expires and clients are
// still served as before. The thread is blocked for at least ten seconds, and until 100 clients were served after the
// expiry: on a slow machine, where a client may get BUSY because its attempts took too long, it is blocked for
// longer.
func TestBlockedControlThreadDoesNotBlockTraffic(t *testing.T) {
	h := newHost(t, "a", echo)
	n := startWithSite(t, h, 300)
	release, blocked := make(chan struct{}), make(chan struct{})
	require.True(t, n.controlThread.Do(func() { close(blocked); <-release }))
	<-blocked
	var leaseExpired bool
	served, servedExpired := 0, 0 // servedExpired: after the send lease has expired
	for started := time.Now(); servedExpired < 100 || time.Since(started) < 10*time.Second; {
		require.Less(t, time.Since(started), testTimeout, "%d served, %d of them without a send lease", served, servedExpired)
		n.loop.Call(func() { leaseExpired = leaseExpired || n.core.LeaseExpired() })
		c := dial(t, n)
		open(c, "")
		if response := c.receive(); response == "UP r1" {
			served++
			if leaseExpired {
				servedExpired++
			}
		} else {
			require.Regexp(t, `^BUSY( \d+)?$`, response)
		}
		c.Close()
	}
	t.Logf("%d clients served while control was blocked, %d of them without a send lease", served, servedExpired)
	close(release)
	require.Eventually(t, func() bool {
		n.loop.Call(func() { leaseExpired = n.core.LeaseExpired() })
		return !leaseExpired
	}, testTimeout, time.Millisecond, "a new send lease")
}

// slowLog is a log handler that blocks for a while when the control thread has started.
type slowLog struct{ slog.Handler }

func (l slowLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "open to peers" {
		time.Sleep(150 * time.Millisecond)
	}
	return nil
}

func (slowLog) Enabled(context.Context, slog.Level) bool { return true }

// The restrictions in the store reach the loop while the start is still under way, and wake the core, which requests
// a list from discovery. That must not block the start.
func TestRestrictionsDuringTheStartDoNotBlockIt(t *testing.T) {
	cfg := testConfig(t, newDiscovery(t), list(1, true))
	cfg.Name = "n"
	cfg.Settings.ListOnRequest, cfg.Settings.Safety.ListRefreshInterval = true, time.Second // requested within 31 ms
	cfg.SiteFile = writeSiteFile(t, cfg.Name, 300)
	s, _, err := store.Open(filepath.Join(filepath.Dir(cfg.SiteFile), "council.db"), store.Identity{Site: "b", Node: "n"})
	require.NoError(t, err)
	require.NoError(t, s.Put("right", "saved", []byte(`{"Life":1,"Horizons":[{"Version":1,"Hosts":["a"]}],"Recorded":1}`)))
	require.NoError(t, s.Close())
	n, err := start(slog.New(slowLog{slog.DiscardHandler}), cfg)
	require.NoError(t, err)
	n.stop()
}

func TestInvalidSiteFileStopsTheStartAndNamesTheFile(t *testing.T) {
	cfg := testConfig(t, newDiscovery(t), list(1, true))
	cfg.Name = "n"
	cfg.SiteFile = writeSiteFile(t, "another", 300)
	_, err := start(slog.New(slog.DiscardHandler), cfg)
	var faults site.Faults
	require.ErrorAs(t, err, &faults)
	assert.Contains(t, err.Error(), cfg.SiteFile+":")
	assert.Contains(t, err.Error(), "what to do")
}

// This test compares the goroutines and descriptors of a node with a site file and of one without.
func TestWithoutASiteFileNoControlRuns(t *testing.T) {
	count := func() (goroutines []string, descriptors int) {
		raw := make([]byte, 1<<20)
		raw = raw[:runtime.Stack(raw, true)]
		for _, g := range strings.Split(string(raw), "\n\n") {
			for _, part := range []string{"internal/control", "internal/peer", "net/http", "bbolt", "go.etcd.io"} {
				if strings.Contains(g, part) {
					goroutines = append(goroutines, g)
					break
				}
			}
		}
		fds, err := os.ReadDir("/proc/self/fd")
		require.NoError(t, err)
		return goroutines, len(fds)
	}
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	withoutSite := startConfig(t, cfg)
	goroutines, before := count()
	assert.Empty(t, goroutines)
	assert.Nil(t, withoutSite.controlThread)
	files, err := os.ReadDir(cfg.SharedDir)
	require.NoError(t, err)
	for _, f := range files {
		assert.NotContains(t, f.Name(), "council")
	}
	startWithSite(t, h, 300)
	goroutines, after := count()
	assert.NotEmpty(t, goroutines, "a node with a site file has some, otherwise this test counts nothing")
	assert.Greater(t, after, before)
}

// With few descriptors, traffic keeps to what is left beside those that control may hold, whether it holds them or
// not, and connections to the peers' address are limited to their part.
func TestControlTakesNoDescriptorsFromClients(t *testing.T) {
	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Name, cfg.Sockets = "n", 80
	cfg.SiteFile = writeSiteFile(t, cfg.Name, 300)
	n := startConfig(t, cfg)
	sockets, err := control.DescriptorsFor(n.site, cfg.Sockets-reservedSockets-minTrafficSockets)
	require.NoError(t, err)
	assert.Equal(t, cfg.Sockets-reservedSockets-minTrafficSockets, sockets.Total, "everything that the limit leaves")
	require.Eventually(t, func() (ready bool) {
		n.loop.Call(func() { ready = n.Ready() == nil })
		return ready
	}, testTimeout, time.Millisecond)
	answered := 0
	for range 4 * sockets.PeerConns { // each stays open for as long as the node keeps it
		c, err := net.Dial("tcp", n.controlThread.Addr())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if err == nil {
			if k, _ := c.Read(make([]byte, 1)); k == 1 {
				answered++
			}
		}
		require.Equal(t, "UP r1\r\nBYE\r\n", requestOnce(n.addr))
	}
	assert.Equal(t, sockets.PeerConns, answered)
	held, most := 0, 0
	for range 2 * cfg.Sockets { // clients that send nothing
		c, err := net.Dial("tcp", n.addr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.Equal(t, "UP r1\r\nBYE\r\n", requestOnce(n.addr))
		n.loop.Call(func() { held = n.loop.Conns() })
		most = max(most, held)
	}
	assert.LessOrEqual(t, most, cfg.Sockets-reservedSockets-sockets.Total)
	assert.Greater(t, most, minTrafficSockets/2, "the limit is used")
}

func TestTooFewDescriptorsAreReportedOnce(t *testing.T) {
	s := &site.Site{Peers: map[string]string{"a": "", "b": ""}}
	sockets, err := control.DescriptorsFor(s, 20)
	var tooFew *control.TooFewDescriptorsError
	require.ErrorAs(t, err, &tooFew)
	assert.Equal(t, sockets.Total-20, tooFew.Missing)
	sockets, err = control.DescriptorsFor(s, 20+tooFew.Missing)
	require.NoError(t, err)
	assert.Equal(t, 20+tooFew.Missing, sockets.Total)
	sockets, err = control.DescriptorsFor(s, 1000)
	require.NoError(t, err)
	assert.Equal(t, peer.ServerConns, sockets.PeerConns)

	h := newHost(t, "a", echo)
	cfg := testConfig(t, newDiscovery(t), list(1, true, targetsOf(h)...))
	cfg.Name, cfg.Sockets = "n", 64
	cfg.SiteFile = writeSiteFile(t, cfg.Name, 300)
	var log strings.Builder
	n, err := start(slog.New(slog.NewTextHandler(&log, nil)), cfg)
	require.NoError(t, err)
	n.stop()
	assert.Equal(t, 1, strings.Count(log.String(), "too few descriptors"))
	assert.Contains(t, log.String(), "raise limits.sockets")
}

// A list from an earlier process is stale, and so is one whose next watch has failed.
func TestListIsStaleWhileDiscoveryDoesNotAnswer(t *testing.T) {
	d := newDiscovery(t)
	n := startNode(t, d, list(1, true))
	awaitStale := func(want bool) {
		t.Helper()
		require.Eventually(t, func() (is bool) {
			n.loop.Call(func() { is = n.discovery.Stale() == want })
			return is
		}, testTimeout, time.Millisecond)
	}
	awaitStale(true)
	d.responses <- ok(list(2, false))
	awaitStale(false)
	d.responses <- "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	awaitStale(true)
	d.responses <- ok(list(3, true))
	awaitStale(false)
	n.loop.Call(func() { n.discovery.Relocate(newDiscovery(t).Addr().String()) })
	awaitStale(true)
}
