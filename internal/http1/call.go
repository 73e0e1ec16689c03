package http1

import (
	"bytes"
	"fmt"
	"strconv"
)

// CallMax is how long the head of a call may be, in bytes.
const CallMax = 4 << 10

// Call is what a caller asks for.
type Call struct {
	Method string
	Path   string // without the query, percent signs resolved
	Size   int    // bytes of its head; 0: it is not complete
}

// ParseCall reads the head of a call at the start of data; its Size is 0 while it is not complete. A body that follows
// is no part of it.
func ParseCall(data []byte) (Call, error) {
	h, err := parseHead(data, CallMax)
	if err != nil || h.size == 0 {
		return Call{}, err
	}
	words := bytes.Split(h.first, []byte(" "))
	if len(words) != 3 || !isMethod(words[0]) || !isVersion(words[2]) {
		return Call{}, fmt.Errorf("%w: %.40q", ErrHead, h.first)
	}
	path, _, _ := bytes.Cut(words[1], []byte("?"))
	text, ok := resolve(path)
	if !ok || len(text) == 0 || text[0] != '/' {
		return Call{}, fmt.Errorf("%w: %.40q", ErrHead, words[1])
	}
	return Call{Method: string(words[0]), Path: string(text), Size: h.size}, nil
}

func isMethod(word []byte) bool {
	return len(word) > 0 && !bytes.ContainsFunc(word, func(r rune) bool { return r < 'A' || r > 'Z' })
}

// resolve puts characters in the place of percent signs and their two digits. Control characters are no part of a path.
func resolve(path []byte) ([]byte, bool) {
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

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}

// AppendAnswer appends an answer with a JSON body, after which the connection ends. allow names the methods that would
// do, where the one that came does not.
func AppendAnswer(to []byte, status int, allow string, body []byte) []byte {
	to = fmt.Appendf(to, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, reasons[status], len(body))
	if allow != "" {
		to = fmt.Appendf(to, "Allow: %s\r\n", allow)
	}
	return append(append(to, "\r\n"...), body...)
}
