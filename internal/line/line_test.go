package line

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/balance"
)

func TestOpenIsPassedOnUnchangedExceptForD(t *testing.T) {
	const text = "OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,h=12.5,r=1,again=1,mid=1,at=s-1,x9=new"
	o, err := ParseOpen([]byte(text))
	require.NoError(t, err)
	assert.Equal(t, "9b1f 7f3a chat acme 5c0f", strings.Join([]string{o.ID, o.Key, o.Class, o.Tenant, o.Group}, " "))
	assert.Equal(t, balance.ServerID("s-1"), o.At)
	assert.Equal(t, 2*time.Second, o.Wait)
	assert.Equal(t, 12.5, o.Load)
	assert.True(t, o.Retry && o.Returning && o.MidFlow)
	assert.Equal(t, strings.Replace(text, "d=2000", "d=1234", 1)+"\r\n", string(o.Append(nil, 1234*time.Millisecond)))

	o, err = ParseOpen([]byte("OPEN 1 2 c=chat,dd=7"))
	require.NoError(t, err)
	assert.Equal(t, "OPEN 1 2 c=chat,dd=7\r\n", string(o.Append(nil, time.Second)), "no time is added to a line without d")
}

func TestNextAndComplete(t *testing.T) {
	text, n, err := Next([]byte("UP r1\r\nM"))
	require.NoError(t, err)
	assert.Equal(t, "UP r1", string(text))
	assert.Equal(t, 7, n)
	_, n, err = Next([]byte("UP r"))
	assert.True(t, n == 0 && err == nil, "an incomplete line is not an error")
	_, _, err = Next(bytes.Repeat([]byte("x"), Max))
	assert.ErrorIs(t, err, ErrTooLong)
	_, _, err = Next([]byte("UP\n"))
	assert.ErrorIs(t, err, ErrMalformed)
	n, err = Complete([]byte("a\r\nb\r\nc"))
	assert.True(t, n == 6 && err == nil)
	n, err = Complete(append([]byte("a\r\n"), bytes.Repeat([]byte("x"), Max)...))
	assert.Equal(t, 3, n)
	assert.ErrorIs(t, err, ErrTooLong)
}

func TestReportsAndAnswers(t *testing.T) {
	assert.Equal(t, balance.Report{Known: balance.HasServed | balance.HasLatency | balance.HasRatio,
		Served: 2, Latency: 5.5, Ratio: 0.25}, ParseReport([]byte("qps=2,latency_ms=5.5,new=1,x0=0.25")))
	assert.Equal(t, balance.Report{}, ParseReport([]byte("x0=0.25,qps=NaN")))
	assert.Equal(t, balance.Report{}, ParseReport(nil))
	assert.Equal(t, "BUSY\r\n", string(AppendBusy(nil, 0)))
	assert.Equal(t, "BUSY 2\r\n", string(AppendBusy(nil, 1500*time.Microsecond)))
}

// FuzzOpen checks that a parsed line is passed on as one line with only the value of d changed. Otherwise a host would
// receive something that no client sent.
func FuzzOpen(f *testing.F) {
	f.Add([]byte("OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f\r\n"))
	f.Add([]byte("OPEN 1 2 d=5,c=x,d=7\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text, n, err := Next(data)
		ParseReport(data)
		if err != nil || n == 0 {
			return
		}
		o, err := ParseOpen(text)
		if err != nil {
			return
		}
		sent := o.Append(nil, 1234*time.Millisecond)
		require.Equal(t, 1, bytes.Count(sent, []byte("\n")))
		if o.waitEnd == 0 {
			require.Equal(t, string(text)+"\r\n", string(sent))
			return
		}
		want := string(text[:o.waitStart]) + "1234" + string(text[o.waitEnd:]) + "\r\n"
		require.Equal(t, want, string(sent))
	})
}
