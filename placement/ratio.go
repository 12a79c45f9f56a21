package placement

import "math/bits"

// Ratio is an exact fraction. The zero value has a denominator of zero; each field of type Ratio says what that means there.
type Ratio struct{ Num, Den int64 }

// of returns n multiplied by the ratio, rounded down. The denominator must not be zero.
func (r Ratio) of(n int64) int64 { return n/r.Den*r.Num + n%r.Den*r.Num/r.Den }

// less reports whether the ratio is less than another. It compares exactly and treats a denominator of zero as 1.
func (r Ratio) less(other Ratio) bool {
	high, low := bits.Mul64(uint64(r.Num), uint64(max(other.Den, 1)))
	otherHigh, otherLow := bits.Mul64(uint64(other.Num), uint64(max(r.Den, 1)))
	return high < otherHigh || high == otherHigh && low < otherLow
}

// reduced returns the ratio in lowest terms. For 0/0 it returns the zero value.
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
