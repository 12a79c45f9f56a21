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

// Cluster has instances recover together: who they are, and the disk that lasts. It is for installations where instances
// may talk to each other; a platform that has no disk, or lets no instance talk to another, leaves it out.
type Cluster struct {
	Listen      string            // IP:port for the other members, UDP and TCP
	Members     map[string]string // the others by name, with their IP:port
	KeyFile     string            // as the operator file names it
	Key         []byte            // 16, 24 or 32 bytes that all members share; nil from Parse, which reads no other file
	Dir         string            // on a disk that lasts
	PeerTimeout time.Duration     // for the others' answers, after a start
	// Tiers are of classes, the highest first; under overload the lowest are shed first. Classes in no tier are below all.
	Tiers            [][]string
	MinAdmittedRatio float64 // of the lowest tier, that is admitted whatever happens
}

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

func readMembers(s *section) map[string]string {
	members := map[string]string{}
	s.entries("member", func(e *entry) {
		name, address := e.text("its name"), e.text("its address")
		switch {
		case name == "" || address == "": // which e.text has reported
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

func readTiers(s *section, classes []string) (tiers [][]string) {
	named := map[string]bool{}
	s.entries("tier", func(e *entry) {
		var tier []string
		for e.more() && !e.failed {
			class := e.text("a class")
			if len(classes) > 0 && class != "" && !slices.Contains(classes, class) {
				e.fail(e.form.line, "%q is no class of the settings", class)
			}
			if named[class] {
				e.fail(e.form.line, "%q is named twice", class)
			}
			named[class] = true
			tier = append(tier, class)
		}
		if len(tier) == 0 {
			e.fail(e.form.line, "names no class")
		}
		tiers = append(tiers, tier)
	})
	return tiers
}

// isPeerAddress reports whether an address is IP:port, with a port that others can call.
func isPeerAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// Priorities are the tiers' priorities by class, from the lowest on, which is 0: that of classes that no tier names. count
// is how many there are; 0: no tiers are named.
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

// loadKey reads the key that all members share. Its errors are of type *KeyError.
func (c *Cluster) loadKey(operatorFile string) error {
	text, err := os.ReadFile(besideFile(operatorFile, c.KeyFile))
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

// KeyError says that the members' key can't be used. It implements operr.Error.
type KeyError struct {
	File   string // the operator file that names the key's
	Reason string
}

func (e *KeyError) Error() string { return e.Problem() + ": " + e.Reason }

// Problem is what failed.
func (e *KeyError) Problem() string { return e.File + ": cluster.key-file" }

// Retryable is false: the file has to be put right.
func (e *KeyError) Retryable() bool { return false }

// Remedy is what an operator can do.
func (e *KeyError) Remedy() string {
	return "put the key that all members share there, 16, 24 or 32 letters"
}
