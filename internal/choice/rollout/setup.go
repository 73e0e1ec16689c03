package rollout

import (
	"fmt"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	relativeAccuracy = 0.01    // relative error of a set-up time in a histogram
	maxSketchBytes   = 1 << 15 // bytes of one histogram
	minSetUps        = 200     // set-ups needed to compute a slow threshold
	slowQuantile     = 0.95    // quantile used as the slow threshold
)

// SetUps is a mergeable histogram of set-up times: a DDSketch of seconds. The zero value is not usable.
type SetUps struct{ sketch *ddsketch.DDSketch }

// NewSetUps returns an empty histogram.
func NewSetUps() SetUps {
	s, err := ddsketch.NewDefaultDDSketch(relativeAccuracy)
	if err != nil {
		panic(err) // unreachable: the library accepts this constant accuracy
	}
	return SetUps{s}
}

// Add counts a set-up time. Negative times count as 0.
func (s SetUps) Add(d time.Duration) { _ = s.sketch.Add(max(0, d.Seconds())) } // fails only for values beyond any Duration

// Bytes returns the encoding that Counts.SetUp holds.
func (s SetUps) Bytes() []byte {
	var b []byte
	s.sketch.Encode(&b, false)
	return b
}

func decodeSetUps(b []byte) (SetUps, error) {
	if len(b) > maxSketchBytes {
		return SetUps{}, fmt.Errorf("histogram of %d bytes is too long", len(b))
	}
	s, err := ddsketch.DecodeDDSketch(b, store.SparseStoreConstructor, nil)
	if err != nil {
		return SetUps{}, fmt.Errorf("histogram: %w", err)
	}
	return SetUps{s}, nil
}

// countSlow returns the number of all set-ups and of those that took longer than the threshold, in seconds.
func (s SetUps) countSlow(threshold float64) (all, slow float64) {
	s.sketch.ForEach(func(value, n float64) bool {
		all += n
		if value > threshold*(1+relativeAccuracy/2) { // halfway between two bins, so that rounding has no effect
			slow += n
		}
		return false
	})
	return all, slow
}
