package standin2

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// root is the root of the repository: the program is run from there.
var root string

// runCommand returns the command of the deploy file that starts the program.
func runCommand() (string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(raw)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(m[1]), nil
}

// freeAddr returns a loopback address for a process to listen at. Its port stays reserved, so that no connection takes it meanwhile.
func freeAddr() (string, error) {
	address, _, err := reserve("127.0.0.1:0")
	return address, err
}

// nodeConfig is the configuration of a node.
type nodeConfig struct {
	name, listen, management, discovery string
	folder                              string // holds the file, and $TMPDIR
	seed                                string
	known                               *list
	settings                            map[string]any
	env                                 []string
}

func (c *nodeConfig) path() string { return filepath.Join(c.folder, "config.json") }

// makeFolder makes the folder, with the file in it.
func (c *nodeConfig) makeFolder() error {
	return errors.Join(os.MkdirAll(c.folder, 0o700), c.write())
}

// write replaces the file of the configuration in one step.
func (c *nodeConfig) write() error {
	all := map[string]any{"name": c.name, "listen": c.listen, "management": c.management, "discovery": c.discovery, "seed": c.seed,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": c.settings}
	if c.known != nil {
		all["known"] = c.known
	}
	raw, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.path()+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(c.path()+".new", c.path())
}

// process is one process of a node.
type process struct {
	rec        *recorder
	label      string
	management string
	cmd        *exec.Cmd
	done       chan struct{}
	err        error
}

var (
	processes   []*process
	processesMu sync.Mutex
	over        bool // no further process may start
)

// startNode starts the program, with the management address given.
func startNode(rec *recorder, c *nodeConfig, label, management string) (*process, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(c.folder, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(c.folder, label+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{rec: rec, label: label, management: management, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stderr, p.cmd.Stdout = root, logFile, logFile
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "GW_NAME=" + c.name, "GW_LISTEN=" + c.listen, "GW_DISCOVERY=" + c.discovery,
		"GW_CONFIG=" + c.path(), "GW_MANAGEMENT=" + management, "TMPDIR=" + tmp}, c.env...)
	if err := p.begin(); err != nil {
		return nil, err
	}
	rec.add("process %s starts", label)
	go func() {
		p.err = p.cmd.Wait()
		logFile.Close()
		rec.add("process %s has ended: %v", label, p.cmd.ProcessState)
		close(p.done)
	}()
	return p, nil
}

// begin starts the process, unless the case is over.
func (p *process) begin() error {
	processesMu.Lock()
	defer processesMu.Unlock()
	if over {
		return errors.New("the case is over")
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	processes = append(processes, p)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.rec.add("process %s gets %v", p.label, s)
	_ = p.cmd.Process.Signal(s)
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// endAll kills every process that the case started.
func endAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	over = true
	for _, p := range processes {
		if p.running() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// call makes a call at the management address and returns the status, or 0 if there is no answer.
func (p *process) call(method, path string) (int, string) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+p.management+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	response, err := c.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// awaitReady waits until the process says that it is ready, and returns when it did.
func (p *process) awaitReady(within time.Duration) (time.Time, error) {
	return p.awaitReadyEvery(within, 50*time.Millisecond)
}

// awaitReadyEvery is awaitReady with the pause between two calls.
func (p *process) awaitReadyEvery(within, pause time.Duration) (time.Time, error) {
	for until := time.Now().Add(within); time.Now().Before(until) && p.running(); time.Sleep(pause) {
		if status, _ := p.call("GET", "/v1/readyz"); status == 200 {
			at := time.Now()
			p.rec.addAt(at, "process %s says that it is ready", p.label)
			return at, nil
		}
	}
	return time.Time{}, fmt.Errorf("process %s was not ready within %v", p.label, within)
}
