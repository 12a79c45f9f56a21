package engine

import "example.org/milletvane/internal/slotmap"

// requestTable holds the clients and requests of a gateway.
type requestTable struct {
	byHandle   *slotmap.Map[*request]
	byClientID map[string]slotmap.Handle // admitted requests to which their clients assigned an ID
	idle       int                       // number of requests in phase idle
	classes    map[string]bool           // classes that are served; all classes are if it is empty
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

// get returns the request with a handle, or nil if that request has ended.
func (t *requestTable) get(h slotmap.Handle) *request {
	r, _ := t.byHandle.Get(h)
	return r
}

// each calls visit for each request in slot order. The visit function may remove the request that it is given.
func (t *requestTable) each(visit func(*request)) {
	t.byHandle.All(func(_ slotmap.Handle, r *request) bool {
		visit(r)
		return true
	})
}

// insert adds a request and sets its handle. It returns false if the table is full.
func (t *requestTable) insert(r *request) (ok bool) {
	r.handle, ok = t.byHandle.Insert(r)
	return ok
}

// markAdmitted records that the request of an idle client was admitted under the ID that the client assigned to it. The
// ID may be empty.
func (t *requestTable) markAdmitted(r *request, clientID string) {
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

// has reports whether the table holds an admitted request with an ID that a client assigned.
func (t *requestTable) has(clientID string) bool {
	_, ok := t.byClientID[clientID]
	return ok
}

// canServe reports whether a request is valid, so that a server can serve it. An invalid request must not be sent, because
// the server would reject it and that would count as a failure of the server. A request that has the ID of an open
// connection is invalid too, because a server would mistake it for that connection. Only a mid-flow request may repeat
// such an ID.
func (t *requestTable) canServe(incoming Request) bool {
	if len(t.classes) > 0 && !t.classes[incoming.Class] {
		return false
	}
	return incoming.MidFlow || !t.has(incoming.ID)
}
