package rollout

import (
	"fmt"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	relativeAccuracy = 0.01    // of a set-up time in a histogram, as a part
	maxSketchBytes   = 1 << 15 // bytes of one histogram
	minSetUps        = 200     // before an edge is drawn
	slowQuantile     = 0.95    // the quantile at which it is drawn
)

// SetUps is a histogram of set-up times that can be merged: a DDSketch of seconds. The zero value is not usable.
type SetUps struct{ sketch *ddsketch.DDSketch }

// NewSetUps returns an empty histogram.
func NewSetUps() SetUps {
	s, err := ddsketch.NewDefaultDDSketch(relativeAccuracy)
	if err != nil {
		panic(err) // the accuracy is a constant that the library takes
	}
	return SetUps{s}
}

// Add counts a set-up time. Negative ones count as 0.
func (s SetUps) Add(d time.Duration) { _ = s.sketch.Add(max(0, d.Seconds())) } // only values beyond any Duration fail

// Bytes is the histogram as Counts.SetUp holds it.
func (s SetUps) Bytes() []byte {
	var b []byte
	s.sketch.Encode(&b, false)
	return b
}

func decodeSetUps(b []byte) (SetUps, error) {
	if len(b) > maxSketchBytes {
		return SetUps{}, fmt.Errorf("a histogram of %d bytes", len(b))
	}
	s, err := ddsketch.DecodeDDSketch(b, store.SparseStoreConstructor, nil)
	if err != nil {
		return SetUps{}, fmt.Errorf("histogram: %w", err)
	}
	return SetUps{s}, nil
}

// above counts all set-ups and those that took longer than the edge, in seconds.
func (s SetUps) countSlow(threshold float64) (all, slow float64) {
	s.sketch.ForEach(func(value, n float64) bool {
		all += n
		if value > threshold*(1+relativeAccuracy/2) { // between two bars, so that no rounding counts
			slow += n
		}
		return false
	})
	return all, slow
}
