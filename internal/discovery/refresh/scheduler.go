// Package refresh decides when a gateway polls for the endpoint list, how long it waits for an answer, and from when the list
// that it holds is stale. It covers both modes: polling discovery, which all gateways share, and polling an agent on the
// gateway's own machine, to which discovery pushes the list.
//
// By the platform's protocol a change of the list counts as notified once the gateway is assumed to know it. The limits of
// the protocol are at [MaxNotificationDelay].
//
// The package does no I/O and reads no clock. The caller performs each [Poll], reports its outcome as an [Event] with the
// time of its own clock, and gets the next Poll in return. A [Scheduler] owns all of its state, is not safe for concurrent
// use, and belongs to the one goroutine that polls.
package refresh

import "time"

// Settings configures a Scheduler. The zero value polls discovery for a single gateway.
type Settings struct {
	LocalAgent      bool          // poll an agent on this machine, to which the list is pushed: polls put no load on discovery
	Gateways        int           // number of gateways that share discovery; less than 1 means 1
	MaxPollInterval time.Duration // changes count as notified after maxMissedIntervals times this without a list; 0: no limit
	DrainGrace      time.Duration // how long a server accepts requests after its drain was notified; 0 means 250 ms
	Seed            uint64        // seed of the jitter
}

// Scheduler decides when one gateway polls for the endpoint list.
type Scheduler struct {
	settings Settings
	jitter   jitter

	hasList bool
	version int64 // version of the list that is held

	lastPoll    Poll          // the last one returned
	lastPollDue time.Duration // time at which it was to be sent

	timeouts    int           // number of consecutive polls that timed out
	backoff     time.Duration // base delay of the next retry; 0 means that the last poll did not fail
	confirmedAt time.Duration // time of the last list, or of the start; all changes up to then are known
	staleAt     time.Duration // time from which changes after confirmedAt count as notified; 0 means that none are missed
}

// New returns a Scheduler, which expects Start as its first event.
func New(settings Settings) *Scheduler {
	settings.Gateways = max(settings.Gateways, 1)
	if settings.DrainGrace <= 0 {
		settings.DrainGrace = defaultDrainGrace
	}
	return &Scheduler{settings: settings, jitter: jitter{state: settings.Seed}}
}

// Version returns the version of the list that is held. The result ok is false if no list is held.
func (s *Scheduler) Version() (version int64, ok bool) { return s.version, s.hasList }

// Age returns the time since the list that is held was last confirmed to be up to date.
func (s *Scheduler) Age(now time.Duration) time.Duration { return now - s.confirmedAt }

// Accepts reports whether a received list, complete or a delta, may be applied. A list that is older than the one held is
// rejected: its sender lags, was rolled back or is another service. A delta is rejected if no list is held to apply it to. After
// a rejected list, Handle polls for the complete list, which is accepted whatever its version.
func (s *Scheduler) Accepts(version int64, complete bool) bool {
	if !s.hasList {
		return complete
	}
	return version >= s.version
}

// Handle processes the outcome of the last poll and returns the next poll. The time now must not be earlier than in the
// previous call.
func (s *Scheduler) Handle(now time.Duration, event Event) Poll {
	switch event := event.(type) {
	case Start:
		return s.handleStart(now, event)
	case ListReceived:
		return s.handleListReceived(now, event)
	case TimedOut:
		return s.handleTimedOut(now)
	default:
		return s.handleFailed(now)
	}
}

func (s *Scheduler) handleStart(now time.Duration, event Start) Poll {
	s.hasList, s.version = event.HasList, event.Version
	s.confirm(now)
	if s.settings.LocalAgent {
		// The agent answers an immediate poll without a delay, so that the gateway knows the agent's list before the first wait.
		return s.immediatePoll(now, 0)
	}
	// Discovery is shared, and a long poll brings changes as early as an immediate poll.
	return s.longPoll(now, 0)
}

func (s *Scheduler) handleListReceived(now time.Duration, event ListReceived) Poll {
	if !s.Accepts(event.Version, event.Complete) {
		s.hasList = false
		return s.immediatePoll(now, s.minSpacing())
	}
	isNewer := event.Version > s.version
	answeredEarly := s.lastPoll.Wait > 0 && now-s.lastPollDue < s.lastPoll.Wait/earlyAnswerDivisor
	s.hasList, s.version = true, event.Version
	s.confirm(now)
	if answeredEarly && !isNewer {
		return s.longPoll(now, s.minSpacing())
	}
	return s.longPoll(now, 0)
}

