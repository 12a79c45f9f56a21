// Package simproto reads the simulator's batches of events and prints the actions that answer them. It
// knows the wire's names, so that the rules need not; it decides nothing.
package simproto

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/discovery/refresh"
	"example.org/milletvane/internal/settings"
)

// Event is one line of a batch for one instance. Exactly one of Start, Stop, Unlisted and Rules is set.
type Event struct {
	Instance   int
	Start      *Start
	Stop       bool
	ListFailed bool // a call for the list failed, or the watch broke
	Balancer   balancer.Event
}

// Start is what a new instance goes by.
type Start struct {
	Balancer    balancer.Settings
	PollsList   bool // the list has to be asked for; else changes come by themselves
	ListRefresh refresh.Settings
}

// Batch is what happened at one time.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	long  []byte
	names map[string]string // class, tenant, zone and group names, so that each is kept once
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), names: map[string]string{}}
}

// maxNames bounds the names that are kept; more are simply not shared.
const maxNames = 1 << 14

func (r *Reader) name(b []byte) string {
	if s, ok := r.names[string(b)]; ok {
		return s
	}
	s := string(b)
	if len(r.names) < maxNames {
		r.names[s] = s
	}
	return s
}

// next returns the next line, valid until the following call.
func (r *Reader) next() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], b...)
		for errors.Is(err, bufio.ErrBufferFull) {
			b, err = r.in.ReadSlice('\n')
			r.long = append(r.long, b...)
		}
		b = r.long
	}
	if err != nil && (len(b) == 0 || !errors.Is(err, io.EOF)) {
		return nil, err
	}
	r.line++
	return bytes.TrimRight(b, "\r\n"), nil
}

// Read reads the next batch into b. It returns io.EOF where the input ends between batches; any other
// error names the line and what was wrong with it.
func (r *Reader) Read(b *Batch) error {
	b.Events = b.Events[:0]
	line, err := r.skipBlank()
	if err != nil {
		return err
	}
	f := fields{rest: line}
	if word := f.word(); string(word) != "mark" {
		return r.errorf("expected mark, found %q", word)
	}
	for f.next() {
		if string(f.key) == "t_ns" {
			b.Now = f.duration()
		}
	}
	if f.err != nil {
		return r.errorf("mark: %v", f.err)
	}
	for {
		line, err := r.skipBlank()
		if errors.Is(err, io.EOF) {
			return r.errorf("input ends inside a batch")
		}
		if err != nil {
			return err
		}
		f := fields{rest: line}
		word := f.word()
		if string(word) == "over_to_you" {
			return nil
		}
		ev, known, err := r.event(word, &f)
		if err != nil {
			return err
		}
		if known {
			b.Events = append(b.Events, ev)
		}
	}
}

