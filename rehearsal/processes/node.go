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
	tailLines = 60                      // of each node's log that a failed test prints
	folderEnv = "LICHENHITCH_TEST_LOGS" // folder in which failed stories keep their logs; else the one for temporary files
)

var build struct {
	sync.Once
	path string
	err  error
}

// Build builds the program, once for a test binary, and returns its path. The folder stays until the test binary's caller
// empties its temporary folder or Unbuild is called.
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

// Unbuild removes what Build has made; for a TestMain, after the tests.
func Unbuild() {
	if build.path != "" {
		os.RemoveAll(filepath.Dir(build.path))
	}
}

// Node is one node, with the processes that it has been so far: one at a time, but for an Upgrade.
type Node struct {
	Name  string
	w     *World
	t     testing.TB
	dir   string // of its own: configuration, site file, store, temporary folder, log
	path  string // of the program
	apart bool   // no link leads to it

	mu       sync.Mutex
	present  *process   // the latest; nil before the first
	formers  []*process // processes that ran when a later one was started beside them, and still do, the latest last
	ended    bool       // no process runs
	paused   bool
	lines    []string // of all its logs
	begin    int      // where the log of the present process begins
	fileMost uint64   // bytes of a file that it may write; 0: no bound
	copies   int
	later    *Former // the former process, while an upgrade of a plan of faults is under way

	aiming sync.Mutex // held while the links are pointed at a process, so that the latest word counts
}

func newNode(w *World, name, path string) *Node {
	n := &Node{Name: name, w: w, t: w.t, path: path, dir: filepath.Join(w.t.TempDir(), name), ended: true}
	for _, sub := range []string{"tmp", "store"} {
		require.NoError(w.t, os.MkdirAll(filepath.Join(n.dir, sub), 0o700))
	}
	w.t.Cleanup(func() {
		for n.Runs() { // also those that take over from one that ends
			n.Kill()
		}
		if w.t.Failed() {
			lines := n.linesSince(0)
			w.t.Logf("the last lines of %s:\n%s", name, strings.Join(lines[max(0, len(lines)-tailLines):], "\n"))
		}
	})
	return n
}

// StoreDir is the folder of what outlives the process.
func (n *Node) StoreDir() string { return filepath.Join(n.dir, "store") }

// site is the node's site file.
func (n *Node) site() *sitepb.File {
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

// siteWritten is the site file as it stands on the disk.
func (n *Node) siteWritten() *sitepb.File {
	text, err := os.ReadFile(n.sitePath())
	require.NoError(n.t, err)
	f := &sitepb.File{}
	require.NoError(n.t, prototext.Unmarshal(text, f))
	return f
}

func (n *Node) sitePath() string { return filepath.Join(n.dir, "site.txtpb") }

// write writes the configuration and the site file, and returns the environment of a process that listens there.
func (n *Node) write(listen string) []string {
	known, _ := n.w.Discovery.list(n.Name, 0)
	settings := or(n.w.Plan.NodeSettings[n.Name], n.w.Plan.Settings)
	fields := map[string]any{"name": n.Name, "seed": fmt.Sprintf("%x", n.w.Plan.Seed), "known": known,
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
		text, err := prototext.MarshalOptions{Multiline: true}.Marshal(n.site())
		require.NoError(n.t, err)
		require.NoError(n.t, os.WriteFile(n.sitePath(), text, 0o600))
		env = append(env, "GW_SITE="+n.sitePath())
	}
	return append(env, n.w.Plan.Env...)
}

// Desk is where operators call the node, "" while it is not open to them.
func (n *Node) Desk() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentAddress(apiAddrOf)
}

// Listen is where clients connect, "" while it does not serve. Clients come by World.Front.
func (n *Node) Listen() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentAddress(clientAddrOf)
}

// AwaitServing waits until the node takes clients.
func (n *Node) AwaitServing() {
	n.t.Helper()
	n.await("serves", func() bool { return n.currentAddress(clientAddrOf) != "" })
}

// AwaitDesk waits until the node is open to peers and operators.
func (n *Node) AwaitDesk() {
	n.t.Helper()
	n.await("is open to peers", func() bool { return n.currentAddress(apiAddrOf) != "" })
}

