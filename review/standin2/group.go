package standin2

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload-group"] = reloadGroup }

// reloadGroup: proof-fetch is a class with an idempotency key, whose repeats only the hosts of one cell drop. A broken file, in which this
// class has no group, is read at SIGHUP. Some connections are reset under requests that have begun. No request may run in two cells.
func reloadGroup(rec *recorder, folder string, trouble bool) error {
	const cells, keyed = 3, 2 // keyed is the index of proof-fetch
	classes := usualClasses()
	classes[keyed].semantics = "idempotency_key"
	w, err := newWorld(rec, folder, 12, classes, "pass")
	if err != nil {
		return err
	}
	// runs has the cells in which each request ran: a host runs it unless its cell has seen it.
	var mu sync.Mutex
	runs, resets := map[string]map[int]bool{}, 0
	rng := rand.New(rand.NewPCG(11, 11))
	for i, h := range w.hosts {
		cell := i % cells
		w.targets[i].Group = cell
		w.discovery.change(h.name, func(t *target) { t.Group = cell })
		h.onOpen = func(o openLine) string {
			if o.class != classes[keyed].name {
				return ""
			}
			mu.Lock()
			defer mu.Unlock()
			if runs[o.id] == nil {
				runs[o.id] = map[int]bool{}
			}
			first := len(runs[o.id]) == 0
			if !runs[o.id][cell] {
				rec.addAt(o.at, "request %s runs at host %s, cell %d", o.id, o.host, cell)
			}
			runs[o.id][cell] = true
			if first && rng.Float64() < 0.3 {
				resets++
				return "RESET"
			}
			return ""
		}
	}
	group := func(settings map[string]any) map[string]any {
		return settings["request_classes"].([]any)[keyed].(map[string]any)
	}
	group(w.config.settings)["group"] = "cell"
	w.config.known.Targets = w.targets
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
	time.Sleep(5 * time.Second)
	if trouble {
		delete(group(w.config.settings), "group")
	}
	if err := w.config.write(); err != nil {
		return err
	}
	node.signal(syscall.SIGHUP)
	time.Sleep(35 * time.Second)
	if !node.running() {
		return fmt.Errorf("%w: the node has ended", errBroken)
	}
	c.end()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, in := range runs {
		if len(in) > 1 {
			twice++
			rec.add("request %s ran in %d cells", id, len(in))
		}
	}
	rec.say("%d requests of the class, %d connections reset under one, %d requests ran in more than one cell", len(runs), resets, twice)
	if resets == 0 {
		return fmt.Errorf("no connection was reset")
	}
	if twice > 0 {
		return fmt.Errorf("%w: %d requests ran more than once", errBroken, twice)
	}
	return nil
}
