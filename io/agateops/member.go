package agateops

import "net/netip"

// fault returns why a request is wrong, or nothing.
func (r MemberRequest) fault() string {
	switch r.Action {
	case AddLearner:
		if _, err := netip.ParseAddrPort(r.Address); r.Name == "" || err != nil {
			return "add needs a name and an address such as \"127.0.2.1:9000\""
		}
		if r.ID != 0 {
			return "add must not name an id; the replica has its own"
		}
	case Promote, Remove:
		if r.ID == 0 {
			return string(r.Action) + " needs the id of a member"
		}
	default:
		return `action must be "add", "promote" or "remove"`
	}
	return ""
}
