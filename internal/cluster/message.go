package cluster

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"example.org/milletvane/internal/discovery"
	"example.org/milletvane/internal/membership"
)

// Messages between instances are JSON, each within a datagram. A list goes in parts; asking again brings those that were lost.
type message struct {
	Kind    string               `json:"k"`
	Version int64                `json:"v,omitempty"`
	Hash    uint64               `json:"h,omitempty"`
	Part    int                  `json:"i,omitempty"`
	Parts   int                  `json:"n,omitempty"`
	AtMS    int64                `json:"at,omitempty"` // when the list was told, by the sender's clock
	UpMS    int64                `json:"up,omitempty"` // for how long the sender has served
	NowMS   int64                `json:"now,omitempty"`
	Servers []discovery.Endpoint `json:"s,omitempty"`
	Number  uint64               `json:"no,omitempty"` // of a digest, in the sender's life
	Share   float64              `json:"share,omitempty"`
	Asked   []float64            `json:"asked,omitempty"`
}

const (
	ask  = "ask"
	part = "part"
	tier = "tier"
	// partsMost bounds a list that is told: some 1,400 servers. Of a longer one peers tell the version alone.
	partsMost = 200
)

// hashOf is the same for two that hold the same list, whatever starts of servers they have seen.
func hashOf(servers []discovery.Endpoint) uint64 {
	list := slices.Clone(servers)
	slices.SortFunc(list, func(a, b discovery.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	h := xxhash.New()
	for _, s := range list {
		s.StartedMS = 0
		b, _ := json.Marshal(s) // of plain fields: it can't fail
		h.Write(b)
	}
	return h.Sum64()
}

// parts are the messages that tell a list.
func (m message) parts(servers []discovery.Endpoint) [][]byte {
	m.Kind, m.Servers = part, nil
	frame, _ := json.Marshal(m)
	room := membership.MaxBodyBytes - len(frame) - 64 // the numbers that are not set yet, and the list's brackets
	var groups [][]discovery.Endpoint
	size := room + 1
	for _, s := range servers {
		b, _ := json.Marshal(s)
		if len(b)+1 > room {
			continue // no datagram takes it
		}
		if size+len(b)+1 > room {
			groups, size = append(groups, nil), 0
		}
		size += len(b) + 1
		groups[len(groups)-1] = append(groups[len(groups)-1], s)
	}
	if len(groups) == 0 || len(groups) > partsMost {
		groups = [][]discovery.Endpoint{nil}
	}
	var all [][]byte
	for i, g := range groups {
		m.Part, m.Parts, m.Servers = i, len(groups), g
		b, _ := json.Marshal(m)
		all = append(all, b)
	}
	return all
}

// answer gathers the parts of one peer's list.
type answer struct {
	first message // of the parts that are here: what all share
	have  map[int][]discovery.Endpoint
}

// add takes a part, and reports whether the list is whole.
func (a *answer) add(m message) bool {
	if m.Parts <= 0 || m.Parts > partsMost || m.Part < 0 || m.Part >= m.Parts {
		return false
	}
	if a.have == nil || a.first.Version != m.Version || a.first.Hash != m.Hash || a.first.Parts != m.Parts {
		a.have = map[int][]discovery.Endpoint{}
	}
	a.first = m
	a.have[m.Part] = m.Servers
	return len(a.have) == m.Parts
}

func (a *answer) servers() (all []discovery.Endpoint) {
	for i := range a.first.Parts {
		all = append(all, a.have[i]...)
	}
	return all
}
