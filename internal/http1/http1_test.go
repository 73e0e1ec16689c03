package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestResponsesAreParsedOnceComplete(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\ncontent-length: 5\r\nConnection: close\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	} {
		for i := range whole {
			a, err := ParseResponse([]byte(whole[:i]))
			require.NoError(t, err)
			require.Zero(t, a.Size, "%q is not complete", whole[:i])
		}
		a, err := ParseResponse([]byte(whole + "HTTP/1.1"))
		require.NoError(t, err)
		assert.Equal(t, Response{Status: 200, Body: []byte("hello"), Size: len(whole), Close: true}, a)
	}
	for _, broken := range []string{
		"HTTP/1.1 OK\r\n\r\n", "SMTP 200\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		_, err := ParseResponse([]byte(broken))
		assert.Error(t, err, broken)
	}
}

// The encoded size of a chunked body is limited, whichever part of the encoding goes on without end.
func TestEndlessChunkedBodyIsTooLong(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ first, piece string }{
		"chunks":     {"", "1\r\n \r\n"},
		"extensions": {"", "1;" + strings.Repeat("x", 1000) + "\r\n \r\n"},
		"a size":     {"1;", "x"},
		"trailers":   {"0\r\n", "X: y\r\n"},
	} {
		_, err := ParseResponse([]byte(head + c.first + strings.Repeat(c.piece, chunkedMax/len(c.piece)+1)))
		assert.ErrorIs(t, err, ErrBodyTooLong, name)
	}
}

// FuzzParseResponse checks that ParseResponse neither panics nor returns a size beyond its input; errors are fine.
func FuzzParseResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n{\"rev\":1,\"all\":true,\"targets\":[]}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := ParseResponse(data)
		if err == nil {
			require.LessOrEqual(t, a.Size, len(data))
		}
	})
}

func TestRequestsAreParsedOnceComplete(t *testing.T) {
	for whole, want := range map[string]Request{
		"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n":                              {Method: "GET", Path: "/v1/readyz"},
		"POST /v1/hosts/s%2d1/suspend?x=%zz HTTP/1.0\r\n\r\n":                     {Method: "POST", Path: "/v1/hosts/s-1/suspend"},
		"POST /a HTTP/1.1\r\nContent-Length: 2\r\ncontent-length:2\r\nX:\r\n\r\n": {Method: "POST", Path: "/a"},
	} {
		for i := range whole {
			c, err := ParseRequest([]byte(whole[:i]))
			require.NoError(t, err)
			require.Zero(t, c.Size, "%q is not complete", whole[:i])
		}
		c, err := ParseRequest([]byte(whole + "GET / HTTP/1.1"))
		require.NoError(t, err)
		want.Size = len(whole)
		assert.Equal(t, want, c)
	}
	for broken, want := range map[string]error{
		"GET /\r\n\r\n": ErrHead, "\r\n\r\n": ErrHead, "get / HTTP/1.1\r\n\r\n": ErrHead, "GET x HTTP/1.1\r\n\r\n": ErrHead,
		"GET /%2 HTTP/1.1\r\n\r\n": ErrHead, "GET /%00 HTTP/1.1\r\n\r\n": ErrHead, "GET / HTTP/2\r\n\r\n": ErrHead,
		"GET / HTTP/1.1\r\nno colon\r\n\r\n": ErrHead, "GET / HTTP/1.1\r\n: x\r\n\r\n": ErrHead,
		"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":         ErrHead,
		strings.Repeat("x", RequestHeadMax+1):                                      ErrHeadTooLong,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", RequestHeadMax) + "\r\n\r\n": ErrHeadTooLong,
	} {
		_, err := ParseRequest([]byte(broken))
		assert.ErrorIs(t, err, want, broken)
	}
}

// FuzzParseRequest checks that ParseRequest neither panics nor returns a size beyond its input, and that data after a
// complete request does not change the result; errors are fine.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /v1/hosts/s-1/suspend HTTP/1.1\r\nHost: x\r\n\r\n{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseRequest(data)
		if err != nil || c.Size == 0 {
			return
		}
		require.LessOrEqual(t, c.Size, len(data))
		require.True(t, strings.HasPrefix(c.Path, "/"))
		again, err := ParseRequest(data[:c.Size])
		require.NoError(t, err)
		require.Equal(t, c, again)
	})
}
