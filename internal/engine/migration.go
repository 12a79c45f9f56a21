package engine

import (
	"time"

	"example.org/milletvane/balancer"
)

const (
	// migrationTimeout is the time that a client has to migrate where its frontend states none. A client that is
	// asked to leave does so at once.
	migrationTimeout = time.Second
	// unansweredTimeout is how long a server may leave a message unanswered. Clients are owed the end of a dead
	// connection 7 s after the last thing that came; they send a message every 2 s, so that the first one without an
	// answer is up to 2 s younger than that, and a second is left for the migration.
	unansweredTimeout = 4 * time.Second
)

// migrate asks the client of an established connection to leave its server; its attempt ends with the result. The
// record is kept until the client has left.
func (e *Engine) migrate(r *request, result balancer.Result) {
	e.statistics.migrated++
	r.phase, r.attempt = migrating, nil
	timeout := r.client.Migrate()
	if timeout <= 0 {
		timeout = migrationTimeout
	}
	e.resetTimer(&r.answerTimer, e.now+timeout, migrationTimer, r)
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

// onMigrationTimeout closes a client that could not be asked to leave, as when its server stopped in the middle of a
// message that has to be passed on first.
func (e *Engine) onMigrationTimeout(r *request) {
	if r.phase == migrating {
		r.client.Close()
		e.release(r)
	}
}

// migrateFromUnresponsive migrates clients whose servers leave messages unanswered.
func (e *Engine) migrateFromUnresponsive(unresponsive []*request) {
	for _, r := range unresponsive {
		e.options.Logger.Warn("client migrated off unresponsive server", "server", r.server)
		e.migrate(r, balancer.Reset)
	}
}
