package refresh

import "time"

// Poll is one request for the endpoint list.
type Poll struct {
	Delay        time.Duration // before it is sent
	Complete     bool          // asks for the complete list instead of changes
	AfterVersion int64         // asks for changes after this version, unless Complete
	Wait         time.Duration // for which the peer may hold back its answer until there are changes; 0: it answers at once
	Timeout      time.Duration // from sending the request to the end of the answer; beyond it the outcome is TimedOut
	// StaleAt is when changes since the last received list count as notified, if no poll brings them. 0: none are known
	// to be missed.
	StaleAt time.Duration
}

// Event is the outcome of a poll: Start, ListReceived, TimedOut or Failed.
type Event interface{ event() }

type (
	// Start is the first event, and the first after the address to poll has changed. Without HasList no list of this peer
	// is held, and the complete list is polled for.
	Start struct {
		HasList bool
		Version int64
	}
	// ListReceived reports a list: Complete, or changes to the one held.
	ListReceived struct {
		Version  int64
		Complete bool
	}
	// TimedOut reports that no complete answer came within the poll's timeout.
	TimedOut struct{}
	// Failed reports any other end: connection refused or reset, rejected, or an answer that is not a list.
	Failed struct{}
)

func (Start) event()        {}
func (ListReceived) event() {}
func (TimedOut) event()     {}
func (Failed) event()       {}
