// The case of review/3/claim.txt: a new version is started under load while discovery is down.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"lichenhitch/review/standin"
)

const (
	hosts     = 12
	draining  = hosts / 4       // STANDING, calm+brink: a quarter of the hosts begin to drain, and stay up
	downFor   = 8 * time.Second // STANDING, herd+mass: discovery is down for 8 s, into the start of a release
	grace     = 2050 * time.Millisecond
	newsAfter = 2 * time.Second // DAYS: discovery's news counts as told 2 s after the yes
	rate      = 7               // clients a second
)

func main() { standin.Main(100*time.Second, run) }

func run(record *standin.Record) (int, error) {
	var mu sync.Mutex
	var toldAt time.Time // when the drains were written to the node
	told := func(list standin.List, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		for _, t := range list.Targets {
			if t.State == "terminating" && toldAt.IsZero() {
				toldAt = at
			}
		}
	}
	f, old, err := standin.StartFleet(record, hosts, "pass", standin.AllClasses, told)
	if f != nil {
		defer f.End()
	}
	if err != nil {
		return standin.NotRun, err
	}
	go f.Clients.Arrive(2*rate, 5*time.Second)
	time.Sleep(5 * time.Second)
	go f.Clients.Arrive(rate, 20*time.Second)
	time.Sleep(time.Second)

	// A quarter of the hosts drain, and the node is told.
	var uids []string
	for _, h := range f.Hosts[:draining] {
		h.Drain()
		uids = append(uids, h.UID)
	}
	f.Discovery.SetState("terminating", uids...)
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	first := toldAt
	mu.Unlock()
	if first.IsZero() {
		return standin.NotRun, fmt.Errorf("the node did not watch discovery")
	}
	record.LogAt(first, "the node is told that %v drain", uids)

	// Discovery goes down, and a release begins.
	downAt := time.Now()
	if standin.Trouble() {
		f.Discovery.Down()
	}
	later, err := f.Start("new", f.Discovery.Address)
	if err != nil {
		return standin.NotRun, err
	}
	if err := later.AwaitReady(6 * time.Second); err != nil {
		return standin.NotRun, err
	}
	yes := time.Now()
	old.Signal(syscall.SIGTERM)
	termAt := yes
	time.Sleep(time.Until(downAt.Add(downFor)))
	backAt := time.Now()
	if standin.Trouble() {
		if err := f.Discovery.Up(); err != nil {
			return standin.NotRun, err
		}
	}
	if !old.HasExited() {
		time.Sleep(time.Until(termAt.Add(3700 * time.Millisecond)))
		if !old.HasExited() {
			old.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second)

	// The rule: nothing new to a host later than the grace after the node was told. From when discovery's news counts as told to
	// the new process as well, nothing excuses a send.
	strict, late := first.Add(grace), yes.Add(newsAfter+grace)
	if late.Before(strict) {
		late = strict
	}
	early, broken := 0, 0
	for _, h := range f.Hosts[:draining] {
		for _, o := range h.OpensAfter(strict) {
			if o.At.After(late) {
				broken++
				record.Log("broken: draining host %s gets OPEN %s, %.2f s after the node was told and %.2f s after the yes", h.UID, o.ID,
					o.At.Sub(first).Seconds(), o.At.Sub(yes).Seconds())
			} else {
				early++
			}
		}
	}
	served, others := 0, 0
	for _, c := range f.Clients.All() {
		if s := c.State(); s.Answer == "UP r-"+s.ID {
			served++
		} else if s.Answer != "" {
			others++
		}
	}
	f.Clients.Stop()
	record.Note("requests served: %d, not served: %d", served, others)
	record.Note("told at %.2f s, discovery down from %.2f to %.2f s, the new process ready at %.2f s", record.Seconds(first),
		record.Seconds(downAt), record.Seconds(backAt), record.Seconds(yes))
	record.Note("first lines to draining hosts: %d from 2.05 s after the drains were told, %d of them after %.2f s (yes and 4.05 s)",
		early+broken, broken, record.Seconds(late))
	if broken > 0 {
		record.Note("the rule was broken")
		return standin.Broken, nil
	}
	record.Note("the rule held")
	return standin.Held, nil
}
