package entry

import (
	"context"
	"sync"
	"time"

	"oriolerelay/errkind"
	"oriolerelay/ids"
	"oriolerelay/submission"
)

// locate returns the home of a submission. A recorded submission is at home
// here; its record answers even while the membership is unknown.
func (s *Server) locate(team string, id ids.Submission, submittedAt int64) (ids.Incarnation, error) {
	if s.record.Lookup(submission.Key{Team: team, ID: id.Raw}) != nil {
		return s.self, nil
	}
	home, err := s.members.Home(id, team, time.UnixMilli(submittedAt))
	if err != nil {
		if other, ok := s.route(team, id, err); ok {
			return other, nil
		}
	}
	if err == nil && home.Name == s.self.Name && home != s.self {
		err = errHomeLost(home) // an earlier process of this entry's name
	}
	return home, err
}

func errHomeLost(home ids.Incarnation) error {
	return errkind.New(errkind.HomeLost, "the home %s of the submission is gone", home)
}

// checkAge refuses a submission outside its window. Without a record, one that
// is too old may have run, since its record may have expired.
func (s *Server) checkAge(a *arrival) error {
	if a.id.Issued() {
		_, err := s.issued.expiry(a.id)
		return err
	}
	ahead := time.UnixMilli(a.body.SubmittedAt).Sub(s.now())
	if ahead > s.tolerance {
		return errkind.New(errkind.SubmissionFuture, "submitted_at is %s ahead of this entry's clock", ahead)
	}
	if ahead < -s.window {
		return errkind.New(errkind.SubmissionStale, "submitted_at is %s ago, at most %s are allowed", -ahead, s.window)
	}
	return nil
}

// keepUntil returns the time until which the record of a must stay.
func (s *Server) keepUntil(a *arrival) time.Time {
	if a.id.Issued() {
		until, err := s.issued.expiry(a.id)
		if err != nil {
			return s.now() // start refuses it
		}
		return until
	}
	return time.UnixMilli(a.body.SubmittedAt).Add(s.window + s.tolerance)
}

// runningJobs holds the cancel functions of the jobs with a record. It is safe
// for concurrent use.
type runningJobs struct {
	mu      sync.Mutex
	cancels map[submission.Key]context.CancelFunc
}

func (r *runningJobs) add(k submission.Key, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels == nil {
		r.cancels = make(map[submission.Key]context.CancelFunc)
	}
	r.cancels[k] = cancel
}

func (r *runningJobs) remove(k submission.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, k)
}

// cancel withdraws the job of k, if it is running.
func (r *runningJobs) cancel(k submission.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancels[k]; cancel != nil {
		cancel()
	}
}
