package wire

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a field of OrderGroup that EqualExceptRuns doesn't compare: runs would be
// executed with that value of another job.
func TestEqualExceptRunsComparesEveryField(t *testing.T) {
	c := qt.New(t)
	group := OrderGroup{Payload: "p", Size: Resources{MilliCores: 1}, EstimateMillis: 1, Trace: "t", Queue: "q", TrialMillis: 1}
	group.Runs = []Run{{Task: "t", Number: 1}}
	fields := reflect.TypeOf(group)
	for i := range fields.NumField() {
		other := group
		f := reflect.ValueOf(&other).Elem().Field(i)
		switch name := fields.Field(i).Name; {
		case name == "Runs":
			other.Runs = []Run{{Task: "t", Number: 2}}
			c.Check(group.EqualExceptRuns(&other), qt.IsTrue)
			continue
		case f.Kind() == reflect.Bool:
			f.SetBool(!f.Bool())
		default:
			f.SetZero()
		}
		c.Check(group.EqualExceptRuns(&other), qt.IsFalse, qt.Commentf(fields.Field(i).Name))
	}
}
