package hostgroup

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

var (
	errHead    = errors.New("the answer's head is malformed")
	errChunk   = errors.New("the answer's chunks are malformed")
	errLength  = errors.New("the answer's length is not told")
	errTooLong = errors.New("the answer is too long")
)

const (
	headMax = 16 << 10
	bodyMax = 2 << 20
)

// answer is an HTTP/1.1 answer.
type answer struct {
	status int
	body   []byte
	size   int  // bytes that it takes up
	close  bool // the connection ends after it
}

// parseAnswer reads an answer at the start of data; size is 0 while it is not complete. The body's length must be
// told: an answer that only the end of the connection ends cannot be told from one that was cut.
func parseAnswer(data []byte) (answer, error) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		if len(data) > headMax {
			return answer{}, errHead
		}
		return answer{}, nil
	}
	lines := bytes.Split(data[:end], []byte("\r\n"))
	a := answer{}
	version, rest, _ := bytes.Cut(lines[0], []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || status < 100 || status > 999 || !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return answer{}, fmt.Errorf("%w: %.40q", errHead, lines[0])
	}
	a.status, a.close = status, string(version) == "HTTP/1.0"
	length, chunked := -1, false
	for _, l := range lines[1:] {
		name, value, ok := bytes.Cut(l, []byte(":"))
		if !ok {
			return answer{}, fmt.Errorf("%w: %.40q", errHead, l)
		}
		value = bytes.TrimSpace(value)
		switch string(bytes.ToLower(name)) {
		case "content-length":
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 {
				return answer{}, fmt.Errorf("%w: %.40q", errHead, l)
			}
		case "transfer-encoding":
			chunked = bytes.EqualFold(value, []byte("chunked"))
		case "connection":
			a.close = bytes.EqualFold(value, []byte("close"))
		}
	}
	body := data[end+4:]
	switch {
	case status == 204 || status == 304:
		a.size = end + 4
	case chunked:
		n, err := a.dechunk(body)
		if n == 0 || err != nil {
			return answer{}, err
		}
		a.size = end + 4 + n
	case length > bodyMax || len(body) > bodyMax:
		return answer{}, errTooLong
	case length >= 0:
		if len(body) < length {
			return answer{}, nil
		}
		a.body, a.size = body[:length], end+4+length
	default:
		return answer{}, errLength
	}
	return a, nil
}

// dechunk reads a chunked body and returns how many bytes it takes up, or 0 while it is not complete.
func (a *answer) dechunk(data []byte) (int, error) {
	at := 0
	for {
		end := bytes.Index(data[at:], []byte("\r\n"))
		if end < 0 {
			return 0, nil
		}
		digits, _, _ := bytes.Cut(data[at:at+end], []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return 0, errChunk
		}
		at += end + 2
		if int(size) > bodyMax-len(a.body) {
			return 0, errTooLong
		}
		if size == 0 {
			// Trailers, if any, end with an empty line.
			if bytes.HasPrefix(data[at:], []byte("\r\n")) {
				return at + 2, nil
			}
			if end := bytes.Index(data[at:], []byte("\r\n\r\n")); end >= 0 {
				return at + end + 4, nil
			}
			return 0, nil
		}
		if len(data) < at+int(size)+2 {
			return 0, nil
		}
		a.body = append(a.body, data[at:at+int(size)]...)
		if at += int(size); !bytes.HasPrefix(data[at:], []byte("\r\n")) {
			return 0, errChunk
		}
		at += 2
	}
}