// await waits for a condition, looked at under mu. A process that ends by itself meanwhile fails the test.
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
			return "the process has ended"
		}
		return ""
	})
}

// Mark is a place in the log, for Logged: what comes after it.
func (n *Node) Mark() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.lines)
}

// Logged waits for a line of the present process's log that holds all these texts, and returns it.
func (n *Node) Logged(texts ...string) string {
	n.t.Helper()
	n.mu.Lock()
	begin := n.begin
	n.mu.Unlock()
	return n.LoggedSince(begin, texts...)
}

// LoggedSince waits for a line after a mark that holds all these texts, and returns it.
func (n *Node) LoggedSince(mark int, texts ...string) (found string) {
	n.t.Helper()
	n.await(fmt.Sprintf("logs %q", texts), func() bool {
		found, mark = lineWith(n.lines, mark, texts)
		return found != ""
	})
	return found
}

// lineSince is the first line after a mark that holds all these texts, "" where there is none yet.
func (n *Node) lineSince(mark int, texts ...string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	found, _ := lineWith(n.lines, mark, texts)
	return found
}

// lineWith returns the first line from a place on that holds all these texts, and from where on to look the next time.
func lineWith(lines []string, from int, texts []string) (found string, next int) {
	for ; from < len(lines); from++ {
		if !slices.ContainsFunc(texts, func(s string) bool { return !strings.Contains(lines[from], s) }) {
			return lines[from], from
		}
	}
	return "", from
}

// Log is the log of the present process, or of the last one, so far.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.lines[n.begin:])
}

// LimitFiles bounds each file that the process writes to so many bytes from now on, at later starts too; 0 takes that back.
// A write beyond it is cut short and fails with EFBIG, as on a disk that is full (Go ignores SIGXFSZ).
func (n *Node) LimitFiles(bytes uint64) {
	n.mu.Lock()
	n.fileMost = bytes
	present, ended := n.present, n.ended
	n.mu.Unlock()
	if ended {
		return
	}
	limit := unix.Rlimit{Cur: or(bytes, unix.RLIM_INFINITY), Max: unix.RLIM_INFINITY}
	require.NoError(n.t, unix.Prlimit(present.pid(), unix.RLIMIT_FSIZE, &limit, nil), n.Name)
}

// CopyStore copies the store as it is on the disk now and returns the copy's folder. A running process is paused meanwhile: the
// copy is what a crash at this moment would leave.
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

// Files are the files of the store, sorted, without their folder.
func (n *Node) Files() []string {
	all, err := filepath.Glob(filepath.Join(n.StoreDir(), "*"))
	require.NoError(n.t, err)
	for i := range all {
		all[i] = filepath.Base(all[i])
	}
	return all
}

// Store is what a node finds in its store when it is started again.
type Store func(n *Node)

// Kept leaves the store as it is.
func Kept(*Node) {}

// Empty removes all that the store has.
func Empty(n *Node) {
	require.NoError(n.t, os.RemoveAll(n.StoreDir()))
	require.NoError(n.t, os.MkdirAll(n.StoreDir(), 0o700))
}

// Older puts an earlier copy in the store's place; see CopyStore.
func Older(copied string) Store {
	return func(n *Node) {
		require.NoError(n.t, os.RemoveAll(n.StoreDir()))
		require.NoError(n.t, os.CopyFS(n.StoreDir(), os.DirFS(copied)))
	}
}

// Torn cuts a file of the store at an offset in bytes, as a disk does that lost the rest; file "" means each file that is
// longer.
func Torn(file string, at int64) Store {
	return func(n *Node) {
		cut := 0
		for _, f := range n.Files() {
			path := filepath.Join(n.StoreDir(), f)
			info, err := os.Stat(path)
			require.NoError(n.t, err)
			if (file == "" || file == f) && info.Mode().IsRegular() && info.Size() > at {
				require.NoError(n.t, os.Truncate(path, at))
				cut++
			}
		}
		require.Positive(n.t, cut, "%s: no file %q to cut at %d", n.Name, file, at)
	}
}

// Restart kills the process, if it runs, and starts one that finds the store so. It does not wait until that serves.
func (n *Node) Restart(s Store) {
	n.t.Helper()
	n.Kill()
	s(n)
	n.Start()
}
