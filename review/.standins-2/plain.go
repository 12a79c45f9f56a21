package main

import (
	"fmt"
	"time"
)

const (
	noteSubject = "plan.notes"
	notePhase   = 2 * time.Second
	noteWait    = 200 * time.Millisecond
)

// playPlainClient has a client that knows no headers ask another client, which leaves then. Nothing that it is sent may have
// headers.
func playPlainClient(s *scene) ([]string, error) {
	if _, err := s.startNodes(5, nil); err != nil {
		return nil, err
	}
	if err := s.writeFiles(queueOperator); err != nil {
		return nil, err
	}
	if err := s.startBalancer(); err != nil {
		return nil, err
	}
	responder, err := s.connect("ward1")
	if err != nil {
		return nil, err
	}
	answer := func(m message) { responder.publish(m.reply, "", "noted:"+m.body) }
	if err := responder.subscribe(noteSubject, "", jobSID, answer); err != nil {
		return nil, err
	}
	asker := newPlanner(s, 1)
	s.plain = true
	if err := asker.connect(); err != nil {
		return nil, err
	}
	for i := range 2 * int(notePhase/noteWait) {
		if i == int(notePhase/noteWait) && s.trouble {
			s.record.printf("client %s: leaves", responder.user)
			responder.close()
			time.Sleep(noteWait)
		}
		asker.client.publish(noteSubject, fmt.Sprintf("%s.%d", asker.inbox, i), fmt.Sprint("note ", i))
		time.Sleep(noteWait)
	}
	return asker.client.unreadableFrames(), nil
}
