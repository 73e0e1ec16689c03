package processes

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/encoding/prototext"

	"lichenhitch/internal/site/sitepb"
)

const (
	tailLines     = 60                      // lines of each node's log printed by a failed test
	logsFolderEnv = "LICHENHITCH_TEST_LOGS" // folder in which failed tests keep their logs; default: the folder for temporary files
)

var build struct {
	sync.Once
	path string
	err  error
}

// Build builds the program once per test binary and returns its path. The folder remains until the caller of the test
// binary empties its temporary folder, or until Unbuild is called.
func Build(t testing.TB) string {
	t.Helper()
	build.Do(func() {
		var dir string
		if dir, build.err = os.MkdirTemp("", "lichenhitch-processes-"); build.err != nil {
			return
		}
		build.path = filepath.Join(dir, "lichenhitch")
		if out, err := exec.Command("go", "build", "-o", build.path, "lichenhitch/cmd/lichenhitch").CombinedOutput(); err != nil {
			build.err = fmt.Errorf("go build: %w: %s", err, out)
		}
	})
	require.NoError(t, build.err)
	return build.path
}

// Unbuild removes the program that Build has built; for a TestMain, after the tests.
func Unbuild() {
	if build.path != "" {
		os.RemoveAll(filepath.Dir(build.path))
	}
}

// Node is one node with its processes: one at a time, except during an Upgrade.
type Node struct {
	Name     string
	w        *World
	t        testing.TB
	dir      string // the node's own folder: configuration, site file, store, temporary folder
	path     string // path of the program
	unlinked bool   // no link leads to it

	mu           sync.Mutex
	current      *process   // the current process, or the last one; nil before the first start
	predecessors []*process // processes that still run and were replaced by a newer one, in order of their start
	ended        bool       // no process runs
	paused       bool
	lines        []string // log lines of all its processes
	logStart     int      // index in lines at which the log of the current process begins
	maxFileBytes uint64   // maximum size in bytes of each file that it writes; 0: unlimited
	copies       int
	settings     string       // replace those of the plan; "" for none
	upgradedFrom *Predecessor // the previous process while an upgrade of a fault sequence is pending

	linksMu sync.Mutex // held while the links are set to the addresses of a process, so that the latest addresses win
}

func newNode(w *World, name, path string) *Node {
	n := &Node{Name: name, w: w, t: w.t, path: path, dir: filepath.Join(w.t.TempDir(), name), ended: true}
	for _, sub := range []string{"tmp", "store"} {
		require.NoError(w.t, os.MkdirAll(filepath.Join(n.dir, sub), 0o700))
	}
	w.t.Cleanup(func() {
		for n.Runs() { // also previous processes that become current when the newer one ends
			n.Kill()
		}
		if w.t.Failed() {
			lines := n.linesSince(0)
			w.t.Logf("the last lines of %s:\n%s", name, strings.Join(lines[max(0, len(lines)-tailLines):], "\n"))
		}
	})
	return n
}

// StoreDir returns the folder of the node's store.
func (n *Node) StoreDir() string { return filepath.Join(n.dir, "store") }

// siteFile returns the content of the node's site file.
func (n *Node) siteFile() *sitepb.File {
	f := &sitepb.File{Listen: "127.0.0.1:0", Store: n.StoreDir()}
	for _, s := range n.w.Plan.Sites {
		out := &sitepb.Site{Name: s.Name, Level: s.Level, Parent: s.Parent}
		for i, name := range s.Nodes {
			out.Nodes = append(out.Nodes, &sitepb.Node{Name: name, Seat: i < s.Replicas})
		}
		f.Sites = append(f.Sites, out)
	}
	for _, m := range n.w.nodeNames {
		if m != n.Name {
			f.Peers = append(f.Peers, &sitepb.Peer{Node: m, Address: n.w.Link(n.Name, m).Addr()})
		}
	}
	if n.w.Plan.Tune != nil {
		n.w.Plan.Tune(n.Name, f)
	}
	return f
}

