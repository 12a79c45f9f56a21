package engine

import (
	"time"

	"example.org/milletvane/balancer"
)

const (
	// migrationTimeout is the time within which a client has to migrate if its frontend states none. A client that is
	// asked to leave does so at once.
	migrationTimeout = time.Second
	// unansweredTimeout is how long a server may leave a message unanswered. A dead connection must end within 7 s of the
	// last data that the client received. Clients send a message every 2 s, so that the first unanswered message is sent
	// up to 2 s after that data, and a second is left for the migration.
	unansweredTimeout = 4 * time.Second
)

// migrate asks the client of an established connection to leave its server, and ends its attempt with a result. The
// request stays in the table until the client has left.
func (e *Engine) migrate(r *request, result balancer.Result) {
	e.statistics.migrated++
	r.phase, r.attempt = migrating, nil
	timeout := r.client.Migrate()
	if timeout <= 0 {
		timeout = migrationTimeout
	}
	e.resetTimer(&r.phaseTimer, e.now+timeout, migrationTimer, r)
	e.notify(e.attemptEnded(r, result, true))
}

// migrateAll asks the clients of all established connections to leave.
func (e *Engine) migrateAll() {
	e.requests.each(func(r *request) {
		if r.phase == established {
			e.migrate(r, balancer.Cancelled)
		}
	})
}

// onMigrationTimeout closes a client that has not left in time. This happens if the client could not be asked to leave,
// for example because its server stopped in the middle of a message, which has to be forwarded completely first.
func (e *Engine) onMigrationTimeout(r *request) {
	if r.phase == migrating {
		r.client.Close()
		e.release(r)
	}
}

// migrateFromUnresponsive migrates clients whose servers have left a message unanswered for too long.
func (e *Engine) migrateFromUnresponsive(unresponsive []*request) {
	for _, r := range unresponsive {
		e.options.Logger.Warn("client migrated off unresponsive server", "server", r.server)
		e.migrate(r, balancer.Reset)
	}
}
