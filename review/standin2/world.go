package standin2

import (
	"errors"
	"fmt"
	"time"
)

// slack is how much longer each time limit is on sockets.
const slack = 50 * time.Millisecond

// world is one node with its hosts, discovery and clients.
type world struct {
	rec       *recorder
	hosts     []*host
	targets   []target
	discovery *discovery
	config    *nodeConfig
}

// newWorld makes hosts and discovery, and the configuration of a node that knows the list.
func newWorld(rec *recorder, folder string, hosts int, classes []class, mode string) (*world, error) {
	w := &world{rec: rec}
	for i := range hosts {
		h, err := newHost(rec, fmt.Sprintf("s-%02d", i+1))
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
		w.targets = append(w.targets, target{UID: h.name, Endpoint: h.addr(), Zone: "gedung-a", Model: "c2-fast", State: "in_service", Capacity: 1})
	}
	var err error
	if w.discovery, err = newDiscovery(rec, "A", 41, w.targets); err != nil {
		return nil, err
	}
	listen, err1 := freeAddr()
	management, err2 := freeAddr()
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	w.config = &nodeConfig{name: "n1", listen: listen, management: management, discovery: w.discovery.addr, folder: folder,
		seed: "8c1f30d27a5be964", known: &list{Rev: 41, All: true, Targets: w.targets}, settings: settingsOf(classes, mode)}
	return w, w.config.write()
}

// start starts the node's first process and waits until it is ready.
func (w *world) start() (*process, error) {
	p, err := startNode(w.rec, w.config, "first", w.config.management)
	if err != nil {
		return nil, err
	}
	_, err = p.awaitReady(30 * time.Second)
	return p, err
}

// sentAfter returns how many first lines a host got after a moment, and when the last of them came.
func (w *world) sentAfter(h *host, limit time.Time) (n int, last time.Time) {
	for _, o := range h.received() {
		if o.at.After(limit) {
			n, last = n+1, o.at
		}
	}
	return n, last
}

// judgeDrains applies the rule on drains: nothing new to any of these hosts after the limit.
func (w *world) judgeDrains(hosts []*host, limit time.Time) error {
	late := 0
	var latest time.Time
	for _, h := range hosts {
		n, last := w.sentAfter(h, limit)
		w.rec.say("host %s: %d first lines in all, %d of them after the limit at %.3f s", h.name, len(h.received()), n,
			w.rec.since(limit).Seconds())
		if late += n; last.After(latest) {
			latest = last
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: draining hosts were sent %d first lines after the limit, the last one %.3f s after it", errBroken, late,
			latest.Sub(limit).Seconds())
	}
	return nil
}
