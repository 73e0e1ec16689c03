package standin2

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade-id"] = upgradeID }

// upgradeID: one host hangs, and requests of a class that must not run twice wait there. A new process takes over. Then bad clients come
// with the ids of requests that still wait in the old one.
func upgradeID(rec *recorder, folder string, trouble bool) error {
	classes := usualClasses()
	classes[2].semantics = "non_idempotent" // proof-fetch, given up after 3.2 s
	w, err := newWorld(rec, folder, 12, classes, "pass")
	if err != nil {
		return err
	}
	var mu sync.Mutex
	waiting := map[string]time.Time{} // at the host that hangs
	w.hosts[0].onOpen = func(o openLine) string {
		mu.Lock()
		defer mu.Unlock()
		if o.class == classes[2].name {
			waiting[o.id] = o.at
		}
		return "SILENT"
	}
	first, err := w.start()
	if err != nil {
		return err
	}
	c := newClients(rec, w.config.listen, classes, 20*time.Second, 7)
	c.tenants = []string{"kota-semarang", "kab-blora"}
	c.arrive(7)
	served, asked := 0, 0
	// The host hangs for 20 s at most: the pages say up to 21 s.
	for round, hangs := 0, time.Now(); time.Since(hangs) < 14*time.Second && served == 0; round++ {
		// The class waits at the host that hangs.
		var ids []string
		for until := time.Now().Add(6 * time.Second); time.Now().Before(until) && len(ids) == 0; time.Sleep(100 * time.Millisecond) {
			mu.Lock()
			for id, at := range waiting {
				if time.Since(at) < time.Second {
					ids = append(ids, id)
				}
			}
			mu.Unlock()
			if len(ids) == 0 {
				c.start(classes[2], "")
			}
		}
		if len(ids) == 0 {
			continue
		}
		if trouble {
			management, err := freeAddr()
			if err != nil {
				return err
			}
			second, err := startNode(rec, w.config, fmt.Sprintf("second-%d", round+1), management)
			if err != nil {
				return err
			}
			if _, err := second.awaitReadyEvery(6*time.Second, 10*time.Millisecond); err != nil {
				return err
			}
			first.signal(syscall.SIGTERM)
			first = second
			time.Sleep(100 * time.Millisecond) // the old process accepts no more
		}
		for _, id := range ids {
			mu.Lock()
			left := waiting[id].Add(classes[2].wait - 200*time.Millisecond).After(time.Now())
			mu.Unlock()
			if !left {
				continue
			}
			asked++
			answer := badClient(rec, w.config.listen, id, classes[2])
			if strings.HasPrefix(answer, "UP ") {
				served++
			}
		}
	}
	c.end()
	rec.say("%d bad clients came with the id of an open request, %d of them were served", asked, served)
	if asked == 0 {
		return fmt.Errorf("no request waited")
	}
	if served > 0 {
		return fmt.Errorf("%w: a bad client with the id of another client's open request was served", errBroken)
	}
	return nil
}

// badClient sends a first line with the id of another client's request and returns what it gets.
func badClient(rec *recorder, addr, id string, k class) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer conn.Close()
	fmt.Fprintf(conn, "OPEN %s %s c=%s,t=kab-blora,d=%d\r\n", id, id, k.name, k.wait.Milliseconds())
	rec.add("a bad client sends OPEN %s, the id of an open request", id)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	rec.add("the bad client gets %q", answer)
	return answer
}
