package experiment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"example.org/milletvane/internal/fakeserver"
)

const (
	stopRequestInterval = 12 * time.Millisecond // between new clients
	stopCrowdInterval   = 200 * time.Microsecond
	stopPollInterval    = 2 * time.Millisecond
)

// stopRun is the run of one scenario.
type stopRun struct {
	scenario *stopScenario
	program  string
	dir      string
	recorder *stopRecorder
	attempts *stopAttempts
	servers  []*stopServer
	catalog  *fakeserver.Catalog
	listen   string
	release  func() // of the address
	socket   *os.File
	process  *stopProcess
	follower *stopProcess // of a hot restart
	tasks    sync.WaitGroup
	clients  sync.WaitGroup
	done     chan struct{} // closed at the end of the run

	mu       sync.Mutex
	report   stopReport
	requests int
	users    []*stopClient
	termAt   time.Time // of the first SIGTERM; zero before it
	killedAt time.Time
}

// runStop runs a scenario. Its error says that it could not be run.
func runStop(ctx context.Context, program string, s *stopScenario) (report stopReport, trace []string, err error) {
	r := &stopRun{
		scenario: s, program: program, recorder: newStopRecorder(), done: make(chan struct{}), report: s.report(),
	}
	r.attempts = newStopAttempts(r.recorder)
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return r.report, nil, err
	}
	r.play(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	trace = r.recorder.finish(&r.report)
	return r.report, trace, nil
}

// start starts the servers, discovery and the process, and waits until it serves.
func (r *stopRun) start(ctx context.Context) (err error) {
	if r.dir, err = os.MkdirTemp("", "stop-soak-"); err != nil {
		return err
	}
	if r.catalog, err = fakeserver.NewCatalog(); err != nil {
		return err
	}
	for i := range stopServers {
		server, err := newStopServer(i, r.recorder, r.attempts)
		if err != nil {
			return err
		}
		server.answersTwice = r.scenario.plant == plantSecondAnswer
		r.servers = append(r.servers, server)
		r.catalog.SetEndpoint(inServiceEndpoint(i, server.addr()))
	}
	if err := r.reserve(); err != nil {
		return err
	}
	if r.process, err = r.startProcess("first"); err != nil {
		return err
	}
	r.tasks.Go(func() { r.recorder.watchLateness(r.done) })
	r.tasks.Go(r.sampleDescriptors)
	if !r.process.awaitReady(ctx, stopReadyLimit) {
		return errors.New("the process does not serve")
	}
	return nil
}