// readSiteFile reads the site file from the disk.
func (n *Node) readSiteFile() *sitepb.File {
	text, err := os.ReadFile(n.sitePath())
	require.NoError(n.t, err)
	f := &sitepb.File{}
	require.NoError(n.t, prototext.Unmarshal(text, f))
	return f
}

// SetSettings replaces the settings of the node from its next start or reload on.
func (n *Node) SetSettings(settings string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settings = settings
}

func (n *Node) sitePath() string { return filepath.Join(n.dir, "site.txtpb") }

// writeFiles writes the configuration and the site file, and returns the environment of a process that listens at this
// address.
func (n *Node) writeFiles(listen string) []string {
	knownHosts, _ := n.w.Discovery.list(n.Name, 0)
	n.mu.Lock()
	settings := orDefault(n.settings, orDefault(n.w.Plan.NodeSettings[n.Name], n.w.Plan.Settings))
	n.mu.Unlock()
	fields := map[string]any{"name": n.Name, "seed": fmt.Sprintf("%x", n.w.Plan.Seed), "known": knownHosts,
		"settings": json.RawMessage(settings)}
	if n.w.Plan.Sockets > 0 {
		fields["limits"] = map[string]any{"sockets": n.w.Plan.Sockets}
	}
	cfg, err := json.Marshal(fields)
	require.NoError(n.t, err)
	cfgPath := filepath.Join(n.dir, "config.json")
	require.NoError(n.t, os.WriteFile(cfgPath, cfg, 0o600))
	env := append(os.Environ(), "GW_NAME="+n.Name, "GW_LISTEN="+listen, "GW_CONFIG="+cfgPath,
		"GW_DISCOVERY="+n.w.discoveryLinks[n.Name].Addr(), "TMPDIR="+filepath.Join(n.dir, "tmp"))
	if !n.w.Plan.NoSiteFile {
		text, err := prototext.MarshalOptions{Multiline: true}.Marshal(n.siteFile())
		require.NoError(n.t, err)
		require.NoError(n.t, os.WriteFile(n.sitePath(), text, 0o600))
		env = append(env, "GW_SITE="+n.sitePath())
	}
	return append(env, n.w.Plan.Env...)
}

// OperatorAddr returns the address of the operator API, or "" while it is not open.
func (n *Node) OperatorAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentAddress(apiAddrOf)
}

// ClientAddr returns the address at which the node serves clients, or "" while it does not serve. Test clients connect
// through World.ClientLink instead.
func (n *Node) ClientAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentAddress(clientAddrOf)
}

// AwaitServing waits until the node serves clients.
func (n *Node) AwaitServing() {
	n.t.Helper()
	n.await("serves", func() bool { return n.currentAddress(clientAddrOf) != "" })
}

// AwaitOperatorAPI waits until the node is open to peers and operators.
func (n *Node) AwaitOperatorAPI() {
	n.t.Helper()
	n.await("is open to peers", func() bool { return n.currentAddress(apiAddrOf) != "" })
}

// await waits for a condition, which is checked with mu held. It fails the test if no process of the node runs any more.
func (n *Node) await(what string, cond func() bool) {
	n.t.Helper()
	n.w.changes.await(n.t, n.Name+" "+what, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return cond()
	}, func() string {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.ended {
			return "the node's process has ended"
		}
		return ""
	})
}

// Mark returns the current end of the log, for AwaitLoggedSince and HasLogged.
func (n *Node) Mark() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.lines)
}

// AwaitLogged waits for a line of the current process's log that contains all these texts, and returns it.
func (n *Node) AwaitLogged(texts ...string) string {
	n.t.Helper()
	n.mu.Lock()
	begin := n.logStart
	n.mu.Unlock()
	return n.AwaitLoggedSince(begin, texts...)
}

// AwaitLoggedSince waits for a line after a mark that contains all these texts, and returns it.
func (n *Node) AwaitLoggedSince(mark int, texts ...string) (found string) {
	n.t.Helper()
	n.await(fmt.Sprintf("logs %q", texts), func() bool {
		found, mark = lineWith(n.lines, mark, texts)
		return found != ""
	})
	return found
}

