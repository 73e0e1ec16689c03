// The case of review/1/claim.txt: a planned restart after the class with the longest deadline was dropped.
package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"lichenhitch/review/standin"
)

const (
	hosts = 12
	rate  = 7 // clients a second
	idle  = 3 // clients that connect and say nothing
)

func main() { standin.Main(100*time.Second, run) }

func run(record *standin.Record) (int, error) {
	left := []standin.Class{standin.JobStatus}
	classes := standin.AllClasses
	if os.Getenv("TROUBLE") == "silent" { // the silent clients without the new settings
		classes = left
	}
	f, node, err := standin.StartFleet(record, hosts, "proxy", classes, nil)
	if f != nil {
		defer f.End()
	}
	if err != nil {
		return standin.NotRun, err
	}
	f.Clients.Classes = left
	go f.Clients.Arrive(rate, 7*time.Second)
	time.Sleep(4 * time.Second)

	// New settings: only the class with the shortest deadline stays.
	if err := f.WriteConfig(f.Discovery.Address, f.Known, standin.Settings("proxy", left)); err != nil {
		return standin.NotRun, err
	}
	node.Signal(syscall.SIGHUP)
	time.Sleep(4 * time.Second)

	// A planned restart. New connections go on coming for 0.4 s.
	term := time.Now()
	kill := term.Add(standin.JobStatus.Deadline + 700*time.Millisecond)
	node.Signal(syscall.SIGTERM)
	f.Clients.Arrive(rate, 200*time.Millisecond)
	var silent []net.Conn
	for range idle {
		if !standin.Trouble() {
			break
		}
		conn, err := net.DialTimeout("tcp", f.Listen, time.Second)
		if err != nil {
			return standin.NotRun, fmt.Errorf("the node does not accept: %w", err)
		}
		defer conn.Close()
		record.Log("a client connects and says nothing")
		silent = append(silent, conn)
	}
	time.Sleep(time.Until(kill))
	select {
	case <-node.Exited:
	case <-time.After(50 * time.Millisecond):
	}
	held, moved, lost := 0, 0, 0
	for _, c := range f.Clients.All() {
		s := c.State()
		switch {
		case s.Answer != "UP r-"+s.ID:
		case !s.Moved.IsZero():
			moved++
		case !s.Ended.IsZero():
			lost++
			record.Log("lost: the connection of client %s was cut off without MOVE", s.ID)
		default:
			held++
			record.Log("lost: the connection of client %s is still held at SIGKILL", s.ID)
		}
	}
	exited, killedAfter := node.HasExited(), time.Since(term).Seconds()
	if !exited {
		node.Signal(syscall.SIGKILL)
	}
	time.Sleep(300 * time.Millisecond)
	f.Clients.Stop()
	record.Note("at the kill, %.2f s after SIGTERM: ended by itself: %v; connections moved: %d, cut off: %d, still held: %d",
		killedAfter, exited, moved, lost, held)
	if held+lost > 0 {
		record.Note("the rule was broken")
		return standin.Broken, nil
	}
	record.Note("the rule held")
	return standin.Held, nil
}
