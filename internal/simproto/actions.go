package simproto

import (
	"strconv"
	"strings"

	"example.org/milletvane/balancer"
)

// AppendAction appends the line for an action of an instance.
func AppendAction(b []byte, instance int, action balancer.Action) []byte {
	switch a := action.(type) {
	case balancer.Send:
		b = appendHead(b, "hand_off", instance)
		b = appendPair(b, "ticket", int64(a.ID))
		b = appendPair(b, "backend", int64(a.Server))
		b = appendPair(b, "limit_ns", int64(a.Timeout))
	case balancer.Reject:
		b = appendHead(b, "shed", instance)
		b = appendPair(b, "ticket", int64(a.ID))
		b = appendPair(b, "backoff_ns", int64(a.RetryAfter))
	case balancer.Fail:
		b = appendHead(b, "respond_error", instance)
		b = appendPair(b, "ticket", int64(a.ID))
	case balancer.Migrate:
		b = appendHead(b, "rebalance", instance)
		b = appendPair(b, "ticket", int64(a.ID))
	case balancer.SetTimer:
		b = appendHead(b, "wake_at", instance)
		b = appendPair(b, "sleep_for_ns", int64(a.After))
		b = appendPair(b, "ref", a.Ref)
	case balancer.Log:
		b = appendHead(b, "emit", instance)
		b = appendMessage(b, a.String())
	}
	return append(b, '\n')
}

// AppendWatch appends the line that requests all changes of an instance's endpoint list from now on.
func AppendWatch(b []byte, instance int) []byte {
	b = appendHead(b, "observe", instance)
	b = appendPair(b, "want", 1)
	return append(b, '\n')
}

// AppendBroken appends the line that ends an instance with a reason.
func AppendBroken(b []byte, instance int, reason string) []byte {
	b = appendHead(b, "broken", instance)
	b = appendMessage(b, reason)
	return append(b, '\n')
}

// AppendYield appends the line that ends the answer to a batch.
func AppendYield(b []byte) []byte { return append(b, "yield\n"...) }

func appendHead(b []byte, kind string, instance int) []byte {
	return appendPair(append(b, kind...), "relay", int64(instance))
}

func appendPair(b []byte, name string, value int64) []byte {
	b = append(b, ' ')
	b = append(b, name...)
	b = append(b, '=')
	return strconv.AppendInt(b, value, 10)
}

var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// appendMessage appends the last field of a line, with line breaks as spaces.
func appendMessage(b []byte, message string) []byte {
	b = append(b, " message="...)
	return append(b, lineBreaks.Replace(message)...)
}
