// Package line reads and writes the platform's lines of text. It holds no state and does no I/O.
package line

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
	"unicode/utf8"

	"lichenhitch/balance"
)

// Max is the longest line, with its CRLF.
const Max = 4 << 10

// maxWait is the longest wait that a client may tell, in milliseconds: a day. Clients wait for seconds, but one without a
// deadline, as of a connection that stood before, tells the longest time that fits 32 bits of microseconds, 4,294,967 ms.
const maxWait = 24 * 60 * 60 * 1000

// The faults of a line.
var (
	ErrTooLong   = errors.New("the line is longer than 4 KiB")
	ErrMalformed = errors.New("the line is malformed")
)

// Next cuts the first line off data. It returns the line without its CRLF and how many bytes it takes up, or 0
// while it is not complete.
func Next(data []byte) (text []byte, n int, err error) {
	end := bytes.IndexByte(data, '\n')
	switch {
	case end >= Max, end < 0 && len(data) >= Max:
		return nil, 0, ErrTooLong
	case end < 0:
		return nil, 0, nil
	}
	text, ok := bytes.CutSuffix(data[:end], []byte("\r"))
	if !ok {
		return nil, end + 1, fmt.Errorf("%w: it does not end in CRLF", ErrMalformed)
	}
	return text, end + 1, nil
}

// Complete returns how many bytes the complete lines at the start of data take up.
func Complete(data []byte) (int, error) {
	n := bytes.LastIndexByte(data, '\n') + 1
	if len(data)-n >= Max {
		return n, ErrTooLong
	}
	return n, nil
}

// Word cuts the first word off a line.
func Word(text []byte) (word, rest []byte) {
	word, rest, _ = bytes.Cut(text, []byte(" "))
	return word, rest
}

// Open is a client's first line.
type Open struct {
	ID, Key       string
	Class, Tenant string
	Group         string
	At            balance.ServerID // the host that holds the connection from before
	Wait          time.Duration    // how long the client waits, where it is told
	Told          bool
	Load          float64
	Retry, Again  bool
	MidFlow       bool

	text       []byte // the line
	from, upTo int    // where the value of d stands in it
}

// ParseOpen reads an OPEN line. Names that are not known are passed over.
func ParseOpen(text []byte) (Open, error) {
	word, rest := Word(text)
	if string(word) != "OPEN" {
		return Open{}, fmt.Errorf("%w: it does not begin with OPEN", ErrMalformed)
	}
	id, rest := Word(rest)
	flow, list := Word(rest)
	if len(id) == 0 || len(flow) == 0 || len(list) == 0 || bytes.ContainsAny(list, " ") || !isText(text) {
		return Open{}, fmt.Errorf("%w: an id, a key and a list are wanted", ErrMalformed)
	}
	o := Open{ID: string(id), Key: string(flow), text: bytes.Clone(text)}
	at := len(text) - len(list)
	for len(list) > 0 {
		pair, rest, _ := bytes.Cut(list, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return Open{}, fmt.Errorf("%w: %.40q is no name and value", ErrMalformed, pair)
		}
		if err := o.set(string(name), string(value)); err != nil {
			return Open{}, err
		}
		if string(name) == "d" {
			o.from, o.upTo = at+len(name)+1, at+len(pair)
		}
		at += len(pair) + 1
		list = rest
	}
	if o.Class == "" {
		return Open{}, fmt.Errorf("%w: c is missing", ErrMalformed)
	}
	return o, nil
}

// isText says whether a text is one, without control characters: a lone CR might pass for the end of a line elsewhere.
func isText(text []byte) bool {
	return utf8.Valid(text) && !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f })
}

func (o *Open) set(name, value string) error {
	var err error
	switch name {
	case "c":
		o.Class = value
	case "t":
		o.Tenant = value
	case "g":
		o.Group = value
	case "at":
		o.At = balance.ServerID(value)
	case "r":
		o.Retry = value == "1"
	case "again":
		o.Again = value == "1"
	case "mid":
		o.MidFlow = value == "1"
	case "h":
		o.Load, err = strconv.ParseFloat(value, 64)
		if err == nil && (o.Load < 0 || math.IsNaN(o.Load) || math.IsInf(o.Load, 0)) {
			err = strconv.ErrRange
		}
	case "d":
		var ms uint64
		if ms, err = strconv.ParseUint(value, 10, 64); err == nil && ms > maxWait {
			err = strconv.ErrRange
		}
		o.Wait, o.Told = time.Duration(ms)*time.Millisecond, true
	}
	if err != nil {
		return fmt.Errorf("%w: %s=%.40q", ErrMalformed, name, value)
	}
	return nil
}

// Append appends the line as it goes to a host: d tells what is left, and every other byte is the client's.
func (o *Open) Append(to []byte, left time.Duration) []byte {
	if o.upTo == 0 {
		return append(append(to, o.text...), "\r\n"...)
	}
	to = append(to, o.text[:o.from]...)
	to = strconv.AppendInt(to, max(left.Milliseconds(), 1), 10)
	return append(append(to, o.text[o.upTo:]...), "\r\n"...)
}

// AppendBusy appends the answer of a throttle; after is rounded up, 0 gives no advice.
func AppendBusy(to []byte, after time.Duration) []byte {
	to = append(to, "BUSY"...)
	if after > 0 {
		to = append(to, ' ')
		to = strconv.AppendInt(to, int64((after+time.Millisecond-1)/time.Millisecond), 10)
	}
	return append(to, "\r\n"...)
}

// ParseReport reads a load report, as in inflight=7,queue=2. What it does not know it passes over; a figure
// that is no number makes the report empty.
func ParseReport(text []byte) balance.Report {
	var out balance.Report
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		to, has := field(&out, string(name))
		if to == nil {
			continue
		}
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return balance.Report{}
		}
		*to = v
		out.Known |= has
	}
	return out
}

func field(r *balance.Report, name string) (*float64, balance.Metric) {
	switch name {
	case "x0":
		return &r.Ratio, balance.HasRatio
	case "x1":
		return &r.Backlog, balance.HasBacklog
	case "inflight":
		return &r.Held, balance.HasHeld
	case "util":
		return &r.Busy, balance.HasBusy
	case "queue":
		return &r.Queue, balance.HasQueue
	case "latency_ms":
		return &r.Latency, balance.HasLatency
	case "qps":
		return &r.Served, balance.HasServed
	case "eps":
		return &r.Errors, balance.HasErrors
	}
	return nil, 0
}
