// Package settings turns the platform's settings, given as path=value pairs, into the settings of the balancer, the
// endpoint list's refresh and the gateway. The simulator's protocol and the program's configuration use the same names
// and units, so both come through here.
package settings

import "fmt"

// Pairs are settings by path, such as classes.0.name. Absent ones give zero, whose meaning balancer.Settings states.
// Reading them changes nothing, so that several goroutines may do so.
type Pairs map[string]string

// null stands for a value that is not there.
const null = "null"

// ValueError says that a value is not what the platform's settings have at its path.
type ValueError struct {
	Path  string
	Value string
	Want  string // what it should be
}

func (e *ValueError) Error() string { return fmt.Sprintf("%s: %q is not %s", e.Path, e.Value, e.Want) }

// ParseBool reads the platform's boolean; ok is false for all else.
func ParseBool(s string) (v, ok bool) {
	switch s {
	case "1", "true":
		return true, true
	case "0", "false":
		return false, true
	}
	return false, false
}
