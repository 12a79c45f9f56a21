package placement

import "math/bits"

// Ratio is an exact fraction. The zero value is no fraction at all; the fields that hold one say what it means there.
type Ratio struct{ Num, Den int64 }

// of returns the ratio of n, rounded down.
func (r Ratio) of(n int64) int64 { return n/r.Den*r.Num + n%r.Den*r.Num/r.Den }

// less compares ratios exactly. A denominator of 0 counts as 1.
func (r Ratio) less(other Ratio) bool {
	high, low := bits.Mul64(uint64(r.Num), uint64(max(other.Den, 1)))
	otherHigh, otherLow := bits.Mul64(uint64(other.Num), uint64(max(r.Den, 1)))
	return high < otherHigh || high == otherHigh && low < otherLow
}

// reduced returns the ratio in lowest terms.
func (r Ratio) reduced() Ratio {
	divisor, rest := r.Num, r.Den
	for rest != 0 {
		divisor, rest = rest, divisor%rest
	}
	if divisor == 0 {
		return Ratio{}
	}
	return Ratio{r.Num / divisor, r.Den / divisor}
}
