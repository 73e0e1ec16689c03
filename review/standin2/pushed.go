package standin2

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["pushed-restart"] = pushedRestart }

// pushedRestart: lists are pushed. A quarter of the hosts drains, and the node is told. Then it is restarted with the list of its file, while
// the agent takes 1.2 s for each answer.
func pushedRestart(rec *recorder, folder string, trouble bool) error {
	const draining, slow = 3, 1200 * time.Millisecond
	w, err := newWorld(rec, folder, 12, usualClasses(), "pass")
	if err != nil {
		return err
	}
	w.config.settings["registry_mode"] = "push"
	if err := w.config.write(); err != nil {
		return err
	}
	node, err := w.start()
	if err != nil {
		return err
	}
	c := newClients(rec, w.config.listen, usualClasses(), 20*time.Second, 7)
	c.tenants = []string{"kota-semarang", "kab-blora"}
	c.arrive(7)
	time.Sleep(3 * time.Second)
	for _, h := range w.hosts[:draining] {
		h.setDraining()
		w.discovery.set(h.name, "terminating")
	}
	time.Sleep(5 * time.Second)
	for _, h := range w.hosts[:draining] {
		at, told := w.discovery.toldOf(h.name, "terminating")
		if !told {
			return fmt.Errorf("the node was not told that %s drains", h.name)
		}
		if n, _ := w.sentAfter(h, at.Add(2*time.Second+slack)); n > 0 {
			return fmt.Errorf("%w: %d first lines after the grace, before the restart", errBroken, n)
		}
	}
	node.signal(syscall.SIGTERM)
	select {
	case <-node.done:
	case <-time.After(3700 * time.Millisecond):
		node.signal(syscall.SIGKILL)
		<-node.done
	}
	if trouble {
		w.discovery.delay(slow)
	}
	again := *w.config
	again.folder = filepath.Join(folder, "again") // $TMPDIR is empty at each start
	if err := again.makeFolder(); err != nil {
		return err
	}
	began := time.Now()
	second, err := startNode(rec, &again, "again", again.management)
	if err != nil {
		return err
	}
	if _, err := second.awaitReady(30 * time.Second); err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	if !second.running() {
		return fmt.Errorf("%w: the node has ended", errBroken)
	}
	c.end()
	// What the agent has counts as told from the first moment of the process.
	return w.judgeDrains(w.hosts[:draining], began.Add(2*time.Second+slack))
}
