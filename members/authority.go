package members

import "oriolerelay/ids"

// joinAllowed reports whether a join record takes effect. A new name needs a
// record written by a member, since a record of a process that no member sponsors
// could take effect unknown to members that are cut off from the log. A restart
// under a name of the view is accepted from a member or from the joining process
// itself, whose previous incarnation has ended and makes no further statement. It
// must name that incarnation, so that a delayed record of a process that has since
// ended replaces nothing.
func (s *State) joinAllowed(rec record) bool {
	members := s.NewestView().Members
	if len(members) == 0 {
		return true
	}
	node := rec.Member.Node
	i, found := findMember(members, node.Name)
	if !found {
		return s.writtenByMember(rec)
	}
	old := members[i].Node
	authorised := rec.Writer == node.String() || s.writtenByMember(rec)
	return authorised && (old == node || rec.Replaces == old.String())
}

// writtenByMember reports whether a member of the newest view appended the record.
func (s *State) writtenByMember(rec record) bool {
	writer, err := ids.ParseIncarnation(rec.Writer)
	return err == nil && s.isMember(writer)
}
