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

// Fingerprint appends bytes that tell this world from any other: all that the core, its balancer and the stand-ins hold,
// read by reflection. Two worlds with the same bytes go on alike. Left out are logs, functions, and two scratch lists of
// the balancer that are filled anew before they are read.
func (w *World) Fingerprint(to []byte) []byte {
	p := printer{w: w, out: to, seen: map[uintptr]uint64{}}
	p.value(reflect.ValueOf(w.Core))
	p.num(uint64(w.now))
	p.num(uint64(len(w.probes)))
	for _, s := range w.probes {
		p.num(uint64(w.hostOf(s)))
	}
	for _, h := range w.hosts {
		p.value(reflect.ValueOf(h.Listing))
		p.num(uint64(h.restarts))
	}
	for _, c := range w.client {
		p.num(uint64(c.seen))
		p.num(uint64(c.chats))
		p.num(uint64(c.askedAt))
		held := false
		for _, l := range w.links {
			held = held || l.held && l.client == c
		}
		p.flag(held)
		if l := c.link; l != nil {
			p.num(uint64(w.hostOf(l.server)) + 1)
			p.flag(l.sent)
			p.flag(l.up)
		} else {
			p.num(0)
		}
	}
	w.next() // drops the timers that were stopped
	order := slices.Clone(w.timers)
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i], order[j]
		return a.at < b.at || a.at == b.at && a.seq < b.seq
	})
	for _, t := range order {
		p.num(uint64(t.at))
		p.num(uint64(t.due.Kind))
		p.num(uint64(t.due.Request))
		p.num(t.due.Token)
		p.flag(t.mark != nil)
	}
	p.flag(w.off)
	for _, h := range w.hosts {
		p.num(uint64(h.told))
	}
	return w.Rules.Fingerprint(p.out)
}

type printer struct {
	w    *World
	out  []byte
	seen map[uintptr]uint64
}

func (p *printer) num(n uint64) { p.out = binary.AppendUvarint(p.out, n) }
func (p *printer) flag(b bool) {
	if b {
		p.out = append(p.out, 1)
	} else {
		p.out = append(p.out, 0)
	}
}

var (
	logger  = reflect.TypeFor[*slog.Logger]()
	mine    = reflect.TypeFor[*World]()
	tapped  = reflect.TypeFor[*tap]()
	timers  = reflect.TypeFor[*timer]()
	linked  = reflect.TypeFor[*link]()
	clients = reflect.TypeFor[*client]()
	scratch = map[string]bool{"out": true, "fit": true}
)

// value appends a value. Pointers that were met before are told by the order of their first meeting.
func (p *printer) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		p.flag(v.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		p.num(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		p.num(v.Uint())
	case reflect.Float64, reflect.Float32:
		p.num(math.Float64bits(v.Float()))
	case reflect.String:
		p.num(uint64(v.Len()))
		p.out = append(p.out, v.String()...)
	case reflect.Interface:
		p.inside(v)
	case reflect.Pointer:
		p.pointer(v)
	case reflect.Struct:
		p.fields(v)
	case reflect.Slice, reflect.Array:
		p.num(uint64(v.Len()))
		for i := range v.Len() {
			p.value(v.Index(i))
		}
	case reflect.Map:
		p.entries(v)
	}
}

func (p *printer) inside(v reflect.Value) {
	if v.IsNil() {
		p.out = append(p.out, 0)
		return
	}
	p.out = append(p.out, 1)
	p.value(v.Elem())
}

func (p *printer) pointer(v reflect.Value) {
	switch {
	case v.IsNil():
		p.out = append(p.out, 0)
		return
	case v.Type() == logger, v.Type() == mine:
		return
	}
	at := v.Pointer()
	if n, met := p.seen[at]; met {
		p.num(n + 2)
		return
	}
	p.seen[at] = uint64(len(p.seen))
	p.out = append(p.out, 1)
	switch v.Type() {
	case timers: // the list of timers tells the rest
		p.flag(v.Elem().FieldByName("off").Bool())
		p.num(uint64(v.Elem().FieldByName("at").Int()))
	case linked:
		p.flag(v.Elem().FieldByName("open").Bool())
		p.flag(v.Elem().FieldByName("sent").Bool())
	case clients:
		p.num(uint64(v.Elem().FieldByName("id").Int()))
	case tapped:
		p.value(v.Elem().FieldByName("inner"))
	default:
		p.value(v.Elem())
	}
}

func (p *printer) fields(v reflect.Value) {
	t := v.Type()
	for i := range v.NumField() {
		if f := t.Field(i); f.Type.Kind() != reflect.Func && !scratch[f.Name] {
			p.value(v.Field(i))
		}
	}
}

func (p *printer) entries(v reflect.Value) {
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
	p.num(uint64(len(keys)))
	for _, k := range keys {
		p.value(k)
		p.value(v.MapIndex(k))
	}
}

// Kept returns how many queries the core, and how many requests its balancer, still holds.
func (w *World) Kept() (queries, requests int) {
	core := reflect.ValueOf(w.Core).Elem()
	queries = core.FieldByName("requests").Len()
	for inner := core.FieldByName("balancer"); inner.IsValid(); {
		at := inner.Elem().Elem() // the wrappers of the world and of plants have an inner one
		if f := at.FieldByName("requests"); f.IsValid() {
			return queries, f.Len()
		}
		inner = at.FieldByName("inner")
	}
	return queries, 0
}

// Live says how many of the clients' queries should still be held: those that wait and those that are served.
func (w *World) Live() (n int) {
	for _, c := range w.client {
		if c.seen == lifemodel.Asking || c.seen == lifemodel.Served {
			n++
		}
	}
	return n
}
