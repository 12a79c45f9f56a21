package refresh

import "time"

// Poll is one request for the endpoint list.
type Poll struct {
	Delay        time.Duration // time to wait before the request is sent
	Complete     bool          // requests the complete list instead of changes
	AfterVersion int64         // requests the changes after this version; ignored if Complete is set
	Wait         time.Duration // how long the service may delay its answer until there are changes; 0 means no delay
	Timeout      time.Duration // from sending the request to the end of the answer; if it passes, the outcome is TimedOut
	// StaleAt is the time at which the list that is held becomes stale. From then on, changes that the list lacks count
	// as notified even though no poll has brought them. Zero means that no changes are known to be missed.
	StaleAt time.Duration
}

// Event is the start of polling or the outcome of a poll. Its concrete types are Start, ListReceived, TimedOut and Failed.
type Event interface{ event() }

type (
	// Start is the first event, and the first event after the polled address has changed. If HasList is false, no list from
	// this address is held, and the next poll requests the complete list.
	Start struct {
		HasList bool
		Version int64
	}
	// ListReceived reports that a poll brought the complete list or changes to the list that is held.
	ListReceived struct {
		Version  int64
		Complete bool
	}
	// TimedOut reports that no complete answer arrived within the poll's timeout.
	TimedOut struct{}
	// Failed reports any other failure of a poll: the connection was refused or reset, the request was rejected, or the
	// answer was not a list.
	Failed struct{}
)

func (Start) event()        {}
func (ListReceived) event() {}
func (TimedOut) event()     {}
func (Failed) event()       {}
