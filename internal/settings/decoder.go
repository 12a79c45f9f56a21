package settings

import (
	"strconv"
	"strings"
	"time"
)

const (
	maxItems  = 10_000 // maximum length of a list of objects
	maxNumber = 1e18   // maximum of a number that may have a fraction
)

// decoder reads values by their paths and keeps the first error. Absent values and those with an error are read as zero.
type decoder struct {
	pairs Pairs
	err   error
}

// fail records that a value is not what it should be, unless an earlier error is recorded.
func (d *decoder) fail(path, want string) {
	if d.err == nil {
		d.err = &ValueError{Path: path, Value: d.pairs[path], Want: want}
	}
}

// lookup returns a value; ok is false if it is absent, empty or null.
func (d *decoder) lookup(path string) (value string, ok bool) {
	value = d.pairs[path]
	return value, value != "" && value != null
}

// number reads a number from 0 to maxNumber, which may have a fraction.
func (d *decoder) number(path string) float64 {
	value, ok := d.lookup(path)
	if !ok {
		return 0
	}
	x, ok := parseNumber(value)
	if !ok {
		d.fail(path, "a number in range")
	}
	return x
}

// parseNumber parses a number from 0 to maxNumber.
func parseNumber(s string) (x float64, ok bool) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0 && x <= maxNumber) { // NaN passes neither comparison
		return 0, false
	}
	return x, true
}

// integer reads an integer of 0 or more.
func (d *decoder) integer(path string) int64 {
	value, ok := d.lookup(path)
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

// boolean reads a boolean in one of the forms that ParseBool knows.
func (d *decoder) boolean(path string) bool {
	value, ok := d.lookup(path)
	if !ok {
		return false
	}
	v, ok := ParseBool(value)
	if !ok {
		d.fail(path, "a bool")
	}
	return v
}

// listLen reads the length of a list of objects, at most maxItems.
func (d *decoder) listLen(path string) int {
	n := d.integer(path + ".count")
	if n > maxItems {
		d.fail(path+".count", "a count in range")
		return 0
	}
	return int(n)
}

// memberPath returns the path of a member of an object in a list.
func memberPath(list string, index int, member string) string {
	return list + "." + strconv.Itoa(index) + "." + member
}

// numbers reads a list of numbers, which are separated by commas. Null is read as 0.
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

// durations reads a list of numbers of nanoseconds. Fractions are cut off.
func (d *decoder) durations(path string) (list []time.Duration) {
	for _, x := range d.numbers(path) {
		list = append(list, time.Duration(x))
	}
	return list
}

// itemOrZero returns the item at an index of a list, or the zero value if the list is shorter.
func itemOrZero[T any](list []T, index int) (item T) {
	if index < len(list) {
		item = list[index]
	}
	return item
}