// confirm records that all changes up to now are known.
func (s *Scheduler) confirm(now time.Duration) {
	s.timeouts, s.backoff = 0, 0
	s.confirmedAt, s.staleAt = now, 0
}

// handleTimedOut returns an immediate poll. An agent's list counts as notified as soon as the agent answers again, so the agent
// is polled at intervals shorter than the drain grace until it answers. Discovery is polled once after jitter alone, which
// spreads the polls of gateways whose polls timed out together. Further timeouts lead to backoff, like any other failure.
func (s *Scheduler) handleTimedOut(now time.Duration) Poll {
	s.staleAt = s.confirmedAt + MaxNotificationDelay
	s.timeouts++
	if s.settings.LocalAgent {
		return s.immediatePoll(now, s.agentRetryDelay())
	}
	if s.timeouts == 1 {
		spread := min(time.Duration(s.settings.Gateways)*timeoutJitterPerGateway, maxTimeoutJitter)
		return s.immediatePoll(now, s.jitter.below(spread))
	}
	return s.retryWithBackoff(now)
}

// handleFailed returns an immediate poll: of an agent after a fixed delay, of discovery with backoff.
func (s *Scheduler) handleFailed(now time.Duration) Poll {
	if s.settings.LocalAgent {
		return s.immediatePoll(now, s.agentRetryDelay())
	}
	s.staleAt = s.confirmedAt + MaxNotificationDelay
	if s.settings.MaxPollInterval > 0 {
		s.staleAt = min(s.staleAt, s.confirmedAt+maxMissedIntervals*s.settings.MaxPollInterval)
	}
	return s.retryWithBackoff(now)
}

// retryWithBackoff returns an immediate poll whose delay doubles with each failure and has jitter, so that gateways that lost
// discovery at the same time don't poll it again at the same time. The delay is bounded. Therefore, however many polls have
// failed, the first poll after discovery is reachable again brings the list before the changes in it count as notified.
func (s *Scheduler) retryWithBackoff(now time.Duration) Poll {
	if s.backoff == 0 {
		s.backoff = initialBackoff
	}
	spread := min(max(s.backoff, time.Duration(s.settings.Gateways)*backoffJitterPerGateway), maxBackoffJitter)
	if s.settings.MaxPollInterval > 0 {
		spread = min(spread, s.settings.MaxPollInterval)
	}
	delay := s.backoff/2 + s.jitter.below(spread)
	s.backoff = min(2*s.backoff, maxBackoff)
	if s.settings.MaxPollInterval > 0 {
		s.backoff = min(s.backoff, 2*s.settings.MaxPollInterval)
	}
	return s.immediatePoll(now, delay)
}

// longPoll returns a poll that waits for a version newer than the one held. If no list is held, it returns an immediate poll
// for the complete list.
func (s *Scheduler) longPoll(now, delay time.Duration) Poll {
	if !s.hasList {
		return s.immediatePoll(now, delay)
	}
	if s.settings.LocalAgent {
		return s.schedule(now, delay, agentWait, agentWait+s.agentAnswerSlack())
	}
	return s.schedule(now, delay, discoveryWait, discoveryWait+discoveryAnswerSlack)
}

// immediatePoll returns a poll that is answered without waiting for changes.
func (s *Scheduler) immediatePoll(now, delay time.Duration) Poll {
	if s.settings.LocalAgent {
		return s.schedule(now, delay, 0, s.agentAnswerSlack())
	}
	return s.schedule(now, delay, 0, busyDiscoveryTimeout)
}

// schedule returns the poll with the given times, and records it as the last one.
func (s *Scheduler) schedule(now, delay, wait, timeout time.Duration) Poll {
	s.lastPoll = Poll{
		Delay:        delay,
		Complete:     !s.hasList,
		AfterVersion: s.version,
		Wait:         wait,
		Timeout:      timeout,
		StaleAt:      s.staleAt,
	}
	s.lastPollDue = now + delay
	return s.lastPoll
}