// lineSince returns the first line after a mark that contains all these texts, or "" if there is none yet.
func (n *Node) lineSince(mark int, texts ...string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	found, _ := lineWith(n.lines, mark, texts)
	return found
}

// lineWith returns the first line from an index on that contains all these texts, and the index at which to continue the
// search.
func lineWith(lines []string, from int, texts []string) (found string, next int) {
	for ; from < len(lines); from++ {
		if !slices.ContainsFunc(texts, func(s string) bool { return !strings.Contains(lines[from], s) }) {
			return lines[from], from
		}
	}
	return "", from
}

// Log returns the log of the current process, or of the last one, so far.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.lines[n.logStart:])
}

// LimitFiles limits the size of each file that the process writes, at later starts too; 0 removes the limit. A write beyond
// it is cut short and fails with EFBIG, much as on a full disk (Go ignores SIGXFSZ).
func (n *Node) LimitFiles(bytes uint64) {
	n.mu.Lock()
	n.maxFileBytes = bytes
	current, ended := n.current, n.ended
	n.mu.Unlock()
	if ended {
		return
	}
	limit := unix.Rlimit{Cur: orDefault(bytes, unix.RLIM_INFINITY), Max: unix.RLIM_INFINITY}
	require.NoError(n.t, unix.Prlimit(current.pid(), unix.RLIMIT_FSIZE, &limit, nil), n.Name)
}

// CopyStore copies the store as it is on the disk now and returns the copy's folder. A running process is paused meanwhile:
// the copy is what a crash at this moment would leave.
func (n *Node) CopyStore() string {
	n.t.Helper()
	if n.Runs() && !n.Paused() {
		n.Pause()
		defer n.Continue()
	}
	n.mu.Lock()
	n.copies++
	to := filepath.Join(n.dir, fmt.Sprint("copy", n.copies))
	n.mu.Unlock()
	require.NoError(n.t, os.CopyFS(to, os.DirFS(n.StoreDir())))
	return to
}

// StoreFiles returns the names of the files in the store, sorted.
func (n *Node) StoreFiles() []string {
	all, err := filepath.Glob(filepath.Join(n.StoreDir(), "*"))
	require.NoError(n.t, err)
	for i := range all {
		all[i] = filepath.Base(all[i])
	}
	return all
}

// StoreChange changes a node's store before the node is started again.
type StoreChange func(n *Node)

// KeepStore leaves the store as it is.
func KeepStore(*Node) {}

// EmptyStore removes the content of the store.
func EmptyStore(n *Node) {
	require.NoError(n.t, os.RemoveAll(n.StoreDir()))
	require.NoError(n.t, os.MkdirAll(n.StoreDir(), 0o700))
}

// StaleStore replaces the store by an earlier copy; see CopyStore.
func StaleStore(copied string) StoreChange {
	return func(n *Node) {
		require.NoError(n.t, os.RemoveAll(n.StoreDir()))
		require.NoError(n.t, os.CopyFS(n.StoreDir(), os.DirFS(copied)))
	}
}

// TornStore truncates a file of the store at an offset in bytes, like a disk that lost the rest; file "" means each file
// that is longer.
func TornStore(file string, at int64) StoreChange {
	return func(n *Node) {
		cut := 0
		for _, f := range n.StoreFiles() {
			path := filepath.Join(n.StoreDir(), f)
			info, err := os.Stat(path)
			require.NoError(n.t, err)
			if (file == "" || file == f) && info.Mode().IsRegular() && info.Size() > at {
				require.NoError(n.t, os.Truncate(path, at))
				cut++
			}
		}
		require.Positive(n.t, cut, "%s: no file %q that can be truncated at %d", n.Name, file, at)
	}
}

// Restart kills the process, if it runs, changes the store and starts a new process. It does not wait until that serves.
func (n *Node) Restart(s StoreChange) {
	n.t.Helper()
	n.Kill()
	s(n)
	n.Start()
}
