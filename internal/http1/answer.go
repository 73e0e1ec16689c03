package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Answer is what a server answered.
type Answer struct {
	Status int
	Body   []byte
	Size   int  // bytes that it takes up; 0: it is not complete
	Close  bool // the connection ends after it
}

// ParseAnswer reads an answer at the start of data; its Size is 0 while it is not complete. The body's length must be
// told: an answer that only the end of the connection ends cannot be told from one that was cut.
func ParseAnswer(data []byte) (Answer, error) {
	h, err := parseHead(data, HeadMax)
	if err != nil || h.size == 0 {
		return Answer{}, err
	}
	version, rest, _ := bytes.Cut(h.first, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || status < 100 || status > 999 || !isVersion(version) {
		return Answer{}, fmt.Errorf("%w: %.40q", ErrHead, h.first)
	}
	a := Answer{Status: status, Close: h.closes || string(version) == "HTTP/1.0" && !h.keeps}
	body := data[h.size:]
	switch {
	case status == 204 || status == 304:
		a.Size = h.size
	case h.chunked && len(body) > chunkedMax:
		return Answer{}, ErrTooLong
	case h.chunked:
		n, err := a.dechunk(body)
		if n == 0 || err != nil {
			return Answer{}, err
		}
		a.Size = h.size + n
	case h.length > bodyMax || len(body) > bodyMax:
		return Answer{}, ErrTooLong
	case h.length < 0:
		return Answer{}, ErrLength
	case len(body) < h.length:
		return Answer{}, nil
	default:
		a.Body, a.Size = body[:h.length], h.size+h.length
	}
	return a, nil
}

// dechunk reads a chunked body and returns how many bytes it takes up, or 0 while it is not complete. The body is put
// together only once it is: an answer that comes in many pieces is looked at with each of them.
func (a *Answer) dechunk(data []byte) (int, error) {
	total := 0
	n, err := eachChunk(data, func(piece []byte) { total += len(piece) })
	if n == 0 || err != nil {
		return 0, err
	}
	a.Body = make([]byte, 0, total)
	return eachChunk(data, func(piece []byte) { a.Body = append(a.Body, piece...) })
}

// eachChunk hands on the chunks of a body and returns how many bytes they take up with all that stands between them, or 0
// while the last one has not come.
func eachChunk(data []byte, take func([]byte)) (int, error) {
	at, total := 0, 0
	for {
		end := bytes.Index(data[at:], []byte("\r\n"))
		if end < 0 {
			return 0, nil
		}
		digits, _, _ := bytes.Cut(data[at:at+end], []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return 0, ErrChunk
		}
		at += end + 2
		if total += int(size); total > bodyMax {
			return 0, ErrTooLong
		}
		if size == 0 {
			return trailers(data, at), nil
		}
		if len(data) < at+int(size)+2 {
			return 0, nil
		}
		take(data[at : at+int(size)])
		if at += int(size); !bytes.HasPrefix(data[at:], []byte("\r\n")) {
			return 0, ErrChunk
		}
		at += 2
	}
}

// trailers returns where the trailers that begin at a place end, or 0 while they have not. An empty line ends them.
func trailers(data []byte, at int) int {
	if bytes.HasPrefix(data[at:], []byte("\r\n")) {
		return at + 2
	}
	if end := bytes.Index(data[at:], []byte("\r\n\r\n")); end >= 0 {
		return at + end + 4
	}
	return 0
}
