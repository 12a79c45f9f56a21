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
	stopRequestInterval = 12 * time.Millisecond  // between new clients
	stopCrowdInterval   = 200 * time.Microsecond // between clients of the crowd
	stopPollInterval    = 2 * time.Millisecond
)

// stopRun is the run of one scenario.
type stopRun struct {
	scenario  *stopScenario
	program   string
	dir       string
	recorder  *stopRecorder
	attempts  *stopAttempts
	servers   []*stopServer
	catalog   *fakeserver.Catalog
	listen    string
	release   func()   // releases the listen address
	socket    *os.File // the listening socket that both processes of a hot restart inherit; nil in other runs
	process   *stopProcess
	successor *stopProcess // successor process of a hot restart; nil in other runs
	tasks     sync.WaitGroup
	clients   sync.WaitGroup
	done      chan struct{} // closed at the end of the run

	mu                 sync.Mutex
	report             stopReport
	requests           int
	establishedClients []*stopClient // clients whose connection was established
	termAt             time.Time     // planned time of the first SIGTERM; zero before it is planned
	killedAt           time.Time     // zero before the kill
}

// runStop runs a scenario. It returns an error if the scenario could not be run; violations are in the report.
func runStop(ctx context.Context, program string, s *stopScenario) (report stopReport, trace []string, err error) {
	r := &stopRun{
		scenario: s, program: program, recorder: newStopRecorder(), done: make(chan struct{}), report: s.report(),
	}
	r.attempts = newStopAttempts(r.recorder)
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return r.report, nil, err
	}
	r.execute(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	trace = r.recorder.finish(&r.report)
	return r.report, trace, nil
}

// start starts the servers, the discovery service and the process, and waits until the process is ready.
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
		server.answersTwice = r.scenario.plantedFault == plantSecondAnswer
		r.servers = append(r.servers, server)
		r.catalog.SetEndpoint(inServiceEndpoint(i, server.addr()))
	}
	if err := r.reserve(); err != nil {
		return err
	}
	if r.process, err = r.startProcess("first"); err != nil {
		return err
	}
	r.tasks.Go(func() { r.recorder.measureLateness(r.done) })
	r.tasks.Go(r.sampleDescriptors)
	if !r.process.awaitReady(ctx, stopReadyLimit) {
		return errors.New("the process did not become ready")
	}
	return nil
}

// reserve opens the listening socket that the platform passes to the processes of a hot restart. In other runs it only
// reserves an address.
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
	c := stopProcessConfig{program: r.program, configFile: configFile, tempDir: r.dir, adminAddr: admin, listener: r.socket}
	if r.scenario.plantedFault == plantDescriptors {
		c.extraFiles = r.scenario.limit()
	}
	return startStopProcess(name, c, r.recorder)
}

// execute runs the clients and the events of the scenario, up to the kill of the process.
func (r *stopRun) execute(ctx context.Context) {
	for range stopInitialClients {
		r.clients.Go(func() { r.runClient(clientSendsAtOnce, 0, false) })
	}
	time.Sleep(stopWarmup)
	if r.scenario.hotRestart && !r.startSuccessor(ctx) {
		return
	}
	r.scheduleEvents()
	r.sendSignals()
	r.sleepUntil(stopKillDelay)
	r.kill()
	close(r.done)
	r.clients.Wait()
	r.attempts.wait()
}

func (r *stopRun) startSuccessor(ctx context.Context) bool {
	successor, err := r.startProcess("follower")
	if err != nil {
		r.recorder.recordViolation(notReadyInTime, "the successor does not start: %v", err)
		return false
	}
	r.mu.Lock()
	r.successor = successor
	r.mu.Unlock()
	return successor.awaitReady(ctx, stopSuccessorReadyLimit)
}

// scheduleEvents schedules the events around the stop and starts the clients. The first SIGTERM is stopWarmup later.
func (r *stopRun) scheduleEvents() {
	r.mu.Lock()
	r.termAt = time.Now().Add(stopWarmup)
	r.mu.Unlock()
	for i, behaviour := range r.scenario.behaviours {
		if behaviour != serverSteady {
			r.after(r.scenario.changesAt[i], func() { r.changeServer(i, behaviour) })
		}
	}
	r.after(r.scenario.discoveryFaultAt, r.disturbDiscovery)
	r.clients.Go(r.startClients)
	if r.scenario.crowd {
		r.clients.Go(r.connectCrowd)
	}
	for _, p := range r.scenario.pauses {
		r.after(p.at, func() { r.pause(p.length) })
	}
	r.schedulePlantedSignal()
	if r.scenario.plantedFault == plantDuplicateAttempt {
		r.after(0, r.duplicateAttempt)
	}
}

func (r *stopRun) sendSignals() {
	for _, s := range r.scenario.signals {
		r.sleepUntil(s.at)
		r.process.signal(s.signal)
	}
}

// pause suspends the process for a duration, but not beyond the end of the run.
func (r *stopRun) pause(length time.Duration) {
	r.process.signal(syscall.SIGSTOP)
	defer r.process.signal(syscall.SIGCONT)
	select {
	case <-r.done:
	case <-time.After(length):
	}
}

// changeServer changes the behaviour of a server. The gateway counts as knowing of a drain once it watches the list with a
// version that contains the drain.
func (r *stopRun) changeServer(i int, b serverBehaviour) {
	if b == serverDrains {
		endpoint := inServiceEndpoint(i, r.servers[i].addr())
		endpoint.State = fakeserver.StateTerminating
		r.catalog.SetEndpoint(endpoint)
	}
	r.servers[i].setBehaviour(b)
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
	r.servers[i].drainKnown()
	if r.scenario.plantedFault == plantLateDrain {
		r.sendPlantedAttempt(r.servers[i], r.nextRequest(), plantDrainDelay)
	}
}

