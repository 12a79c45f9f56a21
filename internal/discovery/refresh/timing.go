package refresh

import "time"

// MaxNotificationDelay is a limit of the platform's protocol. Once discovery has a change and is reachable, the change counts as
// notified after this time, even if the poll that should have brought it fails.
const MaxNotificationDelay = 6 * time.Second

// Further limits of the platform's protocol, for which there is no setting.
const (
	// maxMissedIntervals limits the time without a successful poll of discovery. Changes count as notified once
	// maxMissedIntervals times Settings.MaxPollInterval has passed since the last successful poll.
	maxMissedIntervals = 4
	// watchContinuation is the time after an answer within which the next poll continues a watch.
	watchContinuation = 200 * time.Millisecond
)

// Waits and timeouts of polls. Shorter waits put more polls on discovery. After a poll has used up its wait and its slack, there
// is time for one more poll before the changes that the first poll missed count as notified.
const (
	discoveryWait        = MaxNotificationDelay / 2
	discoveryAnswerSlack = MaxNotificationDelay / 8
	agentWait            = 2 * time.Second
	// busyDiscoveryTimeout is the timeout of a poll of discovery that does not wait. Discovery queues its callers if there are
	// many, and a gateway that gives up early only joins the end of the queue again.
	busyDiscoveryTimeout = MaxNotificationDelay * 3 / 8
)

// Jitter and backoff of retries. The jitter grows with the number of gateways that may fail together. With jitter and backoff
// at their maximum, two polls still fit into the time before the missed changes count as notified.
const (
	timeoutJitterPerGateway = time.Millisecond
	maxTimeoutJitter        = MaxNotificationDelay / 24

	initialBackoff          = 500 * time.Millisecond
	maxBackoff              = MaxNotificationDelay / 4
	backoffJitterPerGateway = 150 * time.Millisecond
	maxBackoffJitter        = MaxNotificationDelay / 4
)

const (
	defaultDrainGrace = 250 * time.Millisecond
	// earlyAnswerDivisor determines which answers without a newer version are early: those that arrive before this fraction,
	// 1/earlyAnswerDivisor, of the poll's wait has passed.
	earlyAnswerDivisor = 4
)

// minSpacing returns the delay between polls that are answered without a wait. It bounds the load of a service that never
// waits, and is short enough to continue a watch.
func (s *Scheduler) minSpacing() time.Duration {
	return min(s.settings.DrainGrace/5, watchContinuation/2)
}

// agentRetryDelay returns the delay before a failed poll of the agent is retried. Together with agentAnswerSlack it keeps a
// retry and its answer within the drain grace.
func (s *Scheduler) agentRetryDelay() time.Duration { return s.settings.DrainGrace / 10 }

// agentAnswerSlack returns the time that the agent has for its answer, beyond the poll's wait.
func (s *Scheduler) agentAnswerSlack() time.Duration { return s.settings.DrainGrace / 2 }
