package operator

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cluster has instances recover together: who they are, and the disk that lasts. It is for installations where instances may
// talk; a platform without a disk or without talk leaves it out.
type Cluster struct {
	Listen           string            // IP:port for the other members, UDP and TCP
	Members          map[string]string // the others by name, with their IP:port
	KeyFile          string
	Key              []byte        // 16, 24 or 32 bytes that all members share
	Dir              string        // on a disk that lasts
	PeerTimeout      time.Duration // for the others, after a start
	Tiers            [][]string    // of classes, the highest first; under overload the lowest are shed first. Others are below all
	MinAdmittedRatio float64       // part of the lowest tier that is let in whatever happens
}

func readCluster(s *section, classes []string) *Cluster {
	c := &Cluster{Listen: s.text("listen", ""), Members: map[string]string{}, KeyFile: s.text("key-file", ""), Dir: s.text("dir", ""),
		PeerTimeout: s.duration("peers-within", 2*time.Second, 100*time.Millisecond, time.Minute)}
	for key, v := range map[string]string{"key-file": c.KeyFile, "dir": c.Dir} {
		if v == "" {
			s.fault(s.line, key, "is missing")
		}
	}
	if !ipPort(c.Listen) {
		s.fault(s.line, "listen", "%q is not IP:port", c.Listen)
	}
	s.each("member", func(e *entry) {
		name, addr := e.text("its name"), e.text("its address")
		switch {
		case name == "" || addr == "":
		case !ipPort(addr):
			e.fault(e.form.line, "%q is not IP:port", addr)
		case c.Members[name] != "":
			e.fault(e.form.line, "%q is given twice", name)
		default:
			c.Members[name] = addr
		}
	})
	named := map[string]bool{}
	s.each("tier", func(e *entry) {
		var tier []string
		for len(e.vals) > 0 && !e.bad {
			class := e.text("a class")
			if len(classes) > 0 && class != "" && !slices.Contains(classes, class) {
				e.fault(e.form.line, "%q is no class of the settings", class)
			}
			if named[class] {
				e.fault(e.form.line, "%q is named twice", class)
			}
			named[class] = true
			tier = append(tier, class)
		}
		if len(tier) == 0 {
			e.fault(e.form.line, "names no class")
		}
		c.Tiers = append(c.Tiers, tier)
	})
	c.MinAdmittedRatio = float64(s.integer("floor-percent", 0, 0, 100)) / 100
	if len(c.Members) == 0 {
		s.fault(s.line, "member", "is missing")
	}
	return c
}

func ipPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// Priorities are the tiers' numbers by class, from the lowest on, which is 0: that of classes that no tier names. n is how many
// there are; 0: no tiers are named.
func (c *Cluster) Priorities() (by map[string]int, n int) {
	if len(c.Tiers) == 0 {
		return nil, 0
	}
	by = map[string]int{}
	for i, tier := range c.Tiers {
		for _, class := range tier {
			by[class] = len(c.Tiers) - i
		}
	}
	return by, len(c.Tiers) + 1
}

// loadKey reads the key that all members share, from a file beside the operator file or named from the root.
func (c *Cluster) loadKey(operatorFile string) error {
	at := c.KeyFile
	if !filepath.IsAbs(at) {
		at = filepath.Join(filepath.Dir(operatorFile), at)
	}
	text, err := os.ReadFile(at)
	if err != nil {
		return &KeyError{operatorFile, err.Error()}
	}
	c.Key = []byte(strings.TrimSpace(string(text)))
	if n := len(c.Key); n != 16 && n != 24 && n != 32 {
		return &KeyError{operatorFile, "the key has " + strconv.Itoa(n) + " bytes, and 16, 24 or 32 are wanted"}
	}
	return nil
}

// KeyError says that the members' key can't be used.
type KeyError struct{ File, Reason string }

func (e *KeyError) Error() string   { return e.Problem() + ": " + e.Reason }
func (e *KeyError) Problem() string { return e.File + ": cluster.key-file" }
func (e *KeyError) Retryable() bool { return false }
func (e *KeyError) Remedy() string {
	return "put the key that all members share there, 16, 24 or 32 letters"
}