func (r *stopRun) disturbDiscovery() {
	r.recorder.traceEvent("discovery: %s", r.scenario.discovery)
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

// startClients starts new clients as long as the platform routes them to the processes: until some time after SIGTERM if
// there is one process, and until stopDeadline before the kill if there is a successor.
func (r *stopRun) startClients() {
	for i := 0; r.routesNewClients(); i++ {
		kind := stopClientKind(r.scenario.rng.IntN(int(clientKindCount)))
		pause := drawMilliseconds(r.scenario.rng, 0, 60)
		r.clients.Go(func() { r.runClient(kind, pause, false) })
		time.Sleep(stopRequestInterval)
	}
}

// connectCrowd connects clients that never send a complete line, and keeps them connected until the end of the run.
func (r *stopRun) connectCrowd() {
	var crowd []net.Conn
	defer func() {
		for _, conn := range crowd {
			_ = conn.Close()
		}
	}()
	for i := 0; i < stopCrowdClients && r.routesNewClients(); i++ {
		conn, err := net.Dial("tcp", r.listen)
		if err != nil {
			return
		}
		crowd = append(crowd, conn)
		if i%2 == 0 {
			_, _ = conn.Write([]byte("OPEN 1 ")) // fails if the connection is closed
		}
		time.Sleep(stopCrowdInterval)
	}
	<-r.done
}

// reconnectClient starts the reconnect of a client that received MOVE, if the platform still routes new clients to the
// processes.
func (r *stopRun) reconnectClient() {
	if r.routesNewClients() {
		r.clients.Go(func() { r.runClient(clientSendsAtOnce, 0, true) })
	}
}

// duplicateAttempt sends the request of a client with an established connection to another server.
func (r *stopRun) duplicateAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.establishedClients) > 0 {
		r.sendPlantedAttempt(r.servers[stopServers-1], r.establishedClients[0].request, 0)
	}
}

// kill kills the process as the platform does. It records a violation for each connection that is still open in proxy
// mode, if no successor runs.
func (r *stopRun) kill() {
	r.process.checkExit()
	r.mu.Lock()
	r.killedAt = time.Now()
	clients := r.establishedClients
	r.mu.Unlock()
	if r.scenario.mode == "proxy" && !r.process.hasExited() && r.successor == nil {
		for _, c := range clients {
			if c.isOpen() {
				r.recorder.recordViolation(openAtKill, "the connection of request %s is still open", c.request)
			}
		}
	}
	r.process.kill()
}

// sampleDescriptors counts the open descriptors of both processes until the end of the run, and records a violation once
// their sum exceeds the limit.
func (r *stopRun) sampleDescriptors() {
	limitExceeded := false
	for {
		select {
		case <-r.done:
			return
		case <-time.After(descriptorSampleInterval):
		}
		r.mu.Lock()
		successor := r.successor
		r.mu.Unlock()
		count := r.process.descriptorCount()
		if successor != nil {
			count += successor.descriptorCount()
		}
		r.updateReport(func(report *stopReport) { report.Descriptors = max(report.Descriptors, count) })
		if count > r.scenario.limit() && !limitExceeded {
			limitExceeded = true
			r.recorder.recordViolation(tooManyDescriptors, "%d open descriptors exceed the limit of %d", count, r.scenario.limit())
		}
	}
}

// close ends the processes, clients, servers and files of the run, and waits for its goroutines.
func (r *stopRun) close() (err error) {
	select {
	case <-r.done:
	default:
		close(r.done)
	}
	for _, p := range []*stopProcess{r.process, r.successor} {
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

// after calls f in a goroutine at a time relative to SIGTERM, unless the run ends before that. If the time of SIGTERM is not
// set yet, it calls f immediately.
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

// routesNewClients reports whether the platform routes new clients to the processes.
func (r *stopRun) routesNewClients() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.termAt.IsZero():
		return true
	case r.successor != nil:
		return time.Now().Before(r.termAt.Add(stopKillDelay - stopDeadline))
	}
	return time.Now().Before(r.termAt.Add(r.scenario.newClientsDuration))
}

// killTime returns the time at which the platform kills the process, or an upper bound while SIGTERM is not planned.
func (r *stopRun) killTime() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.termAt.IsZero() {
		return time.Now().Add(stopReadyLimit)
	}
	return r.termAt.Add(stopKillDelay)
}

// mayCloseWithoutMove reports whether a connection may end without MOVE: after the kill, and in pass mode after SIGTERM.
func (r *stopRun) mayCloseWithoutMove() bool {
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

func (r *stopRun) addEstablishedClient(c *stopClient) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.establishedClients = append(r.establishedClients, c)
}

func (r *stopRun) updateReport(add func(*stopReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(&r.report)
}

// isLastServerServing reports whether the server of a request's latest attempt neither hangs nor drains.
func (r *stopRun) isLastServerServing(request string) bool {
	server := r.attempts.lastServer(request)
	return server >= 0 && r.servers[server].isServing()
}

// connHasUnread reports whether the kernel holds received bytes of a connection that were not read.
func connHasUnread(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	_ = raw.Control(func(fd uintptr) { // fails if the connection is closed
		unread, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return unread > 0
}
