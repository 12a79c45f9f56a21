package engine

import "example.org/milletvane/internal/slotmap"

// requestTable holds the clients and requests of a gateway.
type requestTable struct {
	byHandle   *slotmap.Map[*request]
	byClientID map[string]slotmap.Handle // of requests that were admitted, but for those without a name
	idle       int                       // of all, those in phase idle
	classes    map[string]bool           // empty: any class is served
}

func newRequestTable(capacity int, classes []string) requestTable {
	t := requestTable{
		byHandle:   slotmap.New[*request](capacity),
		byClientID: map[string]slotmap.Handle{},
		classes:    make(map[string]bool, len(classes)),
	}
	for _, c := range classes {
		t.classes[c] = true
	}
	return t
}

func (t *requestTable) len() int { return t.byHandle.Len() }

// get returns the request of a handle; nil: it has ended.
func (t *requestTable) get(h slotmap.Handle) *request {
	r, _ := t.byHandle.Get(h)
	return r
}

// each visits all requests in order of their slots. The one that is visited may be removed.
func (t *requestTable) each(visit func(*request)) {
	t.byHandle.All(func(_ slotmap.Handle, r *request) bool {
		visit(r)
		return true
	})
}

// insert gives a request its handle; it returns false where the table is full.
func (t *requestTable) insert(r *request) (ok bool) {
	r.handle, ok = t.byHandle.Insert(r)
	return ok
}

// activate marks an idle client's request as admitted, under the client's name for it.
func (t *requestTable) activate(r *request, clientID string) {
	if clientID != "" {
		r.clientID = clientID
		t.byClientID[clientID] = r.handle
	}
	t.idle--
}

func (t *requestTable) remove(r *request) {
	t.byHandle.Remove(r.handle)
	if r.phase == idle {
		t.idle--
	}
	if t.byClientID[r.clientID] == r.handle {
		delete(t.byClientID, r.clientID)
	}
}

// has reports whether a request was admitted under a client's name for it.
func (t *requestTable) has(clientID string) bool {
	_, ok := t.byClientID[clientID]
	return ok
}

// canServe reports whether any server can use a request. One that can't must not reach a server, whose rejection
// would count against it. That includes a request under the name of an open connection, which a server would take for
// that one; only packets of an open connection come under its name again.
func (t *requestTable) canServe(q Request) bool {
	if len(t.classes) > 0 && !t.classes[q.Class] {
		return false
	}
	return q.MidFlow || !t.has(q.ID)
}
