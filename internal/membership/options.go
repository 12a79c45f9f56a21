package membership

import "time"

// MaxPayloadBytes is the maximum length of a message's payload in bytes. A packet with such a payload, with all headers, fits in
// one datagram.
const MaxPayloadBytes = 1100

const (
	defaultBytesPerSecond    = 64 << 10
	defaultMaxQueuedMessages = 64
)

// Options configures a transport.
type Options struct {
	Name        string
	Incarnation uint64
	// OnMessage is called for each accepted message, one at a time, and must not block. It may keep and change the message.
	OnMessage func(Message)
	// BumpIncarnation is called when a peer knows a later incarnation of this instance than the current one, that is, when
	// the disk holds an older incarnation than the peers have seen. It returns the new incarnation, which must be higher than
	// above and already durable. If it is nil, the instance keeps its incarnation.
	BumpIncarnation func(above uint64) (uint64, error)
	// BytesPerSecond limits the rate at which packets are sent to one peer. Defaults to 64 KiB per second.
	BytesPerSecond int
	// MaxQueuedMessages limits the number of messages that wait to be sent to one peer. Defaults to 64.
	MaxQueuedMessages int
}

func (o Options) withDefaults() Options {
	if o.BytesPerSecond <= 0 {
		o.BytesPerSecond = defaultBytesPerSecond
	}
	if o.MaxQueuedMessages <= 0 {
		o.MaxQueuedMessages = defaultMaxQueuedMessages
	}
	return o
}

// SendDuration returns how long sending a packet takes at the rate BytesPerSecond.
func (o Options) SendDuration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(o.BytesPerSecond) * float64(time.Second))
}
