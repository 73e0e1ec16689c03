package script

import (
	"encoding/binary"
	"log/slog"
	"math"
	"reflect"
	"slices"
	"sort"

	"lichenhitch/rehearsal/lifemodel"
)

// Fingerprint appends bytes that identify the state of this world: the whole state of the core and its balancer, read by
// reflection, and that of the simulated environment. Two worlds with the same bytes behave alike from there on. Loggers,
// functions and skippedFields are left out.
func (w *World) Fingerprint(to []byte) []byte {
	fp := fingerprinter{w: w, buf: to, seen: map[uintptr]uint64{}}
	fp.value(reflect.ValueOf(w.Core))
	fp.uint(uint64(w.now))
	fp.uint(uint64(len(w.probes)))
	for _, s := range w.probes {
		fp.uint(uint64(w.hostIndex(s)))
	}
	for _, host := range w.hosts {
		fp.value(reflect.ValueOf(host.Listing))
		fp.uint(uint64(host.unreportedRestarts))
	}
	for _, cl := range w.clients {
		fp.uint(uint64(cl.view))
		fp.uint(uint64(cl.linesSent))
		fp.uint(uint64(cl.unansweredSince))
		mayReportLate := false
		for _, conn := range w.conns {
			mayReportLate = mayReportLate || conn.mayReportLate && conn.client == cl
		}
		fp.bool(mayReportLate)
		if conn := cl.conn; conn != nil {
			fp.uint(uint64(w.hostIndex(conn.server)) + 1)
			fp.bool(conn.sent)
			fp.bool(conn.established)
		} else {
			fp.uint(0)
		}
	}
	w.nextTimer() // removes the stopped timers
	ordered := slices.Clone(w.timers)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := ordered[i], ordered[j]
		return a.at < b.at || a.at == b.at && a.seq < b.seq
	})
	for _, t := range ordered {
		fp.uint(uint64(t.at))
		fp.uint(uint64(t.event.Kind))
		fp.uint(uint64(t.event.Request))
		fp.uint(t.event.Token)
		fp.bool(t.run != nil)
	}
	fp.bool(w.stopped)
	for _, host := range w.hosts {
		fp.uint(uint64(host.listedState))
	}
	return w.Rules.Fingerprint(fp.buf)
}

// fingerprinter encodes values by reflection.
type fingerprinter struct {
	w    *World
	buf  []byte
	seen map[uintptr]uint64 // pointers met so far, numbered in that order
}

func (p *fingerprinter) uint(n uint64) { p.buf = binary.AppendUvarint(p.buf, n) }
func (p *fingerprinter) bool(b bool) {
	if b {
		p.buf = append(p.buf, 1)
	} else {
		p.buf = append(p.buf, 0)
	}
}

var (
	loggerType = reflect.TypeFor[*slog.Logger]()
	worldType  = reflect.TypeFor[*World]()
	tapType    = reflect.TypeFor[*balancerTap]()
	timerType  = reflect.TypeFor[*timer]()
	connType   = reflect.TypeFor[*hostConn]()
	clientType = reflect.TypeFor[*client]()
	// skippedFields are the names of the scratch lists of balance.Balancer, which are refilled before they are read.
	skippedFields = map[string]bool{"out": true, "fit": true}
)

// value appends a value. A pointer that was met before is encoded by its number.
func (p *fingerprinter) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		p.bool(v.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		p.uint(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		p.uint(v.Uint())
	case reflect.Float64, reflect.Float32:
		p.uint(math.Float64bits(v.Float()))
	case reflect.String:
		p.uint(uint64(v.Len()))
		p.buf = append(p.buf, v.String()...)
	case reflect.Interface:
		p.iface(v)
	case reflect.Pointer:
		p.pointer(v)
	case reflect.Struct:
		p.fields(v)
	case reflect.Slice, reflect.Array:
		p.uint(uint64(v.Len()))
		for i := range v.Len() {
			p.value(v.Index(i))
		}
	case reflect.Map:
		p.mapEntries(v)
	}
}

func (p *fingerprinter) iface(v reflect.Value) {
	if v.IsNil() {
		p.buf = append(p.buf, 0)
		return
	}
	p.buf = append(p.buf, 1)
	p.value(v.Elem())
}

func (p *fingerprinter) pointer(v reflect.Value) {
	switch {
	case v.IsNil():
		p.buf = append(p.buf, 0)
		return
	case v.Type() == loggerType, v.Type() == worldType:
		return
	}
	address := v.Pointer()
	if n, met := p.seen[address]; met {
		p.uint(n + 2)
		return
	}
	p.seen[address] = uint64(len(p.seen))
	p.buf = append(p.buf, 1)
	switch v.Type() {
	case timerType: // Fingerprint encodes the rest with the list of timers
		p.bool(v.Elem().FieldByName("stopped").Bool())
		p.uint(uint64(v.Elem().FieldByName("at").Int()))
	case connType:
		p.bool(v.Elem().FieldByName("open").Bool())
		p.bool(v.Elem().FieldByName("sent").Bool())
	case clientType:
		p.uint(uint64(v.Elem().FieldByName("id").Int()))
	case tapType:
		p.value(v.Elem().FieldByName("inner"))
	default:
		p.value(v.Elem())
	}
}

func (p *fingerprinter) fields(v reflect.Value) {
	t := v.Type()
	for i := range v.NumField() {
		if field := t.Field(i); field.Type.Kind() != reflect.Func && !skippedFields[field.Name] {
			p.value(v.Field(i))
		}
	}
}

func (p *fingerprinter) mapEntries(v reflect.Value) {
	keys := v.MapKeys()
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		switch {
		case a.CanUint():
			return a.Uint() < b.Uint()
		case a.CanInt():
			return a.Int() < b.Int()
		}
		return a.String() < b.String()
	})
	p.uint(uint64(len(keys)))
	for _, k := range keys {
		p.value(k)
		p.value(v.MapIndex(k))
	}
}

// Retained returns how many requests the core and its balancer still hold.
func (w *World) Retained() (inCore, inBalancer int) {
	core := reflect.ValueOf(w.Core).Elem()
	inCore = core.FieldByName("requests").Len()
	for inner := core.FieldByName("balancer"); inner.IsValid(); {
		balancer := inner.Elem().Elem() // the wrappers of the world and of injected bugs have the real balancer as "inner"
		if requests := balancer.FieldByName("requests"); requests.IsValid() {
			return inCore, requests.Len()
		}
		inner = balancer.FieldByName("inner")
	}
	return inCore, 0
}

// LiveRequests returns how many requests the core should still hold: those that wait and those that are served.
func (w *World) LiveRequests() (n int) {
	for _, cl := range w.clients {
		if cl.view == lifemodel.Asking || cl.view == lifemodel.Served {
			n++
		}
	}
	return n
}
