// Package http1 parses HTTP/1.1 messages: the responses of discovery and the requests of operators. It keeps no state. Each
// function parses one message at the start of a buffer that may hold only part of it.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors of malformed or oversized messages. A returned error may wrap one of them with the faulty text. Operators receive the
// texts of ErrHead and ErrHeadTooLong in responses.
var (
	ErrHead        = errors.New("the head is malformed")
	ErrHeadTooLong = errors.New("the head is too long")
	ErrChunk       = errors.New("chunked body is malformed")
	ErrNoLength    = errors.New("message has no body length")
	ErrBodyTooLong = errors.New("message body is too long")
)

const (
	// ResponseHeadMax is the maximum size of the head of a response, in bytes.
	ResponseHeadMax = 16 << 10
	bodyMax         = 2 << 20
	// chunkedMax is the maximum size of a chunked body in its encoded form, in bytes. Chunk sizes, extensions and trailers
	// could otherwise go on without end.
	chunkedMax = 4 * bodyMax
)

// head is the parsed head of a message: the start line and the header fields.
type head struct {
	startLine []byte
	size      int // bytes in the input; 0: incomplete
	length    int // of the body; -1: no Content-Length
	chunked   bool
	connClose bool // Connection: close
	keepAlive bool // Connection: keep-alive
}

// parseHead parses a head of at most maxSize bytes at the start of data. Lines end in CRLF.
func parseHead(data []byte, maxSize int) (head, error) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 && len(data) <= maxSize {
		return head{}, nil
	}
	if end < 0 || end > maxSize {
		return head{}, ErrHeadTooLong
	}
	startLine, rest, _ := bytes.Cut(data[:end], []byte("\r\n"))
	h := head{startLine: startLine, size: end + 4, length: -1}
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if err := h.field(line); err != nil {
			return head{}, err
		}
	}
	return h, nil
}

// field parses one header field.
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
		h.connClose, h.keepAlive = bytes.EqualFold(value, []byte("close")), bytes.EqualFold(value, []byte("keep-alive"))
	}
	return nil
}

// isVersion reports whether text is a supported HTTP version.
func isVersion(text []byte) bool { return string(text) == "HTTP/1.1" || string(text) == "HTTP/1.0" }
