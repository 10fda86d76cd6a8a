package members

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"oriolerelay/errkind"
	"oriolerelay/ids"
)

// ViewFinal reports whether a reader that knows every record with a timestamp
// before knownMS knows the view in force at the submission time atMS. A record
// with the timestamp knownMS itself may be unknown and would be in force from
// knownMS + ActivationDelayMS on, so the comparison is strict.
func ViewFinal(knownMS, atMS int64) bool { return knownMS > atMS-ActivationDelayMS }

// ViewAt returns the view in force at the submission time in Unix ms, and false
// when that view is no longer kept. The view is final only if ViewFinal holds.
func (s *State) ViewAt(atMS int64) (View, bool) {
	timestampMS := atMS - ActivationDelayMS
	if timestampMS < s.OldestViewMS {
		return View{}, false
	}
	after := sort.Search(len(s.Views), func(i int) bool { return s.Views[i].TimestampMS > timestampMS })
	return s.Views[after-1], true
}

// Home returns the member with the highest rendezvous weight for the key (team,
// id). If region is not empty, only its members are candidates. Home returns false
// when there is no candidate.
func (v View) Home(team, id, region string) (Member, bool) {
	var key xxhash.Digest
	key.Reset()
	_, _ = key.WriteString(team) // writes to a Digest never fail
	_, _ = key.Write([]byte{0})  // names and ids contain no zero byte
	_, _ = key.WriteString(id)
	prefix := key.Sum64()
	best, bestWeight, found := 0, uint64(0), false
	for i := range v.Members {
		if region != "" && v.Members[i].Region != region {
			continue
		}
		w := rendezvousWeight(prefix, v.Members[i].Node)
		// Members are sorted by name, so ties are broken in the same way everywhere.
		if !found || w > bestWeight {
			best, bestWeight, found = i, w, true
		}
	}
	if !found {
		return Member{}, false
	}
	return v.Members[best], true
}

func rendezvousWeight(key uint64, node ids.Incarnation) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(node.Name)
	var number [8]byte
	for i := range number {
		number[i] = byte(node.Number >> (8 * i))
	}
	_, _ = d.Write(number[:])
	return d.Sum64()
}

// home returns the home of a submission by a state that includes every record with
// a timestamp before knownMS.
func (s *State) home(sub ids.Submission, team string, atMS, knownMS int64) (ids.Incarnation, error) {
	if sub.Issued() {
		return sub.Home, s.checkNotReplaced(sub.Home)
	}

	if !ViewFinal(knownMS, atMS) {
		return ids.Incarnation{}, errkind.New(errkind.HomeUnknown,
			"the membership is known only up to %d ms before the required time", atMS-ActivationDelayMS-knownMS+1)
	}
	view, ok := s.ViewAt(atMS)
	if !ok {
		return ids.Incarnation{}, errkind.New(errkind.SubmissionStale, "the membership at the submission time is no longer kept")
	}
	home, ok := view.Home(team, sub.Raw, sub.Region)
	if !ok {
		err := errkind.New(errkind.HomeUnknown, "region %q had no member at the submission time", sub.Region)
		// The view is final, so no entry will ever run this submission.
		err.Outcome = errkind.NotRun
		return ids.Incarnation{}, err
	}
	return home.Node, s.checkNotReplaced(home.Node)
}

// checkNotReplaced returns HomeLost when a later incarnation of the name has
// joined. A member that has only left may still answer for its submissions.
func (s *State) checkNotReplaced(node ids.Incarnation) error {
	if d, ok := s.findDeparted(node); ok && d.Replaced {
		return errkind.New(errkind.HomeLost, "entry %s was replaced by a later incarnation", node)
	}
	return nil
}

func (s *State) findDeparted(node ids.Incarnation) (Departed, bool) {
	i, ok := s.departedIndex[node]
	if !ok {
		return Departed{}, false
	}
	return s.Departed[i], true
}