// reserve opens the platform's socket for a hot restart, and else reserves an address.
func (r *stopRun) reserve() (err error) {
	if !r.scenario.hotRestart {
		r.listen, r.release, err = fakeserver.ReserveAddress()
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listen, r.release = listener.Addr().String(), func() { _ = listener.Close() }
	r.socket, err = listenerFile(listener)
	return err
}

func (r *stopRun) startProcess(name string) (*stopProcess, error) {
	configFile := filepath.Join(r.dir, "config.json")
	settings := strings.NewReplacer(
		`"mode":"proxy"`, fmt.Sprintf(`"mode":%q`, r.scenario.mode),
		`"give_up_ns":5000000000`, fmt.Sprintf(`"give_up_ns":%d`, stopDeadline),
	).Replace(lineSettings)
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"sockets":%d},"settings":%s}`,
		r.listen, r.catalog.Addr(), r.scenario.seed, r.scenario.limit(), settings)
	if err := os.WriteFile(configFile, []byte(text), 0o600); err != nil {
		return nil, err
	}
	admin, release, err := fakeserver.ReserveAddress()
	if err != nil {
		return nil, err
	}
	r.after(0, func() { <-r.done; release() })
	c := stopProcessConfig{program: r.program, configFile: configFile, tempDir: r.dir, admin: admin, listener: r.socket}
	if r.scenario.plant == plantDescriptors {
		c.extraFiles = r.scenario.limit()
	}
	return startStopProcess(name, c, r.recorder)
}

// play has clients come and go on while the process is stopped.
func (r *stopRun) play(ctx context.Context) {
	for range stopUsers {
		r.clients.Go(func() { r.ask(clientWhole, 0, false) })
	}
	time.Sleep(stopWarmup)
	if r.scenario.hotRestart && !r.startFollower(ctx) {
		return
	}
	r.begin()
	r.playSignals()
	r.sleepUntil(stopKillDelay)
	r.kill()
	close(r.done)
	r.clients.Wait()
	r.attempts.wait()
}

func (r *stopRun) startFollower(ctx context.Context) bool {
	follower, err := r.startProcess("follower")
	if err != nil {
		r.recorder.violate(notReadyInTime, "the follower does not start: %v", err)
		return false
	}
	r.mu.Lock()
	r.follower = follower
	r.mu.Unlock()
	return follower.awaitReady(ctx, stopFollowLimit)
}

// begin starts what happens around the stop. SIGTERM comes stopWarmup later.
func (r *stopRun) begin() {
	r.mu.Lock()
	r.termAt = time.Now().Add(stopWarmup)
	r.mu.Unlock()
	for i, behaviour := range r.scenario.behaviours {
		if behaviour != serverSteady {
			r.after(r.scenario.changesAt[i], func() { r.changeServer(i, behaviour) })
		}
	}
	r.after(r.scenario.troubleAt, r.troubleDiscovery)
	r.clients.Go(r.sendRequests)
	if r.scenario.crowd {
		r.clients.Go(r.sendCrowd)
	}
	for _, p := range r.scenario.pauses {
		r.after(p.at, func() { r.pause(p.length) })
	}
	r.plantSignals()
	if r.scenario.plant == plantDuplicateAttempt {
		r.after(0, r.duplicateAttempt)
	}
}

func (r *stopRun) playSignals() {
	for _, s := range r.scenario.signals {
		r.sleepUntil(s.at)
		r.process.signal(s.signal)
	}
}

// pause keeps the process off the processor. It goes on at the end of the run at the latest.
func (r *stopRun) pause(length time.Duration) {
	r.process.signal(syscall.SIGSTOP)
	defer r.process.signal(syscall.SIGCONT)
	select {
	case <-r.done:
	case <-time.After(length):
	}
}

// changeServer has a server take up a behaviour. That it drains is known to the gateway once its watch has the list.
func (r *stopRun) changeServer(i int, b stopBehaviour) {
	if b == serverDrains {
		endpoint := inServiceEndpoint(i, r.servers[i].addr())
		endpoint.State = fakeserver.StateTerminating
		r.catalog.SetEndpoint(endpoint)
	}
	r.servers[i].change(b)
	if b != serverDrains {
		return
	}
	for !r.catalog.IsListKnown() {
		select {
		case <-r.done:
			return
		case <-time.After(stopPollInterval):
		}
	}
	r.servers[i].told()
	if r.scenario.plant == plantLateDrain {
		r.plantAttempt(r.servers[i], r.nextRequest(), plantDrainDelay)
	}
}

func (r *stopRun) troubleDiscovery() {
	r.recorder.note("discovery: %s", r.scenario.discovery)
	switch r.scenario.discovery {
	case discoveryDown:
		r.catalog.Close()
	case discoverySilent:
		r.catalog.StallWatches()
	case discoveryChanges:
		for i := range 20 {
			endpoint := inServiceEndpoint(stopServers+i, r.servers[stopServers-1].addr())
			r.catalog.SetEndpoint(endpoint)
		}
	}
}

// sendRequests has new clients come until the front sends no more: to a process that is stopped alone that is some time after
// SIGTERM, and with a follower the end of the run.
func (r *stopRun) sendRequests() {
	for i := 0; r.isFrontOpen(); i++ {
		kind := stopClientKind(r.scenario.rng.IntN(int(clientKinds)))
		pause := drawMilliseconds(r.scenario.rng, 0, 60)
		r.clients.Go(func() { r.ask(kind, pause, false) })
		time.Sleep(stopRequestInterval)
	}
}

// sendCrowd has clients connect that never finish a line.
func (r *stopRun) sendCrowd() {
	var crowd []net.Conn
	defer func() {
		for _, conn := range crowd {
			_ = conn.Close()
		}
	}()
	for i := 0; i < stopCrowdClients && r.isFrontOpen(); i++ {
		conn, err := net.Dial("tcp", r.listen)
		if err != nil {
			return
		}
		crowd = append(crowd, conn)
		if i%2 == 0 {
			_, _ = conn.Write([]byte("OPEN 1 ")) // it may be closed
		}
		time.Sleep(stopCrowdInterval)
	}
	<-r.done
}

// comeAgain has a client return that was moved, if the front still sends it to a process.
func (r *stopRun) comeAgain() {
	if r.isFrontOpen() {
		r.clients.Go(func() { r.ask(clientWhole, 0, true) })
	}
}

// duplicateAttempt sends the request of a client that is served to another server.
func (r *stopRun) duplicateAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.users) > 0 {
		r.plantAttempt(r.servers[stopServers-1], r.users[0].request, 0)
	}
}

// kill ends the process as the platform does, and looks at what it still held.
func (r *stopRun) kill() {
	r.process.checkExit()
	r.mu.Lock()
	r.killedAt = time.Now()
	users := r.users
	r.mu.Unlock()
	if r.scenario.mode == "proxy" && !r.process.hasExited() && r.follower == nil {
		for _, c := range users {
			if c.isHeld() {
				r.recorder.violate(heldAtKill, "%s is held", c.request)
			}
		}
	}
	r.process.kill()
}

// sampleDescriptors counts the descriptors of all processes together until the end of the run.
func (r *stopRun) sampleDescriptors() {
	over := false
	for {
		select {
		case <-r.done:
			return
		case <-time.After(descriptorSampleInterval):
		}
		r.mu.Lock()
		follower := r.follower
		r.mu.Unlock()
		count := r.process.descriptors()
		if follower != nil {
			count += follower.descriptors()
		}
		r.count(func(report *stopReport) { report.Descriptors = max(report.Descriptors, count) })
		if count > r.scenario.limit() && !over {
			over = true
			r.recorder.violate(descriptorsOver, "%d descriptors, the limit is %d", count, r.scenario.limit())
		}
	}
}

// close ends whatever is left of the run.
func (r *stopRun) close() (err error) {
	select {
	case <-r.done:
	default:
		close(r.done)
	}
	for _, p := range []*stopProcess{r.process, r.follower} {
		if p != nil {
			p.kill()
		}
	}
	if r.release != nil {
		r.release()
	}
	if r.socket != nil {
		err = r.socket.Close()
	}
	r.clients.Wait()
	for _, server := range r.servers {
		server.close()
	}
	if r.catalog != nil {
		r.catalog.Close()
	}
	r.tasks.Wait()
	if r.dir == "" {
		return err
	}
	return errors.Join(err, os.RemoveAll(r.dir))
}

// after calls f at a time that counts from SIGTERM, unless the run ends before; before SIGTERM is set, at once.
func (r *stopRun) after(d time.Duration, f func()) {
	r.mu.Lock()
	termAt := r.termAt
	r.mu.Unlock()
	r.tasks.Go(func() {
		if !termAt.IsZero() {
			select {
			case <-r.done:
				return
			case <-time.After(time.Until(termAt.Add(d))):
			}
		}
		f()
	})
}

func (r *stopRun) sleepUntil(d time.Duration) {
	r.mu.Lock()
	termAt := r.termAt
	r.mu.Unlock()
	time.Sleep(time.Until(termAt.Add(d)))
}

// isFrontOpen reports whether the platform sends clients to the processes.
func (r *stopRun) isFrontOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.termAt.IsZero():
		return true
	case r.follower != nil:
		return time.Now().Before(r.termAt.Add(stopKillDelay - stopDeadline))
	}
	return time.Now().Before(r.termAt.Add(r.scenario.frontDelay))
}

// endAt is when the platform kills the process.
func (r *stopRun) endAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.termAt.IsZero() {
		return time.Now().Add(stopReadyLimit)
	}
	return r.termAt.Add(stopKillDelay)
}

// mayCut reports whether an end without MOVE is allowed: once the process was killed, and where packets pass through and
// the stop has begun.
func (r *stopRun) mayCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isStopping := !r.termAt.IsZero() && time.Now().After(r.termAt)
	return !r.killedAt.IsZero() || r.scenario.mode == "pass" && isStopping
}

func (r *stopRun) nextRequest() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	return fmt.Sprintf("%x%05x", r.scenario.seed, r.requests)
}

func (r *stopRun) addUser(c *stopClient) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.users = append(r.users, c)
}

func (r *stopRun) count(add func(*stopReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.report)
}

// serverIsSteady reports whether the server of a request's last attempt answers and does not drain.
func (r *stopRun) serverIsSteady(request string) bool {
	server := r.attempts.serverOf(request)
	return server >= 0 && r.servers[server].isSteady()
}

// hasUnread reports whether bytes have arrived on a connection that were not read.
func hasUnread(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	_ = raw.Control(func(fd uintptr) { // an error: it is closed
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return unread > 0
}
