package processes

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalledScenarioEnv makes the test run the scenario that stalls, in a test binary of its own.
const stalledScenarioEnv = "LICHENHITCH_TEST_PLANTED_STALL"

// A scenario waits for an event that never comes, while one node does not run, one was stopped from outside
// and one works. The scenario must give up before the test binary times out, whose panic would say nothing
// about the nodes, and report what it waited for and the status of all nodes. The node that does not answer
// writes its stacks. The logs are kept, and no process survives.
func TestAStallIsReported(t *testing.T) {
	if os.Getenv(stalledScenarioEnv) != "" {
		stalledScenario(t)
		return
	}
	t.Parallel()
	self, err := os.Executable()
	require.NoError(t, err)
	cmd := exec.Command(self, "-test.run", "^TestAStallIsReported$", "-test.timeout", "40s")
	cmd.Env = append(os.Environ(), stalledScenarioEnv+"=1", logsFolderEnv+"="+t.TempDir())
	output, err := cmd.CombinedOutput()
	require.Error(t, err)
	text := string(output)
	for _, want := range []string{"a turn that was never requested is granted", "not in ",
		"n0: role=follower term=", "lease=0ms", "turn t1 of h1 is asked", "policy p1 is running, stage one-node",
		"n1: it does not answer", "SIGQUIT: quit", "goroutine ", "n2: no process runs", "the last lines of n0"} {
		assert.Contains(t, text, want)
	}
	assert.NotContains(t, text, "panic: test timed out")
	folder := regexp.MustCompile(`all logs of this scenario are in (\S+)`).FindStringSubmatch(text)
	require.NotNil(t, folder, text)
	log, err := os.ReadFile(filepath.Join(folder[1], "n1.log"))
	require.NoError(t, err)
	assert.Contains(t, string(log), "goroutine ")
	pids := regexp.MustCompile(`processes: ([\d ]+)`).FindStringSubmatch(text)
	require.NotNil(t, pids, text)
	for _, pidText := range strings.Fields(pids[1]) {
		pid, err := strconv.Atoi(pidText)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return syscall.Kill(pid, 0) == syscall.ESRCH }, EventTimeout, time.Millisecond,
			"process %d still runs", pid)
	}
}

// stalledScenario is the scenario that stalls.
func stalledScenario(t *testing.T) {
	w, _ := startBuilding(t, buildingPlan(nil))
	var pids []string
	for _, n := range w.Names() {
		pids = append(pids, strconv.Itoa(w.Node(n).current.pid()))
	}
	t.Logf("processes: %s", strings.Join(pids, " "))
	requestTurn(w, "n0", "t1", "h1", time.Hour)
	w.Await("a policy is started", func() bool {
		_, err := w.Requester("chief").CallPolicy("n0", "StartPolicy",
			map[string]any{"id": "p1", "why": "a test scenario", "policy": harmlessPolicy})
		return err == nil
	})
	w.Await("n0 reports both", func() bool {
		status := w.Node("n0").status()
		return strings.Contains(status, "turn t1 of h1") && strings.Contains(status, "policy p1 is running")
	})
	w.Node("n2").Kill()
	require.NoError(t, syscall.Kill(w.Node("n1").current.pid(), syscall.SIGSTOP))
	w.Await("the running replica has no leader", func() bool {
		status := w.Node("n0").status()
		return strings.Contains(status, "role=follower") && strings.Contains(status, "lease=0ms")
	})
	w.Await("a turn that was never requested is granted", func() bool { return false })
}
