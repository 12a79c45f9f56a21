// Package refresh decides when the list of servers is asked for, how long an answer may take, and from when on news that
// did not come counts as told. It is the one owner of that clock, where discovery is asked and where an agent beside the
// gateway is pushed to. Events in, calls out: it does no I/O and reads no clock.
package refresh

import "time"

// The platform's figures, which its protocol states and no setting holds.
const (
	// ToldAfter bounds what a gateway may not know: a change counts as told so long after discovery had it and could be
	// reached, whatever became of the call that should have brought it.
	ToldAfter       = 6 * time.Second
	failedStandsFor = 4                      // times AskWithin, where discovery is asked and the call failed
	continues       = 200 * time.Millisecond // a watch goes on where the next call comes within this
)

// Our own.
const (
	// askWait is how long a call waits where discovery is asked, and askLate how long after it an answer may come. Short
	// waits are more calls for a service that all gateways share; both together leave time for one more call before what a
	// silent one should have brought counts as told. That call does not wait and may take askBusy: a service with many
	// callers has them stand in line, and who gives up early only stands in line again, behind the others.
	askWait = ToldAfter / 2
	askLate = ToldAfter / 8
	askBusy = ToldAfter * 3 / 8
	// pushWait is the same at an agent, which is asked at no price.
	pushWait = 2 * time.Second
	// apartEach spreads the calls of gateways whose watches fell silent together, by this for each of them, within apartMost.
	apartEach = time.Millisecond
	apartMost = ToldAfter / 24

	failFirst = 500 * time.Millisecond // wait after a call that failed, doubled up to
	failMost  = ToldAfter / 4          // this,
	failEach  = 150 * time.Millisecond // and spread over this for each gateway, as they fail together,
	apartFail = ToldAfter / 4          // within this: two calls fit in before what was missed counts as told

	graceDefault = 250 * time.Millisecond // where the settings state no grace for drains
	tooSoon      = 4                      // what is not newer came in under this part of the wait: calls keep a distance then
)

// Settings are what the clock goes by. Zero values have the stated meaning.
type Settings struct {
	LocalAgent      bool          // an agent beside the gateway holds what it was sent, and is asked at no price
	Gateways        int           // that share discovery; 0 is taken as 1
	MaxPollInterval time.Duration // where discovery is asked: who has not called for this long counts as told; 0: no such rule
	DrainGrace      time.Duration // sends to a drained server stop within this after it counts as told; 0: 250 ms
	Seed            uint64        // for jitter
}

// Event is what the clock is told. The concrete types are those below.
type Event interface{ event() }

type (
	// Start begins: the program has started, or there is another address to ask. Version is of the list that is held from
	// there; without Have none is, and the whole list is asked for.
	Start struct {
		HasList bool
		Version int64
	}
	// ListReceived says that the call brought a list, whole or changes.
	ListReceived struct {
		Version  int64
		Complete bool
	}
	// TimedOut says that no whole answer came in the time that the call had.
	TimedOut struct{}
	// Failed says that the call ended in any other way: refused, cut, turned away, or with what is no list.
	Failed struct{}
)

func (Start) event()        {}
func (ListReceived) event() {}
func (TimedOut) event()     {}
func (Failed) event()       {}

// Poll is the next call to make. Exactly one follows each event.
type Poll struct {
	Delay        time.Duration // before it is made
	Complete     bool          // asks for the whole list, and does not wait
	AfterVersion int64         // else for what is newer than this version,
	Wait         time.Duration // waiting so long for it; 0: answered at once
	Timeout      time.Duration // from the moment it is sent, the answer has to be here whole; more is a silence
	// StaleAt is when all that was listed until the last event counts as told, if no call brings it; 0: at no stated time.
	StaleAt time.Duration
}

// Scheduler decides for one gateway. It is not safe for concurrent use.
type Scheduler struct {
	set     Settings
	random  uint64
	have    bool
	version int64
	call    Poll          // that is out
	began   time.Duration // when it was due to be made
	silent  int           // calls in a row that fell silent
	failing time.Duration // the next wait after a failure; 0: the last call did not fail
	heard   time.Duration // when a list last came, or the start: what was listed until then is known
	told    time.Duration // when what was missed since counts as told; 0: nothing is known to be missed
}

// New returns a Clock.
func New(set Settings) *Scheduler {
	set.Gateways = max(set.Gateways, 1)
	if set.DrainGrace <= 0 {
		set.DrainGrace = graceDefault
	}
	return &Scheduler{set: set, random: set.Seed}
}

