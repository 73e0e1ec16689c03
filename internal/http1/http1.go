// Package http1 reads the messages of HTTP/1.1: their heads, the answers that discovery gives and the calls that
// operators make. It keeps nothing and reads from one buffer, from its start, as far as that has come.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// The faults of a message. An error that is returned wraps one of them and names the place.
var (
	ErrHead    = errors.New("the head is malformed")
	ErrHeadMax = errors.New("the head is too long")
	ErrChunk   = errors.New("the chunks are malformed")
	ErrLength  = errors.New("the length is not told")
	ErrTooLong = errors.New("the body is too long")
)

const (
	// HeadMax is how long the head of an answer may be, in bytes.
	HeadMax = 16 << 10
	bodyMax = 2 << 20
	// chunkedMax is how long a chunked body may be with all that stands between its chunks, in bytes: sizes, extensions and
	// trailers may go on without end.
	chunkedMax = 4 * bodyMax
)

// head is a message up to its body.
type head struct {
	first   []byte // the first line
	size    int    // bytes that it takes up; 0: it is not complete
	length  int    // of the body; -1: not told
	chunked bool
	closes  bool // the connection is to end
	keeps   bool // the connection is to be kept
}

// parseHead reads a head of at most so many bytes at the start of data. Lines end in CRLF.
func parseHead(data []byte, most int) (head, error) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 && len(data) <= most {
		return head{}, nil
	}
	if end < 0 || end > most {
		return head{}, ErrHeadMax
	}
	first, rest, _ := bytes.Cut(data[:end], []byte("\r\n"))
	h := head{first: first, size: end + 4, length: -1}
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if err := h.field(line); err != nil {
			return head{}, err
		}
	}
	return h, nil
}

// field takes one line of the head.
func (h *head) field(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.ContainsAny(line, "\x00\r\n") {
		return fmt.Errorf("%w: %.40q", ErrHead, line)
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("content-length")):
		n, err := strconv.ParseUint(string(value), 10, 31)
		if err != nil || h.length >= 0 && h.length != int(n) {
			return fmt.Errorf("%w: %.40q", ErrHead, line)
		}
		h.length = int(n)
	case bytes.EqualFold(name, []byte("transfer-encoding")):
		h.chunked = bytes.EqualFold(value, []byte("chunked"))
	case bytes.EqualFold(name, []byte("connection")):
		h.closes, h.keeps = bytes.EqualFold(value, []byte("close")), bytes.EqualFold(value, []byte("keep-alive"))
	}
	return nil
}

// isVersion says whether a text names a version that is read here.
func isVersion(text []byte) bool { return string(text) == "HTTP/1.1" || string(text) == "HTTP/1.0" }
