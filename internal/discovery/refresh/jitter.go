package refresh

import "time"

// jitter is a splitmix64 pseudo-random generator. Equal seeds give equal sequences of delays.
type jitter struct{ state uint64 }

// below returns the next random duration in [0, limit).
func (j *jitter) below(limit time.Duration) time.Duration {
	return time.Duration(j.fraction() * float64(limit))
}

// fraction returns the next random number in [0, 1).
func (j *jitter) fraction() float64 {
	j.state += 0x9e3779b97f4a7c15
	z := j.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
