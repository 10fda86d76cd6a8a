package wire

// Split returns two messages that have the effect of m when they are sent one after the other. ok is false
// if m cannot be split.
func Split(m Message) (first, second Message, ok bool) {
	switch m := m.(type) {
	case *Orders:
		first, second, ok := splitGroups(m.Groups)
		if !ok {
			return nil, nil, false
		}
		head, tail := *m, *m
		head.Groups, tail.Groups = first, second
		for i := range second {
			head.OrderedRuns -= uint64(len(second[i].Runs))
		}
		return &head, &tail, true
	case *Stop:
		first, second, ok := halves(m.Runs)
		return &Stop{Runs: first}, &Stop{Runs: second}, ok
	case *Confirm:
		first, second, ok := halves(m.Runs)
		return &Confirm{Runs: first}, &Confirm{Runs: second}, ok
	case *Reports:
		first, second, ok := halves(m.Reports)
		return &Reports{Reports: first}, &Reports{Reports: second, Status: m.Status}, ok // the status includes all reports
	}
	return nil, nil, false
}

// splitGroups splits the groups, or the runs of a single one.
func splitGroups(groups []OrderGroup) (first, second []OrderGroup, ok bool) {
	if len(groups) != 1 {
		return halves(groups)
	}
	firstRuns, secondRuns, ok := halves(groups[0].Runs)
	head, tail := groups[0], groups[0]
	head.Runs, tail.Runs = firstRuns, secondRuns
	return []OrderGroup{head}, []OrderGroup{tail}, ok
}

func halves[T any](s []T) (first, second []T, ok bool) {
	return s[:len(s)/2], s[len(s)/2:], len(s) > 1
}
