package standin

import (
	"fmt"
	"time"
)

// Fleet is one node with its hosts, discovery and clients.
type Fleet struct {
	*Platform
	Hosts     []*Host
	Discovery *Discovery
	Clients   *Clients
	Known     List // the list in the configuration
}

// StartFleet starts hosts, discovery and the first process of the node, which is ready and has answered the front.
func StartFleet(record *Record, hosts int, mode string, classes []Class, told func(List, time.Time)) (*Fleet, *Process, error) {
	p, err := NewPlatform(record)
	if err != nil {
		return nil, nil, err
	}
	f := &Fleet{Platform: p}
	var targets []Target
	for i := range hosts {
		h, err := NewHost(record, fmt.Sprintf("s-%08x", 0x5be2a07c+i*7919))
		if err != nil {
			return f, nil, err
		}
		f.Hosts = append(f.Hosts, h)
		targets = append(targets, h.Target())
	}
	f.Discovery = NewDiscovery(record, targets, told)
	if err := f.Discovery.Up(); err != nil {
		return f, nil, err
	}
	f.Known = f.Discovery.Whole()
	if err := p.WriteConfig(f.Discovery.Address, f.Known, Settings(mode, classes)); err != nil {
		return f, nil, err
	}
	f.Clients = &Clients{Record: record, Node: p.Listen, Classes: classes}
	first, err := p.Start("old", f.Discovery.Address)
	if err != nil {
		return f, nil, err
	}
	if err := first.AwaitReady(10 * time.Second); err != nil {
		return f, nil, err
	}
	if answer := Ping(p.Listen); answer != "PONG" {
		return f, nil, fmt.Errorf("the node answers PING with %q", answer)
	}
	return f, first, nil
}

// Host returns the host with a uid.
func (f *Fleet) Host(uid string) *Host {
	for _, h := range f.Hosts {
		if h.UID == uid {
			return h
		}
	}
	return nil
}

// HostOf returns the host that holds the connection of a request, or nil.
func (f *Fleet) HostOf(id string) *Host {
	for _, h := range f.Hosts {
		h.mu.Lock()
		_, found := h.conns[id]
		h.mu.Unlock()
		if found {
			return h
		}
	}
	return nil
}
