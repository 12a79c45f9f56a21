package simproto

import (
	"strconv"
	"strings"

	"example.org/milletvane/balancer"
)

// AppendAction appends the line that encodes an action of an instance, and returns the extended slice.
func AppendAction(b []byte, instance int, action balancer.Action) []byte {
	switch a := action.(type) {
	case balancer.Send:
		b = appendKind(b, "hand_off", instance)
		b = appendPair(b, "ticket", int64(a.ID))
		b = appendPair(b, "backend", int64(a.Server))
		b = appendPair(b, "limit_ns", int64(a.Timeout))
	case balancer.Reject:
		b = appendKind(b, "shed", instance)
		b = appendPair(b, "ticket", int64(a.ID))
		b = appendPair(b, "backoff_ns", int64(a.RetryAfter))
	case balancer.Fail:
		b = appendKind(b, "respond_error", instance)
		b = appendPair(b, "ticket", int64(a.ID))
	case balancer.Migrate:
		b = appendKind(b, "rebalance", instance)
		b = appendPair(b, "ticket", int64(a.ID))
	case balancer.SetTimer:
		b = appendKind(b, "wake_at", instance)
		b = appendPair(b, "sleep_for_ns", int64(a.After))
		b = appendPair(b, "ref", a.Ref)
	case balancer.Log:
		b = appendKind(b, "emit", instance)
		b = appendMessage(b, a.String())
	}
	return append(b, '\n')
}

// AppendWatch appends the line that subscribes an instance to all further changes of its endpoint list.
func AppendWatch(b []byte, instance int) []byte {
	b = appendKind(b, "observe", instance)
	b = appendPair(b, "want", 1)
	return append(b, '\n')
}

// AppendBroken appends the line that reports an instance as failed, with the reason. The instance ends.
func AppendBroken(b []byte, instance int, reason string) []byte {
	b = appendKind(b, "broken", instance)
	b = appendMessage(b, reason)
	return append(b, '\n')
}

// AppendYield appends the line that ends the reply to a batch.
func AppendYield(b []byte) []byte { return append(b, "yield\n"...) }

// appendKind appends the start of a line: its kind and the instance that it concerns.
func appendKind(b []byte, kind string, instance int) []byte {
	return appendPair(append(b, kind...), "relay", int64(instance))
}

// appendPair appends a field as " name=value".
func appendPair(b []byte, name string, value int64) []byte {
	b = append(b, ' ')
	b = append(b, name...)
	b = append(b, '=')
	return strconv.AppendInt(b, value, 10)
}

var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// appendMessage appends the message field, which extends to the end of the line. It replaces line breaks by spaces.
func appendMessage(b []byte, message string) []byte {
	b = append(b, " message="...)
	return append(b, lineBreaks.Replace(message)...)
}
