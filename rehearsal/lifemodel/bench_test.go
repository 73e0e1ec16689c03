package lifemodel

import (
	"testing"

	"lichenhitch/rehearsal/model"
)

// BenchmarkCheck measures the speed of the checker on this model.
func BenchmarkCheck(b *testing.B) {
	for range b.N {
		m, err := New(3, 1, 4, "")
		if err != nil {
			b.Fatal(err)
		}
		res, err := model.Check[State](m, model.Options{NoLiveness: true})
		if err != nil || !res.Complete {
			b.Fatal(err, res.StopReason)
		}
		b.ReportMetric(res.Rate(), "states/s")
	}
}
