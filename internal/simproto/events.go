package simproto

import (
	"time"

	"example.org/milletvane/balancer"
	"example.org/milletvane/internal/settings"
)

// Exclusive upper bounds of integers in events.
const (
	int31Limit  = 1 << 31 // for instances, attempts, result codes, topics and counts
	uint32Limit = 1 << 32 // for the IDs of requests and servers
	noLimit     = 0       // admits any int64
)

// Values of the topic field of an update_of line.
const (
	topicLoad         = 1
	topicMessageDelay = 2
)

// listFailedMode is the mode of an update line that reports a failed endpoint list request.
const listFailedMode = "Error"

// attemptResults maps the outcome codes of a result line to the balancer's results.
var attemptResults = map[int]balancer.Result{
	100: balancer.OK, 301: balancer.Errored, 302: balancer.Rejected, 303: balancer.TimedOut,
	304: balancer.ConnectFailed, 305: balancer.Reset, 306: balancer.Cancelled, 307: balancer.NotSent,
}

// eventFields holds the decoded fields of an event line of any kind. Fields that the line does not have are zero.
type eventFields struct {
	request  balancer.Request
	server   balancer.ServerID
	attempt  int
	elapsed  time.Duration
	outcome  int
	answered bool
	value    float64
	topic    int
	timerRef int64
	mode     string
	rows     int
}

// decodeEvent decodes the fields of a line whose kind is word. It returns false for kinds that the balancer does not
// handle.
func (r *Reader) decodeEvent(word []byte, f *fields) (Event, bool, error) {
	kind := r.intern(word)
	if kind == "create" {
		return r.decodeCreate(f)
	}
	ev := Event{Instance: -1}
	var decoded eventFields
	for f.next() {
		if string(f.key) == "relay" {
			ev.Instance = int(f.integer(int31Limit))
			continue
		}
		r.decodeField(f, &decoded)
	}
	if f.err != nil {
		return ev, false, r.errorf("%s: %w", kind, f.err)
	}
	known, err := r.buildEvent(kind, &decoded, &ev)
	if err == nil && known && ev.Instance < 0 {
		err = r.errorf("%s: relay is missing", kind)
	}
	return ev, known, err
}

// decodeCreate decodes the line that starts an instance. Settings are given as path=value pairs.
func (r *Reader) decodeCreate(f *fields) (Event, bool, error) {
	ev := Event{Instance: -1}
	pairs := settings.Pairs{}
	for f.next() {
		if string(f.key) == "relay" {
			ev.Instance = int(f.integer(int31Limit))
			continue
		}
		pairs[string(f.key)] = string(f.value)
	}
	if f.err != nil {
		return ev, false, r.errorf("create: %w", f.err)
	}
	if ev.Instance < 0 {
		return ev, false, r.errorf("create: relay is missing")
	}
	balancerSettings, err := pairs.Balancer()
	if err != nil {
		return ev, false, r.errorf("create: %w", err)
	}
	listRefresh, err := pairs.ListRefresh()
	if err != nil {
		return ev, false, r.errorf("create: %w", err)
	}
	ev.Start = &Start{Balancer: *balancerSettings, PollsList: pairs["discovery"] == "ask", ListRefresh: listRefresh}
	return ev, true, nil
}

// decodeField decodes the current field into decoded. It ignores unknown fields.
func (r *Reader) decodeField(f *fields, decoded *eventFields) {
	if r.decodeRequestField(f, &decoded.request) {
		return
	}
	switch string(f.key) {
	case "backend":
		decoded.server = balancer.ServerID(f.integer(uint32Limit))
	case "seq_no":
		decoded.attempt = int(f.integer(int31Limit))
	case "elapsed_ns":
		decoded.elapsed = f.duration()
	case "outcome":
		decoded.outcome = int(f.integer(int31Limit))
	case "settled":
		decoded.answered = f.boolean()
	case "value":
		decoded.value = f.float()
	case "topic":
		decoded.topic = int(f.integer(int31Limit))
	case "ref":
		decoded.timerRef = f.integer(noLimit)
	case "mode":
		decoded.mode = r.intern(f.value)
	case "rows_in":
		decoded.rows = int(f.integer(int31Limit))
	}
}

// decodeRequestField decodes the current field into request, and reports whether the field describes a request.
func (r *Reader) decodeRequestField(f *fields, request *balancer.Request) bool {
	switch string(f.key) {
	case "ticket":
		request.ID = balancer.RequestID(f.integer(uint32Limit))
	case "priority":
		request.Class = r.intern(f.value)
	case "customer":
		request.Tenant = r.intern(f.value)
	case "partition_key":
		request.Key = string(f.value)
	case "group":
		request.Group = r.intern(f.value)
	case "grace_ns":
		request.Timeout = f.duration()
	case "weight_hint_ns":
		request.Load = float64(f.duration()) / float64(time.Microsecond)
	case "returned":
		request.Reconnecting = f.boolean()
	case "stray":
		request.MidFlow = f.boolean()
	default:
		return false
	}
	return true
}

// buildEvent sets in ev the event of a kind with the decoded fields. It returns false for kinds and topics that the
// balancer does not handle, and an error for unknown kinds.
func (r *Reader) buildEvent(kind string, decoded *eventFields, ev *Event) (known bool, err error) {
	id := decoded.request.ID
	switch kind {
	case "destroy":
		ev.Stop = true
	case "update":
		return true, r.buildList(decoded, ev)
	case "new_request":
		ev.Balancer = decoded.request
	case "carried":
		ev.Balancer = balancer.AdoptedConnection{Request: decoded.request, Server: decoded.server}
	case "opened":
		ev.Balancer = balancer.AttemptEstablished{
			ID: id, Attempt: decoded.attempt, Server: decoded.server,
			Elapsed: decoded.elapsed,
		}
	case "update_of":
		return buildConnectionUpdate(decoded, ev), nil
	case "result":
		result, ok := attemptResults[decoded.outcome]
		if !ok {
			return false, r.errorf("result: unknown outcome %d", decoded.outcome)
		}
		ev.Balancer = balancer.AttemptEnded{
			ID: id, Attempt: decoded.attempt, Server: decoded.server, Result: result,
			Elapsed: decoded.elapsed, Answered: decoded.answered,
		}
	case "expired":
		ev.Balancer = balancer.ClientDisconnected{ID: id}
	case "timer":
		ev.Balancer = balancer.TimerFired{Ref: decoded.timerRef}
	case "checked", "message": // replies to actions that the balancer never takes
		return false, nil
	default:
		return false, r.errorf("unknown event %q", kind)
	}
	return true, nil
}

// buildConnectionUpdate sets in ev the event for a measured property of a connection: its load or its message delay. It
// returns false for unknown topics.
func buildConnectionUpdate(decoded *eventFields, ev *Event) (known bool) {
	switch decoded.topic {
	case topicLoad:
		ev.Balancer = balancer.LoadChanged{ID: decoded.request.ID, Load: decoded.value}
	case topicMessageDelay:
		delay := time.Duration(decoded.value * float64(time.Millisecond))
		ev.Balancer = balancer.MessageDelay{ID: decoded.request.ID, Server: decoded.server, Delay: delay}
	default:
		return false
	}
	return true
}
