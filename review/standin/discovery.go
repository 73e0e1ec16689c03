package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Target is a host in discovery's form.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// List is an answer of discovery.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Discovery is the stand-in of discovery.
type Discovery struct {
	Address string
	record  *Record
	told    func(List, time.Time) // called when an answer was written

	mu      sync.Mutex
	rev     int64
	targets []Target
	changed map[string]int64 // uid: the revision of its last change
	news    chan struct{}    // closed at each change
	server  *http.Server
}

// NewDiscovery returns discovery with a list; told is called after each answer.
func NewDiscovery(record *Record, targets []Target, told func(List, time.Time)) *Discovery {
	return &Discovery{Address: FreeAddress(), record: record, told: told, rev: 1, targets: targets, changed: map[string]int64{},
		news: make(chan struct{})}
}

// Up starts to answer.
func (d *Discovery) Up() error {
	ln, err := net.Listen("tcp", d.Address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.mu.Lock()
	d.server = server
	d.mu.Unlock()
	d.record.Log("discovery is up")
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Down ends all calls and refuses new ones.
func (d *Discovery) Down() {
	d.mu.Lock()
	server := d.server
	d.server = nil
	d.mu.Unlock()
	if server != nil {
		_ = server.Close()
		d.record.Log("discovery is down")
	}
}

// SetState changes the state of hosts, in one revision.
func (d *Discovery) SetState(state string, uids ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for i := range d.targets {
		for _, uid := range uids {
			if d.targets[i].UID == uid {
				d.targets[i].State = state
				d.changed[uid] = d.rev
			}
		}
	}
	close(d.news)
	d.news = make(chan struct{})
	d.record.Log("discovery has rev %d: %v %s", d.rev, uids, state)
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Rev: d.rev, All: true, Targets: append([]Target{}, d.targets...)}
}

// since returns the changes after a revision, and what is closed at the next one.
func (d *Discovery) since(rev int64) (List, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := List{Rev: d.rev, Targets: []Target{}}
	for _, t := range d.targets {
		if d.changed[t.UID] > rev {
			list.Targets = append(list.Targets, t)
		}
	}
	return list, d.news
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method != "GET" || r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	list := d.Whole()
	if from := r.URL.Query().Get("from"); from != "" {
		rev, err := strconv.ParseInt(from, 10, 64)
		hold, err2 := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		if err != nil || err2 != nil || hold > 60_000 {
			http.Error(w, "faulty call", http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(hold)*time.Millisecond)
		defer cancel()
		for {
			var news chan struct{}
			if list, news = d.since(rev); list.Rev > rev {
				break
			}
			select {
			case <-news:
				continue
			case <-ctx.Done():
			}
			break
		}
		if r.Context().Err() != nil {
			return
		}
	}
	raw, _ := json.Marshal(list)
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, err := w.Write(raw)
	if f, ok := w.(http.Flusher); ok && err == nil {
		f.Flush()
	}
	if err == nil && d.told != nil {
		d.told(list, time.Now())
	}
}
