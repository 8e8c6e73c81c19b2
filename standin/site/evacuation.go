// SPDX-License-Identifier: Apache-2.0

package site

import "time"

// maxStartAfterEvacuation is the platform's bound for the time between the acknowledgement of
// an order to evacuate a data centre and the last start there.
const maxStartAfterEvacuation = 5 * time.Second

// evacuateKeyPrefix begins the key of an order to evacuate a data centre.
const evacuateKeyPrefix = "evacuate/"

// evacuation is a time in which a data centre was evacuated.
type evacuation struct {
	dataCentre string
	// from is when the order was acknowledged, and to when it was withdrawn; zero: it is in
	// force.
	from, to time.Time
}

// Evacuate orders that nothing start in a data centre.
func (s *Site) Evacuate(dataCentre string) {
	s.Store.Put("op", evacuateKeyPrefix+dataCentre, struct{}{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = append(s.evacuations, evacuation{dataCentre: dataCentre, from: time.Now()})
}

// EndEvacuation withdraws the order to evacuate a data centre.
func (s *Site) EndEvacuation(dataCentre string) {
	s.mu.Lock()
	for i, e := range s.evacuations {
		if e.dataCentre == dataCentre && e.to.IsZero() {
			s.evacuations[i].to = time.Now()
		}
	}
	s.mu.Unlock()
	s.Store.Remove("op", evacuateKeyPrefix+dataCentre)
}

// evacuationsSoFar returns all evacuations.
func (s *Site) evacuationsSoFar() []evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]evacuation(nil), s.evacuations...)
}

// checkEvacuations checks that a task doesn't start in an evacuated data centre.
func (c *checker) checkEvacuations(e Event) {
	for _, v := range c.evacuations {
		ended := !v.to.IsZero() && !e.At.Before(v.to)
		if late := e.At.Sub(v.from); v.dataCentre == e.DataCentre && !ended && late > maxStartAfterEvacuation {
			c.addViolation("%s starts on %s in %s, which has been evacuated for %s", e.Task, e.Worker, e.DataCentre, late)
		}
	}
}
