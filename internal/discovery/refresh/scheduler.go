// Package refresh decides when a gateway polls for the endpoint list, how long it waits for an answer, and from when on the
// list that it holds is stale. It covers both modes: polling discovery, which all gateways share, and polling an agent on
// the gateway's own machine, to which discovery pushes the list.
//
// The package does no I/O and reads no clock. The caller performs each [Poll], reports its outcome as an [Event] with the
// time of its own clock, and gets the next Poll in return. A [Scheduler] owns all of its state, is not safe for concurrent
// use, and belongs to the one goroutine that polls.
package refresh

import "time"

// Settings configure a Scheduler. The zero value polls discovery for a single gateway.
type Settings struct {
	LocalAgent      bool          // poll an agent on this machine, which holds what was pushed to it and costs others nothing
	Gateways        int           // that share discovery; less than 1 is taken as 1
	MaxPollInterval time.Duration // discovery takes a gateway that has not polled for this long as notified; 0: it does not
	DrainGrace      time.Duration // a server may be sent requests for this long after its drain was notified; 0: 250 ms
	Seed            uint64        // of the jitter
}

// Scheduler decides when one gateway polls for the endpoint list.
type Scheduler struct {
	settings Settings
	jitter   jitter

	hasList bool
	version int64 // of the list that is held

	poll    Poll          // the last one returned
	pollDue time.Duration // when it was to be sent

	timeouts    int           // consecutive polls that timed out
	backoff     time.Duration // base delay of the next retry; 0: the last poll did not fail
	confirmedAt time.Duration // everything listed until then is known: the last list, or the start
	staleAt     time.Duration // when changes missed since then count as notified; 0: none are known to be missed
}

// New returns a Scheduler. Its first event is to be Start.
func New(settings Settings) *Scheduler {
	settings.Gateways = max(settings.Gateways, 1)
	if settings.DrainGrace <= 0 {
		settings.DrainGrace = defaultDrainGrace
	}
	return &Scheduler{settings: settings, jitter: jitter{state: settings.Seed}}
}

// Version returns the version of the list that is held; ok is false if there is none.
func (s *Scheduler) Version() (version int64, ok bool) { return s.version, s.hasList }

// Age returns for how long it has not been confirmed that the list held is up to date.
func (s *Scheduler) Age(now time.Duration) time.Duration { return now - s.confirmedAt }

// Accepts reports whether a received list, complete or a delta, may be applied. A list older than the one held, or a delta
// without a list to apply it to, may not: its sender lags, was rolled back, or is another. Handle then polls for the
// complete list, which is accepted whatever its version.
func (s *Scheduler) Accepts(version int64, complete bool) bool {
	if !s.hasList {
		return complete
	}
	return version >= s.version
}

// Handle takes the outcome of the last poll and returns the next one. now must not run backwards.
func (s *Scheduler) Handle(now time.Duration, event Event) Poll {
	switch event := event.(type) {
	case Start:
		return s.start(now, event)
	case ListReceived:
		return s.listReceived(now, event)
	case TimedOut:
		return s.timedOut(now)
	default:
		return s.failed(now)
	}
}

func (s *Scheduler) start(now time.Duration, event Start) Poll {
	s.hasList, s.version = event.HasList, event.Version
	s.confirm(now)
	if s.settings.LocalAgent {
		// The agent answers at once: what it holds is known before the first wait.
		return s.immediatePoll(now, 0)
	}
	// Discovery is shared, and a long poll brings changes just as soon.
	return s.longPoll(now, 0)
}

func (s *Scheduler) listReceived(now time.Duration, event ListReceived) Poll {
	if !s.Accepts(event.Version, event.Complete) {
		s.hasList = false
		return s.immediatePoll(now, s.minSpacing())
	}
	isNewer := event.Version > s.version
	answeredEarly := s.poll.Wait > 0 && now-s.pollDue < s.poll.Wait/earlyAnswerDivisor
	s.hasList, s.version = true, event.Version
	s.confirm(now)
	if answeredEarly && !isNewer {
		return s.longPoll(now, s.minSpacing())
	}
	return s.longPoll(now, 0)
}

// confirm records that everything listed until now is known.
func (s *Scheduler) confirm(now time.Duration) {
	s.timeouts, s.backoff = 0, 0
	s.confirmedAt, s.staleAt = now, 0
}

// timedOut retries at once. What an agent holds counts as notified from the moment that it answers again, so it is polled
// until then at a rate that keeps within the drain grace. Discovery is polled once, with jitter to spread gateways whose
// polls timed out together, and then with backoff as after any failure.
func (s *Scheduler) timedOut(now time.Duration) Poll {
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

func (s *Scheduler) failed(now time.Duration) Poll {
	if s.settings.LocalAgent {
		return s.immediatePoll(now, s.agentRetryDelay())
	}
	s.staleAt = s.confirmedAt + MaxNotificationDelay
	if s.settings.MaxPollInterval > 0 {
		s.staleAt = min(s.staleAt, s.confirmedAt+maxMissedIntervals*s.settings.MaxPollInterval)
	}
	return s.retryWithBackoff(now)
}

// retryWithBackoff doubles the delay with each failure and adds jitter, so that gateways that lost discovery together do
// not return together. However many polls have failed, the next comes soon enough to bring what discovery holds on its
// return before that counts as notified.
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

// longPoll waits for a version newer than the one held. Without a list it is an immediate poll for the complete list.
func (s *Scheduler) longPoll(now, delay time.Duration) Poll {
	if !s.hasList {
		return s.immediatePoll(now, delay)
	}
	if s.settings.LocalAgent {
		return s.schedule(now, delay, agentWait, agentWait+s.agentAnswerSlack())
	}
	return s.schedule(now, delay, discoveryWait, discoveryWait+discoveryAnswerSlack)
}

// immediatePoll asks for an answer without a wait.
func (s *Scheduler) immediatePoll(now, delay time.Duration) Poll {
	if s.settings.LocalAgent {
		return s.schedule(now, delay, 0, s.agentAnswerSlack())
	}
	return s.schedule(now, delay, 0, busyDiscoveryTimeout)
}

func (s *Scheduler) schedule(now, delay, wait, timeout time.Duration) Poll {
	s.poll = Poll{
		Delay:        delay,
		Complete:     !s.hasList,
		AfterVersion: s.version,
		Wait:         wait,
		Timeout:      timeout,
		StaleAt:      s.staleAt,
	}
	s.pollDue = now + delay
	return s.poll
}
