package members

import "oriolerelay/ids"

// mayJoin reports whether the fold accepts a join. A record of a process that no
// member answers for could take effect unknown to members that are cut off from
// the log, so a new name needs a record by a member. A restart under a name of
// the view is accepted from a member or from the joining process itself, whose
// older incarnation has ended and makes no further statement. It must name that
// incarnation, so that a delayed record of a process that has ended meanwhile
// replaces nothing.
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

// byMember reports whether a member of the newest view appended the record.
func (s *State) writtenByMember(rec record) bool {
	writer, err := ids.ParseIncarnation(rec.Writer)
	return err == nil && s.isMember(writer)
}
