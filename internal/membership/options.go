package membership

import "time"

// MaxBodyBytes is the length of the longest message, so that it fits a datagram with everything around it.
const MaxBodyBytes = 1100

const (
	defaultBytesPerSecond    = 64 << 10
	defaultMaxQueuedMessages = 64
)

// Options configure a transport.
type Options struct {
	Name        string
	Incarnation uint64
	// OnMessage is called for each message, one at a time, and must not wait. It owns the message.
	OnMessage func(Message)
	// BumpIncarnation is called when a peer knows a later incarnation of this instance than its own: the disk under its
	// name is older than what others saw. It returns the incarnation to continue with, which is durable by then. With nil
	// the instance keeps its own.
	BumpIncarnation func(above uint64) (uint64, error)
	// BytesPerSecond limits what is sent to one peer; 0: 64 KiB.
	BytesPerSecond int
	// MaxQueuedMessages limits the messages that wait for one peer; 0: 64.
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

// SendDuration is the time that a packet takes at a link's rate.
func (o Options) SendDuration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(o.BytesPerSecond) * float64(time.Second))
}
