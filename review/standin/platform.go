package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Platform starts and ends the processes of one node with the command of the deploy file.
type Platform struct {
	Record *Record
	Folder string // temporary, of this run alone
	Listen string
	Config string // the path of the configuration

	run   string // the command
	mu    sync.Mutex
	procs []*Process
}

// Process is one process of the node.
type Process struct {
	Name       string
	Management string
	Exited     chan struct{} // closed when it has ended
	cmd        *exec.Cmd
	record     *Record
}

// NewPlatform reads the deploy file; the working directory is the repository's root.
func NewPlatform(record *Record) (*Platform, error) {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	p := &Platform{Record: record, Listen: FreeAddress()}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			if p.run, err = strconv.Unquote(value); err != nil {
				return nil, err
			}
		}
	}
	if p.run == "" {
		return nil, errors.New("the deploy file has no command run")
	}
	if p.Folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	p.Config = filepath.Join(p.Folder, "config.json")
	platform = p
	return p, os.Mkdir(filepath.Join(p.Folder, "tmp"), 0o700)
}

// WriteConfig replaces the configuration file in one step.
func (p *Platform) WriteConfig(discovery string, known List, settings map[string]any) error {
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": p.Listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings})
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.Config+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(p.Config+".new", p.Config)
}

// Start starts a process of the node, with a management address of its own.
func (p *Platform) Start(name, discovery string) (*Process, error) {
	log, err := os.Create(filepath.Join(p.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	q := &Process{Name: name, Management: FreeAddress(), Exited: make(chan struct{}), record: p.Record}
	q.cmd = exec.Command("/bin/sh", "-c", p.run)
	q.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GW_NAME=n0", "GW_LISTEN=" + p.Listen, "GW_DISCOVERY=" + discovery,
		"GW_CONFIG=" + p.Config, "GW_MANAGEMENT=" + q.Management, "TMPDIR=" + filepath.Join(p.Folder, "tmp")}
	q.cmd.Stdout, q.cmd.Stderr = log, log
	if err := q.cmd.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.procs = append(p.procs, q)
	p.mu.Unlock()
	p.Record.Log("process %s starts", name)
	go func() {
		err := q.cmd.Wait()
		p.Record.Log("process %s has ended: %v", name, err)
		log.Close()
		close(q.Exited)
	}()
	return q, nil
}

// Signal sends a signal to the process.
func (q *Process) Signal(s syscall.Signal) {
	q.record.Log("process %s gets %v", q.Name, s)
	_ = q.cmd.Process.Signal(s)
}

// HasExited reports whether the process has ended.
func (q *Process) HasExited() bool {
	select {
	case <-q.Exited:
		return true
	default:
		return false
	}
}

// AwaitReady waits until the process says yes.
func (q *Process) AwaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		answer, err := client.Get("http://" + q.Management + "/v1/readyz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			q.record.Log("process %s is ready", q.Name)
			return nil
		}
	}
	return fmt.Errorf("process %s is not ready after %v", q.Name, within)
}

// Ping asks the node once, as the front does, and returns its answer.
func Ping(node string) string {
	conn, err := net.DialTimeout("tcp", node, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "PING\r\n")
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimRight(answer, "\r\n")
}

// End ends all processes and copies their logs into the record.
func (p *Platform) End() {
	p.mu.Lock()
	procs := append([]*Process{}, p.procs...)
	p.mu.Unlock()
	for _, q := range procs {
		if !q.HasExited() {
			_ = q.cmd.Process.Kill()
			<-q.Exited
		}
	}
	for _, q := range procs {
		raw, _ := os.ReadFile(filepath.Join(p.Folder, q.Name+".log"))
		for line := range strings.Lines(string(raw)) {
			p.Record.Log("log of %s: %s", q.Name, strings.TrimRight(line, "\n"))
		}
	}
	_ = os.RemoveAll(p.Folder)
}
