package standin2

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["reload-class"] = reloadClass }

// reloadClass: a new configuration names another address of discovery and adds a class that has no aim_stretch, a key which the wire page
// says may be absent. The other classes have it. Then a quarter of the hosts drains.
func reloadClass(rec *recorder, folder string, trouble bool) error {
	classes := usualClasses()
	w, err := newWorld(rec, folder, 12, classes, "pass")
	if err != nil {
		return err
	}
	stretch := func(settings map[string]any, n int) {
		for i, k := range settings["request_classes"].([]any) {
			if i < n {
				k.(map[string]any)["aim_stretch"] = 1.5
			}
		}
	}
	stretch(w.config.settings, len(classes))
	if err := w.config.write(); err != nil {
		return err
	}
	node, err := w.start()
	if err != nil {
		return err
	}
	c := newClients(rec, w.config.listen, classes, 20*time.Second, 7)
	c.tenants = []string{"kota-semarang", "kab-blora"}
	c.arrive(7)
	time.Sleep(4 * time.Second)

	// The new configuration: discovery at another address; with trouble also a new class.
	other, err := newDiscovery(rec, "B", 7, w.targets)
	if err != nil {
		return err
	}
	w.config.discovery = other.addr
	if trouble {
		added := append(usualClasses(), class{name: "label-print", semantics: "read_like", aim: 500 * time.Millisecond,
			wait: 2 * time.Second, points: 1, share: 0})
		w.config.settings = settingsOf(added, "pass")
		stretch(w.config.settings, len(classes))
	}
	if err := w.config.write(); err != nil {
		return err
	}
	node.signal(syscall.SIGHUP)
	hup := time.Now()
	if err := w.discovery.shut(); err != nil {
		return err
	}
	time.AfterFunc(1500*time.Millisecond, w.discovery.end)
	time.Sleep(3 * time.Second)
	drained := w.hosts[:len(w.hosts)/4]
	for _, h := range drained {
		h.setDraining()
		other.set(h.name, "terminating")
	}
	changed := time.Now()
	time.Sleep(20 * time.Second)
	if !node.running() {
		return fmt.Errorf("%w: the node has ended", errBroken)
	}
	c.end()
	rec.say("discovery B was called %d times", other.called())
	// Told 4 s after SIGHUP, or 6 s after the change was made, whichever is later.
	limit := hup.Add(4 * time.Second)
	if later := changed.Add(6 * time.Second); later.After(limit) {
		limit = later
	}
	return w.judgeDrains(drained, limit.Add(2*time.Second+slack))
}
