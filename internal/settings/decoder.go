package settings

import (
	"strconv"
	"strings"
	"time"
)

const (
	maxItems  = 10_000 // of a list of settings
	maxNumber = 1e18   // of a number that may have a fraction
)

// decoder reads values and keeps the first error.
type decoder struct {
	pairs Pairs
	err   error
}

func (d *decoder) fail(path, want string) {
	if d.err == nil {
		d.err = &ValueError{Path: path, Value: d.pairs[path], Want: want}
	}
}

// given returns a value; ok is false where it is absent.
func (d *decoder) given(path string) (value string, ok bool) {
	value = d.pairs[path]
	return value, value != "" && value != null
}

func (d *decoder) number(path string) float64 {
	value, ok := d.given(path)
	if !ok {
		return 0
	}
	x, ok := parseNumber(value)
	if !ok {
		d.fail(path, "a number in range")
	}
	return x
}

// parseNumber reads a number from 0 to maxNumber.
func parseNumber(s string) (x float64, ok bool) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0 && x <= maxNumber) { // NaN is neither
		return 0, false
	}
	return x, true
}

func (d *decoder) integer(path string) int64 {
	value, ok := d.given(path)
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		d.fail(path, "a whole number")
		return 0
	}
	return n
}

// duration reads a whole number of nanoseconds.
func (d *decoder) duration(path string) time.Duration { return time.Duration(d.integer(path)) }

func (d *decoder) boolean(path string) bool {
	value, ok := d.given(path)
	if !ok {
		return false
	}
	v, ok := ParseBool(value)
	if !ok {
		d.fail(path, "a bool")
	}
	return v
}

// count is the length of a list of objects.
func (d *decoder) count(path string) int {
	n := d.integer(path + ".count")
	if n > maxItems {
		d.fail(path+".count", "a count in range")
		return 0
	}
	return int(n)
}

// item is the path of a member of an object in a list.
func item(list string, index int, member string) string {
	return list + "." + strconv.Itoa(index) + "." + member
}

// numbers reads a list of plain values; null ones are 0.
func (d *decoder) numbers(path string) (list []float64) {
	if d.pairs[path] == "" {
		return nil
	}
	for value := range strings.SplitSeq(d.pairs[path], ",") {
		if value == null {
			list = append(list, 0)
			continue
		}
		x, ok := parseNumber(value)
		if !ok {
			d.fail(path, "a list of numbers")
			return nil
		}
		list = append(list, x)
	}
	return list
}

// durations reads a list of numbers of nanoseconds.
func (d *decoder) durations(path string) (list []time.Duration) {
	for _, x := range d.numbers(path) {
		list = append(list, time.Duration(x))
	}
	return list
}

// at is the item of a list; the zero value where the list is shorter.
func at[T any](list []T, index int) (item T) {
	if index < len(list) {
		item = list[index]
	}
	return item
}
