package agateinventory

import "slices"

func (c *checker) checkServices() {
	for i := range c.doc.Service {
		s := &c.doc.Service[i]
		if checkName(s.At, "name", s.Name) {
			if old := c.services[s.Name]; old != nil {
				s.At.Report("name", "%q is already the name of the service on line %d", s.Name, old.At.Line())
			} else {
				c.services[s.Name] = s
			}
		}
		c.checkServiceRegions(s)
		checkOperations(s)
	}
}

func (c *checker) checkServiceRegions(s *serviceTable) {
	if s.At.IsSet("regions") && len(s.Regions) == 0 {
		s.At.Report("regions", "a service needs at least one region")
	}
	seen := make(map[string]bool)
	for i, r := range s.Regions {
		if c.regions[r] == nil && !c.regionsIncomplete {
			s.At.ReportItem("regions", i, "%q is not a known region", r)
		}
		if seen[r] {
			s.At.ReportItem("regions", i, "%q is listed twice", r)
		}
		seen[r] = true
	}
}

// maxOperations bounds each list of operations of a service. Every operation is
// compared with every other one, which takes minutes for a list of 300,000.
const maxOperations = 256

// checkOperations reports operations that can never be matched because an
// earlier one covers them. Actions are matched before reads.
func checkOperations(s *serviceTable) {
	if len(s.Reads) > maxOperations || len(s.Actions) > maxOperations {
		s.At.Report("", "a service may have at most %d reads and %d actions", maxOperations, maxOperations)
		return
	}
	for i, o := range s.Actions {
		if j := findCovering(s.Actions[:i], o); j >= 0 {
			s.At.ReportItem("actions", i, "%q is already covered by %q", o, s.Actions[j])
		}
	}
	for i, o := range s.Reads {
		if j := findCovering(s.Actions, o); j >= 0 {
			s.At.ReportItem("reads", i, "%q is already covered by the action %q", o, s.Actions[j])
			continue
		}
		if j := findCovering(s.Reads[:i], o); j >= 0 {
			s.At.ReportItem("reads", i, "%q is already covered by %q", o, s.Reads[j])
		}
	}
}

// findCovering returns the index of the first operation that covers o, or -1.
func findCovering(list []Operation, o Operation) int {
	for i, other := range list {
		// An operation that was not parsed is empty.
		if other.Method != "" && other.covers(o) {
			return i
		}
	}
	return -1
}

func (c *checker) checkLinks() {
	for i := range c.doc.Link {
		l := &c.doc.Link[i]
		from := c.checkRegion(l.At, "from", l.From)
		to := c.checkRegion(l.At, "to", l.To)
		if !from || !to {
			continue
		}
		if l.From == l.To {
			l.At.Report("to", "a link must connect two different regions")
			continue
		}
		key := [2]string{l.From, l.To}
		if _, ok := c.linkRates[key]; ok {
			l.At.Report("to", "the link from %q to %q is already listed", l.From, l.To)
			continue
		}
		c.linkRates[key] = l.ByteRate
	}
}

// linkRate returns the capacity of the link from one region to another in bytes
// per second. To check caps, a link counts for the reverse direction, too, unless
// that is listed.
func (c *checker) linkRate(from, to string) (float64, bool) {
	rate, ok := c.linkRates[[2]string{from, to}]
	if !ok {
		rate, ok = c.linkRates[[2]string{to, from}]
	}
	return rate, ok
}

func (c *checker) checkShifts() {
	seen := make(map[[3]string]bool)
	for i := range c.doc.Shift {
		s := &c.doc.Shift[i]
		c.checkCaps(s)
		c.checkShiftRegions(s)
		key := [3]string{s.Service, s.From, s.To}
		if seen[key] {
			s.At.Report("service", "the shift of %q from %q to %q is already listed", s.Service, s.From, s.To)
		}
		seen[key] = true
	}
}

func (c *checker) checkShiftRegions(s *shiftTable) {
	from := c.checkRegion(s.At, "from", s.From)
	to := c.checkRegion(s.At, "to", s.To)
	if from && to && s.From == s.To {
		s.At.Report("to", "a shift must lead to a different region")
	}
	if !s.At.IsSet("service") {
		return
	}
	service := c.services[s.Service]
	if service == nil {
		s.At.Report("service", "%q is not a known service", s.Service)
		return
	}
	if s.Allow && to && !slices.Contains(service.Regions, s.To) {
		s.At.Report("to", "service %q does not exist in region %q", s.Service, s.To)
	}
}

func (c *checker) checkCaps(s *shiftTable) {
	if s.Allow && s.MaxRequestRate == 0 {
		s.At.Report("requests", "an allowed shift needs a cap above 0 in requests per second")
	}
	if s.Allow && s.MaxByteRate == 0 {
		s.At.Report("bytes", "an allowed shift needs a cap above 0 in bytes per second")
	}
	if rate, ok := c.linkRate(s.From, s.To); ok && s.MaxByteRate > rate {
		s.At.Report("bytes", "the cap of %v is above the link's %v bytes per second", s.MaxByteRate, rate)
	}
}
