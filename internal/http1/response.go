package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// Response is the response of a server.
type Response struct {
	Status int
	Body   []byte
	Size   int  // bytes in the input; 0: incomplete
	Close  bool // the server closes the connection after it
}

// ParseResponse parses a response at the start of data; its Size is 0 while it is incomplete. The response must give the
// length of its body: one that extends to the end of the connection cannot be distinguished from a truncated one.
func ParseResponse(data []byte) (Response, error) {
	h, err := parseHead(data, ResponseHeadMax)
	if err != nil || h.size == 0 {
		return Response{}, err
	}
	version, rest, _ := bytes.Cut(h.startLine, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || status < 100 || status > 999 || !isVersion(version) {
		return Response{}, fmt.Errorf("%w: %.40q", ErrHead, h.startLine)
	}
	a := Response{Status: status, Close: h.connClose || string(version) == "HTTP/1.0" && !h.keepAlive}
	body := data[h.size:]
	switch {
	case status == 204 || status == 304:
		a.Size = h.size
	case h.chunked && len(body) > chunkedMax:
		return Response{}, ErrBodyTooLong
	case h.chunked:
		n, err := a.decodeChunked(body)
		if n == 0 || err != nil {
			return Response{}, err
		}
		a.Size = h.size + n
	case h.length > bodyMax || len(body) > bodyMax:
		return Response{}, ErrBodyTooLong
	case h.length < 0:
		return Response{}, ErrNoLength
	case len(body) < h.length:
		return Response{}, nil
	default:
		a.Body, a.Size = body[:h.length], h.size+h.length
	}
	return a, nil
}

// decodeChunked decodes a chunked body and returns its encoded size, or 0 while it is incomplete. The body is assembled only
// when it is complete, since a response that arrives in many pieces is parsed again with each of them.
func (a *Response) decodeChunked(data []byte) (int, error) {
	total := 0
	n, err := eachChunk(data, func(piece []byte) { total += len(piece) })
	if n == 0 || err != nil {
		return 0, err
	}
	a.Body = make([]byte, 0, total)
	return eachChunk(data, func(piece []byte) { a.Body = append(a.Body, piece...) })
}

// eachChunk calls take with each chunk of a body and returns the encoded size of the body with its trailers, or 0 while it
// is incomplete.
func eachChunk(data []byte, take func([]byte)) (int, error) {
	pos, total := 0, 0
	for {
		end := bytes.Index(data[pos:], []byte("\r\n"))
		if end < 0 {
			return 0, nil
		}
		digits, _, _ := bytes.Cut(data[pos:pos+end], []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return 0, ErrChunk
		}
		pos += end + 2
		if total += int(size); total > bodyMax {
			return 0, ErrBodyTooLong
		}
		if size == 0 {
			return trailersEnd(data, pos), nil
		}
		if len(data) < pos+int(size)+2 {
			return 0, nil
		}
		take(data[pos : pos+int(size)])
		if pos += int(size); !bytes.HasPrefix(data[pos:], []byte("\r\n")) {
			return 0, ErrChunk
		}
		pos += 2
	}
}

// trailersEnd returns the end of the trailers that begin at index pos, or 0 while they are incomplete. An empty line ends
// them.
func trailersEnd(data []byte, pos int) int {
	if bytes.HasPrefix(data[pos:], []byte("\r\n")) {
		return pos + 2
	}
	if end := bytes.Index(data[pos:], []byte("\r\n\r\n")); end >= 0 {
		return pos + end + 4
	}
	return 0
}
