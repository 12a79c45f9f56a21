package operator

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cluster lets instances recover together: it holds their addresses and the directory for what they store. It is for
// installations where instances may talk to each other. It is left out on a platform that has no persistent disk or does not
// let instances talk to each other.
type Cluster struct {
	Listen      string            // IP:port that the other members call, over UDP and TCP
	Members     map[string]string // IP:port of each other member, by name
	KeyFile     string            // the path as it stands in the operator file
	Key         []byte            // 16, 24 or 32 bytes that all members share; nil after Parse, which reads no other file
	Dir         string            // directory on a persistent disk for what the instance stores
	PeerTimeout time.Duration     // how long a start waits for the other members' answers
	// Tiers holds the classes of each tier, the highest tier first. Under overload the lowest tier is shed first. Classes that
	// are in no tier rank below all tiers.
	Tiers            [][]string
	MinAdmittedRatio float64 // the share of the lowest tier, 0 to 1, that is admitted under any overload
}

// readCluster reads the section cluster. Tiers may name only the given classes, unless none are given.
func readCluster(s *section, classes []string) *Cluster {
	c := &Cluster{
		Listen:      s.text("listen"),
		KeyFile:     s.text("key-file"),
		Dir:         s.text("dir"),
		PeerTimeout: s.duration("peers-within", 2*time.Second, 100*time.Millisecond, time.Minute),
	}
	if c.KeyFile == "" {
		s.fail(s.line, "key-file", "is missing")
	}
	if c.Dir == "" {
		s.fail(s.line, "dir", "is missing")
	}
	if !isPeerAddress(c.Listen) {
		s.fail(s.line, "listen", "%q is not IP:port", c.Listen)
	}
	c.Members = readMembers(s)
	c.Tiers = readTiers(s, classes)
	c.MinAdmittedRatio = float64(s.integer("floor-percent", 0, 0, 100)) / 100
	if len(c.Members) == 0 {
		s.fail(s.line, "member", "is missing")
	}
	return c
}

// readMembers reads the other members' addresses by name.
func readMembers(s *section) map[string]string {
	members := map[string]string{}
	s.entries("member", func(e *entry) {
		name, address := e.text("its name"), e.text("its address")
		switch {
		case name == "" || address == "": // e.text has reported it
		case !isPeerAddress(address):
			e.fail(e.form.line, "%q is not IP:port", address)
		case members[name] != "":
			e.fail(e.form.line, "%q is given twice", name)
		default:
			members[name] = address
		}
	})
	return members
}

// readTiers reads the classes of each tier, the highest tier first.
func readTiers(s *section, classes []string) (tiers [][]string) {
	assigned := map[string]bool{} // classes that a tier has named so far
	s.entries("tier", func(e *entry) {
		var tier []string
		for e.hasMore() && !e.failed {
			class := e.text("a class")
			if len(classes) > 0 && class != "" && !slices.Contains(classes, class) {
				e.fail(e.form.line, "%q is no class of the settings", class)
			}
			if assigned[class] {
				e.fail(e.form.line, "%q is named twice", class)
			}
			assigned[class] = true
			tier = append(tier, class)
		}
		if len(tier) == 0 {
			e.fail(e.form.line, "names no class")
		}
		tiers = append(tiers, tier)
	})
	return tiers
}

// isPeerAddress reports whether an address is IP:port with a port other than 0, so that other members can call it.
func isPeerAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// Priorities returns the priority of each class that a tier names, and the number of priorities. A higher number is a higher
// priority. Classes that no tier names have priority 0, the lowest. Without tiers byClass is nil and count is 0.
func (c *Cluster) Priorities() (byClass map[string]int, count int) {
	if len(c.Tiers) == 0 {
		return nil, 0
	}
	byClass = map[string]int{}
	for i, tier := range c.Tiers {
		for _, class := range tier {
			byClass[class] = len(c.Tiers) - i
		}
	}
	return byClass, len(c.Tiers) + 1
}

// loadKey reads the key that all members share. An error is a *KeyError.
func (c *Cluster) loadKey(operatorFile string) error {
	text, err := os.ReadFile(resolvePath(operatorFile, c.KeyFile))
	if err != nil {
		return &KeyError{File: operatorFile, Reason: err.Error()}
	}
	key := strings.TrimSpace(string(text))
	if n := len(key); n != 16 && n != 24 && n != 32 {
		return &KeyError{File: operatorFile, Reason: fmt.Sprintf("the key has %d bytes, and 16, 24 or 32 are wanted", n)}
	}
	c.Key = []byte(key)
	return nil
}

// KeyError says why the key that all members share can't be used. It implements operr.Error.
type KeyError struct {
	File   string // the operator file that names the key file
	Reason string
}

func (e *KeyError) Error() string { return e.Problem() + ": " + e.Reason }

// Problem returns the operator file and the key whose value can't be used.
func (e *KeyError) Problem() string { return e.File + ": cluster.key-file" }

// Retryable returns false: the key file has to be corrected first.
func (e *KeyError) Retryable() bool { return false }

// Remedy returns what an operator can do.
func (e *KeyError) Remedy() string {
	return "put the key that all members share there, 16, 24 or 32 letters"
}
