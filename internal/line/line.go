// Package line parses and formats the lines of the platform's text protocol. It has no state and does no I/O.
package line

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"time"
	"unicode/utf8"

	"lichenhitch/balance"
)

// Max is the maximum length of a line in bytes, including its CRLF.
const Max = 4 << 10

// maxWaitMS is the longest wait that a client may give, in milliseconds: one day. Clients wait for seconds, but a client
// without a deadline, such as that of a connection that was established before, gives the longest time that fits 32 bits of
// microseconds, 4,294,967 ms.
const maxWaitMS = 24 * 60 * 60 * 1000

// Errors of lines. Clients receive these texts in ERR lines.
var (
	ErrTooLong   = errors.New("the line is longer than 4 KiB")
	ErrMalformed = errors.New("the line is malformed")
)

// Next returns the first line of data without its CRLF, and its length with it, which is 0 while the line is incomplete.
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

// Complete returns the total length of the complete lines at the start of data.
func Complete(data []byte) (int, error) {
	n := bytes.LastIndexByte(data, '\n') + 1
	if len(data)-n >= Max {
		return n, ErrTooLong
	}
	return n, nil
}

// Word splits a line at its first space.
func Word(text []byte) (word, rest []byte) {
	word, rest, _ = bytes.Cut(text, []byte(" "))
	return word, rest
}

// Open is an OPEN line, the first line of a client, which makes its request.
type Open struct {
	ID, Key          string
	Class, Tenant    string
	Group            string
	At               balance.ServerID // the host that already has the connection
	Wait             time.Duration    // how long the client waits, if HasWait
	HasWait          bool
	Load             float64
	Retry, Returning bool
	MidFlow          bool

	text               []byte // the line without its CRLF
	waitStart, waitEnd int    // position of the value of d in text; 0 without d
}

// ParseOpen parses an OPEN line. Unknown names are ignored.
func ParseOpen(text []byte) (Open, error) {
	word, rest := Word(text)
	if string(word) != "OPEN" {
		return Open{}, fmt.Errorf("%w: it does not begin with OPEN", ErrMalformed)
	}
	id, rest := Word(rest)
	key, list := Word(rest)
	if len(id) == 0 || len(key) == 0 || len(list) == 0 || bytes.ContainsAny(list, " ") || !isPlainText(text) {
		return Open{}, fmt.Errorf("%w: an id, a key and a list are wanted", ErrMalformed)
	}
	o := Open{ID: string(id), Key: string(key), text: bytes.Clone(text)}
	offset := len(text) - len(list)
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
			o.waitStart, o.waitEnd = offset+len(name)+1, offset+len(pair)
		}
		offset += len(pair) + 1
		list = rest
	}
	if o.Class == "" {
		return Open{}, fmt.Errorf("%w: c is missing", ErrMalformed)
	}
	return o, nil
}

// isPlainText reports whether text is valid UTF-8 without control characters. A lone CR might be taken for the end of a line
// elsewhere.
func isPlainText(text []byte) bool {
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
		o.Returning = value == "1"
	case "mid":
		o.MidFlow = value == "1"
	case "h":
		o.Load, err = strconv.ParseFloat(value, 64)
		if err == nil && (o.Load < 0 || math.IsNaN(o.Load) || math.IsInf(o.Load, 0)) {
			err = strconv.ErrRange
		}
	case "d":
		var ms uint64
		if ms, err = strconv.ParseUint(value, 10, 64); err == nil && ms > maxWaitMS {
			err = strconv.ErrRange
		}
		o.Wait, o.HasWait = time.Duration(ms)*time.Millisecond, true
	}
	if err != nil {
		return fmt.Errorf("%w: %s=%.40q", ErrMalformed, name, value)
	}
	return nil
}

// HashID returns a hash of an id, which identifies the id in all processes of a node. All versions must agree on it.
func HashID(id string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hash.Sum64()
}

// Append appends the line as it is sent to a host: d gives the time that is left, and every other byte is the client's.
func (o *Open) Append(to []byte, left time.Duration) []byte {
	if o.waitEnd == 0 {
		return append(append(to, o.text...), "\r\n"...)
	}
	to = append(to, o.text[:o.waitStart]...)
	to = strconv.AppendInt(to, max(left.Milliseconds(), 1), 10)
	return append(append(to, o.text[o.waitEnd:]...), "\r\n"...)
}

// AppendBusy appends a BUSY line. after is the time to wait before another try, rounded up to milliseconds; with 0 the line
// has none.
func AppendBusy(to []byte, after time.Duration) []byte {
	to = append(to, "BUSY"...)
	if after > 0 {
		to = append(to, ' ')
		to = strconv.AppendInt(to, int64((after+time.Millisecond-1)/time.Millisecond), 10)
	}
	return append(to, "\r\n"...)
}

// ParseReport parses a load report such as inflight=7,queue=2. Unknown names are ignored. A value that is not a finite number
// makes the whole report empty.
func ParseReport(text []byte) balance.Report {
	var out balance.Report
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		to, metric := metricField(&out, string(name))
		if to == nil {
			continue
		}
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return balance.Report{}
		}
		*to = v
		out.Known |= metric
	}
	return out
}

func metricField(r *balance.Report, name string) (*float64, balance.Metric) {
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
