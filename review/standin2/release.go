package standin2

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["release-crash"] = releaseCrash }

const (
	releaseNodes   = 24 // the pages: 8 to 48 nodes
	releaseHosts   = 20 // the pages: 15 to 22 on the busiest days
	releaseDying   = 5  // the pages: up to 25% of the hosts die at once
	releaseClients = 60 // of each node
	releaseHoldUp  = 140 * time.Millisecond
	releaseRun     = 3 * time.Millisecond
	releaseRounds  = 6
)

// releaseCrash: a new version is started beside the old one at all nodes. The new processes are held up twice for less than 0.15 s, and in
// the second pause a quarter of the hosts dies. No new process may end.
func releaseCrash(rec *recorder, folder string, trouble bool) error {
	hostRoom = 200 // so that every client is placed
	classes := usualClasses()
	w, err := newWorld(rec, folder, releaseHosts, classes, "pass")
	if err != nil {
		return err
	}
	var configs []*nodeConfig
	var present []*process
	begun := time.Now()
	for i := range releaseNodes {
		c := *w.config
		c.name, c.folder = fmt.Sprintf("n%02d", i+1), filepath.Join(folder, fmt.Sprint(i+1))
		c.settings["balancers"] = releaseNodes
		var err1, err2 error
		c.listen, err1 = freeAddr()
		c.management, err2 = freeAddr()
		if err := errors.Join(err1, err2, c.makeFolder()); err != nil {
			return err
		}
		p, err := startNode(rec, &c, c.name+"-first", c.management)
		if err != nil {
			return err
		}
		configs, present = append(configs, &c), append(present, p)
	}
	for _, p := range present {
		if _, err := p.awaitReady(30 * time.Second); err != nil {
			return err
		}
	}
	starting := time.Since(begun) // how long the processes take to start
	// The clients come once all nodes are ready, and send a line every two seconds from their UP on.
	var crowds []*clients
	for i, c := range configs {
		crowd := newClients(rec, c.listen, classes, time.Hour, uint64(i+1))
		for range releaseClients {
			crowd.start(crowd.pick(), "")
		}
		crowds = append(crowds, crowd)
	}
	time.Sleep(6 * time.Second)
	lines, err := medianUp(crowds)
	if err != nil {
		return err
	}

	var broken error
	for round := range releaseRounds {
		if broken != nil || rec.now() > 95*time.Second {
			break
		}
		// The new processes are to be ready shortly before the next lines: most clients still send them in step with their first one.
		beat := lines
		for time.Until(beat) < time.Second {
			beat = beat.Add(2 * time.Second)
		}
		time.Sleep(time.Until(beat) - starting - releaseHoldUp*2/3)
		next, err := release(rec, configs, present, round, func() { die(rec, w, round) }, trouble)
		if err != nil {
			broken = err
		}
		present = next
		for d := time.Now().Add(10 * time.Second); time.Now().Before(d) && broken == nil; time.Sleep(100 * time.Millisecond) {
			broken = ended(present)
		}
	}
	for _, crowd := range crowds {
		crowd.end()
	}
	return broken
}

// ended returns an error if a process has ended that nobody told to end.
func ended(all []*process) error {
	for _, p := range all {
		if !p.running() {
			return fmt.Errorf("%w: process %s, which nobody ended, has ended: %v", errBroken, p.label, p.cmd.ProcessState)
		}
	}
	return nil
}

// release starts a new process at every node, and ends the old one when the new one is ready.
func release(rec *recorder, configs []*nodeConfig, old []*process, round int, dies func(), trouble bool) ([]*process, error) {
	next := make([]*process, len(configs))
	for i, c := range configs {
		management, err := freeAddr()
		if err != nil {
			return next, err
		}
		if next[i], err = startNode(rec, c, fmt.Sprintf("%s-release%d", c.name, round+1), management); err != nil {
			return next, err
		}
	}
	var all sync.WaitGroup
	failed := make(chan error, len(next))
	for i, p := range next {
		all.Add(1)
		go func() {
			defer all.Done()
			if _, err := p.awaitReadyEvery(6*time.Second, 5*time.Millisecond); err != nil {
				failed <- err
				return
			}
			if trouble {
				p.signal(syscall.SIGSTOP)
			}
			old[i].signal(syscall.SIGTERM)
			if !trouble {
				return
			}
			time.Sleep(releaseHoldUp)
			p.signal(syscall.SIGCONT)
			time.Sleep(releaseRun)
			p.signal(syscall.SIGSTOP)
			time.AfterFunc(releaseHoldUp, func() { p.signal(syscall.SIGCONT) })
		}()
	}
	all.Wait()
	if trouble {
		dies()
	}
	time.Sleep(2 * releaseHoldUp)
	select {
	case err := <-failed:
		return next, err // it did not say yes: nothing that counts
	default:
	}
	return next, nil
}

// medianUp returns when half of the clients had their UP: the middle of the moments in which they send lines.
func medianUp(crowds []*clients) (time.Time, error) {
	var all []time.Time
	for _, crowd := range crowds {
		for _, r := range crowd.requests() {
			if strings.HasPrefix(r.answer, "UP ") {
				all = append(all, r.at)
			}
		}
	}
	if len(all) < releaseNodes*releaseClients/2 {
		return time.Time{}, fmt.Errorf("only %d clients are served", len(all))
	}
	slices.SortFunc(all, time.Time.Compare)
	return all[len(all)/2], nil
}

// die resets all connections of a quarter of the hosts, which then refuse new ones, and come back cold after 6 s.
func die(rec *recorder, w *world, round int) {
	for i := range releaseDying {
		h := w.hosts[(round*releaseDying+i)%len(w.hosts)]
		n, release, err := h.die()
		rec.add("host %s dies with %d connections", h.name, n)
		if err != nil {
			rec.add("host %s: %v", h.name, err)
			continue
		}
		time.AfterFunc(6*time.Second, func() {
			release()
			if err := h.revive(); err != nil {
				rec.add("host %s cannot come back: %v", h.name, err)
				return
			}
			w.discovery.restarted(h.name, time.Now())
		})
	}
}

// die ends the host as the end of its process does: its connections are reset, new ones are refused.
func (h *host) die() (conns int, release func(), err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ln.Close()
	for conn := range h.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	_, release, err = reserve(h.ln.Addr().String())
	return len(h.conns), release, err
}

// revive starts the host again at its address.
func (h *host) revive() error {
	ln, err := net.Listen("tcp", h.ln.Addr().String())
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.ln = ln
	h.mu.Unlock()
	go h.accept(ln)
	return nil
}

// restarted tells that a host has started anew.
func (d *discovery) restarted(uid string, at time.Time) {
	d.change(uid, func(t *target) { t.State, t.Boot = "in_service", at.UnixMilli() })
}
