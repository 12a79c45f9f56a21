// Package settings turns the platform's settings, given as path=value pairs, into the settings of the balancer, the
// endpoint list's refresh and the gateway. The simulator's protocol and the program's configuration use the same names
// and units, so both use this package.
package settings

import "fmt"

// Pairs holds settings by path, such as classes.0.name. An absent setting is read as zero; balancer.Settings documents what
// zero means. Reading does not change Pairs, so several goroutines may read at once.
type Pairs map[string]string

// null is the text of an absent value.
const null = "null"

// ValueError says that the value at a path is not valid there.
type ValueError struct {
	Path  string
	Value string
	Want  string // what it should be
}

func (e *ValueError) Error() string { return fmt.Sprintf("%s: %q is not %s", e.Path, e.Value, e.Want) }

// ParseBool parses a boolean of the platform's settings: 1, true, 0 or false. For any other text ok is false.
func ParseBool(s string) (v, ok bool) {
	switch s {
	case "1", "true":
		return true, true
	case "0", "false":
		return false, true
	}
	return false, false
}
