package refresh

import "time"

// MaxNotificationDelay is stated by the platform's protocol: a change counts as notified so long after discovery had it and
// could be reached, whatever became of the poll that should have brought it.
const MaxNotificationDelay = 6 * time.Second

// Further limits of the platform's protocol, which no setting holds.
const (
	// maxMissedIntervals of MaxPollInterval after the last successful poll of discovery, changes count as notified.
	maxMissedIntervals = 4
	// watchContinuation is the time within which the next poll continues a watch.
	watchContinuation = 200 * time.Millisecond
)

// Waits and timeouts of polls. Short waits cost discovery more polls; a wait and its slack together leave time for one more
// poll before what a timed-out one should have brought counts as notified.
const (
	discoveryWait        = MaxNotificationDelay / 2
	discoveryAnswerSlack = MaxNotificationDelay / 8
	agentWait            = 2 * time.Second
	// busyDiscoveryTimeout bounds a poll of discovery that does not wait. With many callers discovery queues them, and a
	// gateway that gives up early only joins the end of the queue again.
	busyDiscoveryTimeout = MaxNotificationDelay * 3 / 8
)

// Jitter and backoff of retries, by the number of gateways that may fail together. With both at their maximum two polls
// still fit in before what was missed counts as notified.
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
	// earlyAnswerDivisor of a poll's wait: an answer without a newer version before that part of it has passed is early.
	earlyAnswerDivisor = 4
)

// minSpacing separates polls that are answered without a wait: a peer that never waits costs little, and a watch continues.
func (s *Scheduler) minSpacing() time.Duration {
	return min(s.settings.DrainGrace/5, watchContinuation/2)
}

// agentRetryDelay and agentAnswerSlack keep a retry and its answer within the drain grace.
func (s *Scheduler) agentRetryDelay() time.Duration { return s.settings.DrainGrace / 10 }

func (s *Scheduler) agentAnswerSlack() time.Duration { return s.settings.DrainGrace / 2 }
