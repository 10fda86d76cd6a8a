package policy

import "testing"

// Guards against clients of one queue, or with large jobs, that leave no room for the stored jobs of others, and
// against a lone job that is never accepted.
func TestBacklogLeavesRoomForOthers(t *testing.T) {
	const mib = 1 << 20
	fill := func(b Backlog, bytes int64) Backlog {
		for b.Admits(bytes) {
			b.Used, b.Queue = b.Used+bytes, b.Queue+bytes
		}
		return b
	}
	large := fill(Backlog{Limit: 16 * mib}, 200<<10)
	if large.Used > 8*mib || !large.Admits(4<<10) {
		t.Errorf("large jobs use %d of %d bytes, an ordinary one is admitted: %v", large.Used, large.Limit, large.Admits(4<<10))
	}
	if medium := fill(Backlog{Limit: 16 * mib}, 60<<10); medium.Used > 11*mib {
		t.Errorf("jobs of 150 tasks use %d of %d bytes", medium.Used, medium.Limit)
	} else if small := fill(medium, 4<<10); small.Used-medium.Used < mib {
		t.Errorf("small jobs get %d bytes beside those of 150 tasks", small.Used-medium.Used)
	}
	full := fill(Backlog{Limit: 16 * mib}, 4<<10)
	if full.Used > 12*mib+4<<10 || full.Used < 11*mib {
		t.Errorf("one queue uses %d of %d bytes", full.Used, full.Limit)
	}
	if other := fill(Backlog{Limit: full.Limit, Used: full.Used}, 4<<10); other.Queue < 2*mib || other.Used > full.Limit {
		t.Errorf("a second queue gets %d bytes, and both use %d of %d", other.Queue, other.Used, other.Limit)
	}
	if !(Backlog{Limit: mib, Used: mib / 8}).Admits(100*mib) || !(Backlog{Used: mib}).Admits(mib) {
		t.Error("a lone job, or one without a bound, is not admitted")
	}
}
