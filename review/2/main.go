// The case of review/2/claim.txt: connections fall silent shortly before a new version takes over.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"lichenhitch/review/standin"
)

const (
	hosts  = 12
	silent = 3 // connections that fall silent, each at another host
	rate   = 7 // clients a second
	// endWithin is PROTOCOL's limit for a connection that brings nothing back from a running host, and 50 ms.
	endWithin = 7050 * time.Millisecond
	// startAfter is when the new version is started, from the first line that stays unanswered.
	startAfter = 2500 * time.Millisecond
)

func main() { standin.Main(100*time.Second, run) }

// watched is a connection that falls silent.
type watched struct {
	client *standin.Client
	host   *standin.Host
	since  time.Time // its first line that stays unanswered
}

func run(record *standin.Record) (int, error) {
	silence := standin.Trouble()
	upgrade := silence && os.Getenv("TROUBLE") != "silence" // TROUBLE=silence: without the new version
	f, old, err := standin.StartFleet(record, hosts, "pass", standin.AllClasses, nil)
	if f != nil {
		defer f.End()
	}
	if err != nil {
		return standin.NotRun, err
	}
	go f.Clients.Arrive(2*rate, 8*time.Second)
	time.Sleep(8 * time.Second)
	go f.Clients.Arrive(rate, 14*time.Second)
	time.Sleep(2 * time.Second)

	// Choose clients that send their next line within 0.25 s of each other, at hosts with connections enough that others are
	// answered there all the time.
	var chosen []*watched
	now := time.Now()
	taken := map[*standin.Host]bool{}
	for _, c := range f.Clients.All() {
		s := c.State()
		if s.Answer != "UP r-"+s.ID || !s.Ended.IsZero() || s.NextLine.Before(now.Add(300*time.Millisecond)) || s.NextLine.After(now.Add(550*time.Millisecond)) {
			continue
		}
		if h := f.HostOf(s.ID); h != nil && !taken[h] && h.Holds() >= 8 && len(chosen) < silent {
			taken[h] = true
			chosen = append(chosen, &watched{client: c, host: h})
		}
	}
	if len(chosen) == 0 {
		return standin.NotRun, fmt.Errorf("no connection could be chosen")
	}
	var mu sync.Mutex
	for _, w := range chosen {
		w.client.BeforeNextLine(func() {
			mu.Lock()
			defer mu.Unlock()
			w.since = time.Now()
			if silence {
				w.host.Silence(w.client.ID)
				record.Log("the connection of client %s falls silent; host %s goes on answering %d others", w.client.ID, w.host.UID, w.host.Holds()-1)
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	mu.Lock()
	begin := chosen[0].since
	for _, w := range chosen {
		if w.since.IsZero() {
			mu.Unlock()
			return standin.NotRun, fmt.Errorf("client %s sent no line", w.client.ID)
		}
		if w.since.Before(begin) {
			begin = w.since
		}
	}
	mu.Unlock()

	var yes time.Time
	if upgrade || !silence {
		time.Sleep(time.Until(begin.Add(startAfter)))
		later, err := f.Start("new", f.Discovery.Address)
		if err != nil {
			return standin.NotRun, err
		}
		if err := later.AwaitReady(6 * time.Second); err != nil {
			return standin.NotRun, err
		}
		yes = time.Now()
		old.Signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(begin.Add(10 * time.Second)))
	if !yes.IsZero() && !old.HasExited() {
		old.Signal(syscall.SIGKILL)
	}

	broken := 0
	for _, w := range chosen {
		s := w.client.State()
		end, how := s.Moved, "moved"
		if end.IsZero() {
			end, how = s.Ended, "ended"
		}
		switch took := end.Sub(w.since); {
		case !silence && end.IsZero() && s.LineSent.IsZero():
			record.Note("client %s is answered", s.ID)
		case end.IsZero():
			broken++
			record.Note("client %s at host %s got nothing back for %.2f s and is neither moved nor ended", s.ID, w.host.UID, time.Since(w.since).Seconds())
		case took > endWithin:
			broken++
			record.Note("client %s at host %s got nothing back and is %s only after %.2f s", s.ID, w.host.UID, how, took.Seconds())
		default:
			record.Note("client %s at host %s is %s after %.2f s", s.ID, w.host.UID, how, took.Seconds())
		}
	}
	if !yes.IsZero() {
		record.Note("the new process is ready %.2f s after the first line that stays unanswered", yes.Sub(begin).Seconds())
	}
	f.Clients.Stop()
	if broken > 0 {
		record.Note("the rule was broken for %d of %d connections", broken, len(chosen))
		return standin.Broken, nil
	}
	record.Note("the rule held for %d connections", len(chosen))
	return standin.Held, nil
}
