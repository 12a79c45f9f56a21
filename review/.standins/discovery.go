package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of discovery's list, in the form of the protocol page.
type member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type memberList struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []member `json:"servers"`
}

const firstVersion = 1

// discovery serves GET /catalog/members, whole or as a watch.
type discovery struct {
	rec  *recorder
	addr string

	mu      sync.Mutex
	version int
	members []member
	changed map[string]int // version of the last change of a member
	notify  chan struct{}  // closed and replaced at each change
	delay   time.Duration  // of each answer
}

func startDiscovery(rec *recorder, members []member) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &discovery{
		rec: rec, addr: l.Addr().String(), version: firstVersion, members: members,
		changed: map[string]int{}, notify: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(d.serve)) }()
	return d
}

func (d *discovery) list() memberList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return memberList{Version: d.version, Full: true, Servers: append([]member(nil), d.members...)}
}

// setState changes the state of a member.
func (d *discovery) setState(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].ID == id {
			d.version++
			d.members[i].State = state
			d.changed[id] = d.version
		}
	}
	close(d.notify)
	d.notify = make(chan struct{})
	d.rec.logf("discovery: version %d, %s is %s", d.version, id, state)
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	time.Sleep(delay)
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < firstVersion { // the changes up to the first version are not kept
		d.answer(w, d.list())
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		d.mu.Lock()
		version, notify := d.version, d.notify
		d.mu.Unlock()
		if version > after {
			break
		}
		select {
		case <-notify:
			continue
		case <-timeout:
		case <-r.Context().Done():
			return
		}
		break
	}
	d.mu.Lock()
	l := memberList{Version: d.version, Servers: []member{}}
	for _, m := range d.members {
		if d.changed[m.ID] > after {
			l.Servers = append(l.Servers, m)
		}
	}
	d.mu.Unlock()
	d.answer(w, l)
}

func (d *discovery) answer(w http.ResponseWriter, l memberList) {
	body, err := json.Marshal(l)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
	if len(l.Servers) > 0 {
		d.rec.logf("discovery: version %d written, full=%t", l.Version, l.Full)
	}
}
