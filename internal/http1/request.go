package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// RequestHeadMax is the maximum size of the head of a request, in bytes.
const RequestHeadMax = 4 << 10

// Request is the request of a client, without its body.
type Request struct {
	Method string
	Path   string // without the query, percent-decoded
	Size   int    // bytes of the head; 0: incomplete
}

// ParseRequest parses the head of a request at the start of data; its Size is 0 while it is incomplete. A body that follows
// is ignored.
func ParseRequest(data []byte) (Request, error) {
	h, err := parseHead(data, RequestHeadMax)
	if err != nil || h.size == 0 {
		return Request{}, err
	}
	words := bytes.Split(h.startLine, []byte(" "))
	if len(words) != 3 || !isMethod(words[0]) || !isVersion(words[2]) {
		return Request{}, fmt.Errorf("%w: %.40q", ErrHead, h.startLine)
	}
	path, _, _ := bytes.Cut(words[1], []byte("?"))
	text, ok := unescape(path)
	if !ok || len(text) == 0 || text[0] != '/' {
		return Request{}, fmt.Errorf("%w: %.40q", ErrHead, words[1])
	}
	return Request{Method: string(words[0]), Path: string(text), Size: h.size}, nil
}

func isMethod(word []byte) bool {
	return len(word) > 0 && !bytes.ContainsFunc(word, func(r rune) bool { return r < 'A' || r > 'Z' })
}

// unescape decodes the percent-encoding of a path. It returns false if that is malformed or the path has control
// characters.
func unescape(path []byte) ([]byte, bool) {
	var out []byte
	for i := 0; i < len(path); i++ {
		c := path[i]
		if c == '%' {
			if i+2 >= len(path) {
				return nil, false
			}
			n, err := strconv.ParseUint(string(path[i+1:i+3]), 16, 8)
			if err != nil {
				return nil, false
			}
			c = byte(n)
			i += 2
		}
		if c < ' ' || c == 0x7f {
			return nil, false
		}
		out = append(out, c)
	}
	return out, true
}

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}

// AppendResponse appends a response with a JSON body, after which the server closes the connection. A non-empty allow is the
// value of the Allow field, for a request whose method is not allowed.
func AppendResponse(to []byte, status int, allow string, body []byte) []byte {
	to = fmt.Appendf(to, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, reasonPhrases[status], len(body))
	if allow != "" {
		to = fmt.Appendf(to, "Allow: %s\r\n", allow)
	}
	return append(append(to, "\r\n"...), body...)
}
