package agateops

import "net/netip"

// validate returns a message if the request is invalid, or an empty string.
func (r MemberRequest) validate() string {
	switch r.Action {
	case AddLearner:
		if _, err := netip.ParseAddrPort(r.Address); r.Name == "" || err != nil {
			return "add needs a name and an address such as \"127.0.2.1:9000\""
		}
		if r.ID != 0 {
			return "add must not have an id; the replica chooses its own"
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