// Accepts reports whether a list, or changes to one, are to be gone by. What is older than the list that is held, or changes
// one that is not, is not: whoever answered is late, went back, or is another. The whole list is asked for then, and taken
// whatever its version.
func (c *Scheduler) Accepts(version int64, whole bool) bool {
	if !c.have {
		return whole
	}
	return version >= c.version
}

// Version is the version of the list that is held; ok is false where none is.
func (c *Scheduler) Version() (v int64, ok bool) { return c.version, c.have }

// Handle takes what came of the last call and returns the next one.
func (c *Scheduler) Handle(now time.Duration, ev Event) Poll {
	switch ev := ev.(type) {
	case Start:
		c.have, c.version = ev.HasList, ev.Version
		c.silent, c.failing, c.heard, c.told = 0, 0, now, 0
		// An agent answers at once, so that what it holds is known before the first wait. Discovery is shared: a call that
		// waits brings what is new just as soon.
		return c.next(now, 0, c.set.LocalAgent)
	case ListReceived:
		return c.answered(now, ev)
	case TimedOut:
		return c.fellSilent(now)
	}
	return c.failed(now)
}

func (c *Scheduler) answered(now time.Duration, ev ListReceived) Poll {
	if !c.Accepts(ev.Version, ev.Complete) {
		c.have = false
		return c.next(now, c.distance(), true)
	}
	newer := !c.have || ev.Version > c.version
	c.have, c.version = true, ev.Version
	c.silent, c.failing, c.heard, c.told = 0, 0, now, 0
	pause := time.Duration(0)
	if !newer && c.call.Wait > 0 && now-c.began < c.call.Wait/tooSoon {
		pause = c.distance()
	}
	return c.next(now, pause, false)
}

// distance keeps calls apart that are answered without a wait, so that one who never waits costs little, and a watch goes on.
func (c *Scheduler) distance() time.Duration { return min(c.set.DrainGrace/5, continues/2) }

// fellSilent begins anew at once. What an agent holds counts from the moment that it answers again, so it is asked all the
// time until then, at a pace that keeps within the grace for drains; discovery is asked once, apart from others whose
// watches fell silent with this one, and then as after any failure.
func (c *Scheduler) fellSilent(now time.Duration) Poll {
	c.told = c.heard + ToldAfter
	c.silent++
	switch {
	case c.set.LocalAgent:
		return c.next(now, c.set.DrainGrace/10, true)
	case c.silent == 1:
		apart := min(time.Duration(c.set.Gateways)*apartEach, apartMost)
		return c.next(now, time.Duration(c.rand()*float64(apart)), true)
	}
	return c.backOff(now)
}

func (c *Scheduler) failed(now time.Duration) Poll {
	if c.set.LocalAgent {
		return c.next(now, c.set.DrainGrace/10, true)
	}
	c.told = c.heard + ToldAfter
	if c.set.MaxPollInterval > 0 {
		c.told = min(c.told, c.heard+failedStandsFor*c.set.MaxPollInterval)
	}
	return c.backOff(now)
}

// backOff waits, longer with each failure and jittered: gateways that lost the list together do not ask for it together.
// However many calls have failed, the next comes soon enough that what discovery holds on its return is known in time.
func (c *Scheduler) backOff(now time.Duration) Poll {
	if c.failing == 0 {
		c.failing = failFirst
	}
	spread := min(max(c.failing, time.Duration(c.set.Gateways)*failEach), apartFail)
	if c.set.MaxPollInterval > 0 {
		spread = min(spread, c.set.MaxPollInterval)
	}
	wait := c.failing/2 + time.Duration(c.rand()*float64(spread))
	c.failing = min(2*c.failing, failMost)
	if c.set.MaxPollInterval > 0 {
		c.failing = min(c.failing, 2*c.set.MaxPollInterval)
	}
	return c.next(now, wait, true)
}

// next is the call that follows; atOnce asks for an answer without a wait, as does a call for the whole list.
func (c *Scheduler) next(now, pause time.Duration, atOnce bool) Poll {
	call := Poll{Delay: pause, Complete: !c.have, AfterVersion: c.version, StaleAt: c.told}
	wait, late := askWait, askLate
	if c.set.LocalAgent {
		wait, late = pushWait, c.set.DrainGrace/2
	}
	switch {
	case !call.Complete && !atOnce:
		call.Wait = wait
	case !c.set.LocalAgent:
		late = askBusy
	}
	call.Timeout = call.Wait + late
	c.call, c.began = call, now+pause
	return call
}

// rand is a number in [0, 1), for jitter (splitmix64).
func (c *Scheduler) rand() float64 {
	c.random += 0x9e3779b97f4a7c15
	z := c.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