func (r *Reader) skipBlank() ([]byte, error) {
	for {
		line, err := r.next()
		if err != nil || len(line) > 0 {
			return line, err
		}
	}
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

// create reads the line that starts an instance. Its settings are path=value pairs.
func (r *Reader) create(f *fields) (Event, bool, error) {
	ev := Event{Instance: -1}
	p := settings.Pairs{}
	for f.next() {
		if string(f.key) == "relay" {
			ev.Instance = int(f.integer(1 << 31))
			continue
		}
		p[string(f.key)] = string(f.value)
	}
	if f.err != nil {
		return ev, false, r.errorf("create: %v", f.err)
	}
	if ev.Instance < 0 {
		return ev, false, r.errorf("create: relay is missing")
	}
	set, err := p.Balancer()
	if err != nil {
		return ev, false, r.errorf("create: %v", err)
	}
	list, err := p.ListRefresh()
	if err != nil {
		return ev, false, r.errorf("create: %v", err)
	}
	ev.Start = &Start{Balancer: *set, PollsList: p["discovery"] == "ask", ListRefresh: list}
	return ev, true, nil
}

// record gathers the fields that events share.
type record struct {
	req     balancer.Request
	server  balancer.ServerID
	attempt int
	elapsed time.Duration
	outcome int
	settled bool
	value   float64
	topic   int
	ref     int64
	mode    string
	rows    int
}

func (r *Reader) event(word []byte, f *fields) (Event, bool, error) {
	var (
		ev  = Event{Instance: -1}
		rec record
	)
	kind := r.name(word)
	if kind == "create" {
		return r.create(f)
	}
	for f.next() {
		if string(f.key) == "relay" {
			ev.Instance = int(f.integer(1 << 31))
			continue
		}
		r.field(f, &rec)
	}
	if f.err != nil {
		return ev, false, r.errorf("%s: %v", kind, f.err)
	}
	known, err := r.build(kind, &rec, &ev)
	if err == nil && known && ev.Instance < 0 {
		err = r.errorf("%s: relay is missing", kind)
	}
	return ev, known, err
}

func (r *Reader) field(f *fields, rec *record) {
	switch string(f.key) {
	case "ticket":
		rec.req.ID = balancer.RequestID(f.integer(1 << 32))
	case "backend":
		rec.server = balancer.ServerID(f.integer(1 << 32))
	case "priority":
		rec.req.Class = r.name(f.value)
	case "customer":
		rec.req.Tenant = r.name(f.value)
	case "partition_key":
		rec.req.Key = string(f.value)
	case "group":
		rec.req.Group = r.name(f.value)
	case "grace_ns":
		rec.req.Timeout = f.duration()
	case "weight_hint_ns":
		rec.req.Load = float64(f.duration()) / float64(time.Microsecond)
	case "returned":
		rec.req.Reconnecting = f.boolean()
	case "stray":
		rec.req.MidFlow = f.boolean()
	case "seq_no":
		rec.attempt = int(f.integer(1 << 31))
	case "elapsed_ns":
		rec.elapsed = f.duration()
	case "outcome":
		rec.outcome = int(f.integer(1 << 31))
	case "settled":
		rec.settled = f.boolean()
	case "value":
		rec.value = f.float()
	case "topic":
		rec.topic = int(f.integer(1 << 31))
	case "ref":
		rec.ref = f.integer(0)
	case "mode":
		rec.mode = r.name(f.value)
	case "rows_in":
		rec.rows = int(f.integer(1 << 31))
	}
}

var results = map[int]balancer.Result{
	100: balancer.OK, 301: balancer.Errored, 302: balancer.Rejected, 303: balancer.TimedOut,
	304: balancer.ConnectFailed, 305: balancer.Reset, 306: balancer.Cancelled, 307: balancer.NotSent,
}

var modes = map[string]balancer.ListMode{
	"Partial": balancer.ListDelta, "Complete": balancer.ListComplete, "Persisted": balancer.ListCached,
}

func (r *Reader) build(kind string, rec *record, ev *Event) (known bool, err error) {
	id := rec.req.ID
	switch kind {
	case "destroy":
		ev.Stop = true
	case "update":
		if rec.mode == "Error" {
			ev.ListFailed = true
			return true, nil
		}
		mode, ok := modes[rec.mode]
		if !ok {
			return false, r.errorf("update: unknown mode %q", rec.mode)
		}
		servers, err := r.servers(rec.rows)
		if err != nil {
			return false, err
		}
		ev.Balancer = balancer.EndpointList{Mode: mode, Servers: servers}
	case "new_request":
		ev.Balancer = rec.req
	case "carried":
		ev.Balancer = balancer.AdoptedConnection{Request: rec.req, Server: rec.server}
	case "opened":
		ev.Balancer = balancer.AttemptEstablished{ID: id, Attempt: rec.attempt, Server: rec.server, Elapsed: rec.elapsed}
	case "update_of":
		switch rec.topic {
		case 1:
			ev.Balancer = balancer.LoadChanged{ID: id, Load: rec.value}
		case 2:
			delay := time.Duration(rec.value * float64(time.Millisecond))
			ev.Balancer = balancer.MessageDelay{ID: id, Server: rec.server, Delay: delay}
		default:
			return false, nil
		}
	case "result":
		result, ok := results[rec.outcome]
		if !ok {
			return false, r.errorf("result: unknown outcome %d", rec.outcome)
		}
		ev.Balancer = balancer.AttemptEnded{ID: id, Attempt: rec.attempt, Server: rec.server, Result: result,
			Elapsed: rec.elapsed, Answered: rec.settled}
	case "expired":
		ev.Balancer = balancer.ClientDisconnected{ID: id}
	case "timer":
		ev.Balancer = balancer.TimerFired{Ref: rec.ref}
	case "checked", "message": // answers to what the rules never ask or say
		return false, nil
	default:
		return false, r.errorf("unknown event %q", kind)
	}
	return true, nil
}

var states = map[string]balancer.ServerState{"IN": balancer.Ready, "LAME": balancer.Draining, "OUT": balancer.Removed}

// servers reads the n list entries that follow an update line.
func (r *Reader) servers(n int) ([]balancer.Server, error) {
	var list []balancer.Server
	for range n {
		line, err := r.next()
		if err != nil {
			return nil, r.errorf("update: %d entries announced, input ends after %d", n, len(list))
		}
		f := fields{rest: line}
		if word := f.word(); string(word) != "row" {
			return nil, r.errorf("update: expected row, found %q", word)
		}
		s, seen := balancer.Server{}, false
		for f.next() {
			switch string(f.key) {
			case "backend":
				s.ID, seen = balancer.ServerID(f.integer(1<<32)), true
			case "rack_zone":
				s.Zone = r.name(f.value)
			case "cell":
				s.Cell = int(f.integer(0))
			case "mode":
				state, ok := states[string(f.value)]
				if !ok {
					return nil, r.errorf("row: unknown mode %q", f.value)
				}
				s.State = state
			case "capacity_hint":
				s.Capacity = f.float()
			case "up_since_ns":
				s.Started = f.duration()
			}
		}
		if f.err != nil || !seen {
			return nil, r.errorf("row: %v", cmp.Or(f.err, errors.New("backend is missing")))
		}
		list = append(list, s)
	}
	return list, nil
}

// fields walks the name=value pairs of a line.
type fields struct {
	rest, key, value []byte
	err              error
}

func (f *fields) word() []byte {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	return word
}

func (f *fields) next() bool {
	for f.err == nil && len(f.rest) > 0 {
		part := f.word()
		if len(part) == 0 {
			continue
		}
		eq := bytes.IndexByte(part, '=')
		if eq <= 0 {
			f.err = fmt.Errorf("%q is not name=value", part)
			return false
		}
		f.key, f.value = part[:eq], part[eq+1:]
		return true
	}
	return false
}

func (f *fields) fail(want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %q is not %s", f.key, f.value, want)
	}
}

// integer reads a whole number below limit; limit 0 means any int64.
func (f *fields) integer(limit int64) int64 {
	n, err := strconv.ParseInt(string(f.value), 10, 64)
	if err != nil || limit > 0 && (n < 0 || n >= limit) {
		f.fail("a whole number in range")
		return 0
	}
	return n
}

func (f *fields) duration() time.Duration {
	n := f.integer(0)
	if n < 0 {
		f.fail("a time")
	}
	return time.Duration(n)
}

func (f *fields) float() float64 {
	v, err := strconv.ParseFloat(string(f.value), 64)
	if err != nil || v < 0 || v > 1e15 || v != v {
		f.fail("a number in range")
		return 0
	}
	return v
}

func (f *fields) boolean() bool {
	v, ok := settings.ParseBool(string(f.value))
	if !ok {
		f.fail("a bool")
	}
	return v
}

// AppendAction appends the wire's line for an action of an instance.
func AppendAction(b []byte, instance int, a balancer.Action) []byte {
	head := func(word string) {
		b = append(b, word...)
		b = strconv.AppendInt(append(b, " relay="...), int64(instance), 10)
	}
	pair := func(name string, v int64) {
		b = append(append(append(b, ' '), name...), '=')
		b = strconv.AppendInt(b, v, 10)
	}
	switch a := a.(type) {
	case balancer.Send:
		head("hand_off")
		pair("ticket", int64(a.ID))
		pair("backend", int64(a.Server))
		pair("limit_ns", int64(a.Timeout))
	case balancer.Reject:
		head("shed")
		pair("ticket", int64(a.ID))
		pair("backoff_ns", int64(a.RetryAfter))
	case balancer.Fail:
		head("respond_error")
		pair("ticket", int64(a.ID))
	case balancer.Migrate:
		head("rebalance")
		pair("ticket", int64(a.ID))
	case balancer.SetTimer:
		head("wake_at")
		pair("sleep_for_ns", int64(a.After))
		pair("ref", a.Ref)
	case balancer.Log:
		head("emit")
		b = append(append(b, " message="...), oneLine(a.String())...)
	}
	return append(b, '\n')
}

// AppendWatch appends the line that asks for all changes of an instance's list from now on.
func AppendWatch(b []byte, instance int) []byte {
	b = strconv.AppendInt(append(b, "observe relay="...), int64(instance), 10)
	return append(b, " want=1\n"...)
}

// AppendBroken appends the line that ends an instance with a reason.
func AppendBroken(b []byte, instance int, reason string) []byte {
	b = strconv.AppendInt(append(b, "broken relay="...), int64(instance), 10)
	return append(append(append(b, " message="...), oneLine(reason)...), '\n')
}

// AppendYield appends the line that ends a reply.
func AppendYield(b []byte) []byte { return append(b, "yield\n"...) }

func oneLine(s string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(s) }
