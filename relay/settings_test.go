package relay

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"oriolerelay/policy"
	"oriolerelay/settings"
)

const entrySettings = `{"node":"edge-1","address":"10.1.0.13","region":"west","data_centre":"a","port_range":[7720,7735],
 "seeds":["10.1.0.13:8166"],"callers_address":"10.1.0.13:8161","ready_address":"10.1.0.13:8167","announce_address":"10.1.0.13:8166",
 "store_address":"10.200.1.7:8169","store_partitions":24,"min_membership_ms":1000,"keep_state_s":120,
 "memory_mib":284,"max_lease_ms":1000,"stop_grace_s":6,"far_factor":1.5}`

// Guards against settings that are accepted although a process cannot run with them, and
// against problems that are reported one at a time.
func TestSettings(t *testing.T) {
	c := quicktest.New(t)
	var s Settings
	c.Assert(settings.Parse([]byte(entrySettings), &s), quicktest.IsNil)
	c.Check(s.seedEntries(), quicktest.DeepEquals, []string{"10.1.0.13:7720"})
	c.Check(s.metricsAddress(), quicktest.Equals, "10.1.0.13:7735")

	bad := strings.NewReplacer(`"edge-1"`, `""`, `"10.1.0.13","region"`, `"host","region"`, `[7720,7735]`, `[7735,7720]`,
		`"max_lease_ms":1000`, `"max_lease_ms":1`, `"10.200.1.7:8169"`, `"store"`).Replace(entrySettings)
	err := settings.Parse([]byte(bad), &s)
	c.Assert(err, quicktest.Not(quicktest.IsNil))
	for _, path := range []string{"node", "address", "port_range", "max_lease_ms", "store_address"} {
		c.Check(strings.Contains(err.Error(), path), quicktest.IsTrue, quicktest.Commentf("%s is missing in %v", path, err))
	}
	c.Check(requireSettings("agent", map[string]string{"endpoint_address": s.EndpointAddress}), quicktest.ErrorMatches, ".*agent needs endpoint_address")
}

// Guards against unknown names of disabled mechanisms that are accepted, and against known
// names that have no effect.
func TestPolicySettings(t *testing.T) {
	c := quicktest.New(t)
	with := func(off string) string {
		return strings.Replace(entrySettings, `"node"`, `"policy":{"off":`+off+`},"node"`, 1)
	}
	var s Settings
	c.Assert(settings.Parse([]byte(with(`["moves"]`)), &s), quicktest.IsNil)
	c.Check(s.policy().Uses(policy.Moves), quicktest.IsFalse)
	c.Check(s.policy().Uses(policy.Patience), quicktest.IsTrue)
	c.Check(settings.Parse([]byte(with(`["move"]`)), &s), quicktest.ErrorMatches, `policy.off: "move" is not a mechanism .*`)
	c.Check(settings.Parse([]byte(with(`"moves"`)), &s), quicktest.ErrorMatches, `(?s)policy.off.*`)
}

// Guards against a template that leaves settings out: it must contain each required field.
func TestTemplateNamesAllSettings(t *testing.T) {
	c := quicktest.New(t)
	b, err := os.ReadFile(filepath.Join("..", "platform", "settings.json.tmpl"))
	c.Assert(err, quicktest.IsNil)
	for _, field := range []string{"node", "address", "region", "data_centre", "port_range", "seeds", "callers_address", "ready_address",
		"announce_address", "endpoint_address", "store_address", "store_partitions", "min_membership_ms", "keep_state_s", "memory_mib", "max_open_files",
		"max_lease_ms", "stop_grace_s", "far_factor"} {
		c.Check(strings.Contains(string(b), `"`+field+`":`), quicktest.IsTrue, quicktest.Commentf("%s", field))
	}
}

// Guards against settings whose values overflow a duration, name a port that does not exist or
// need more memory than there is, and against deep nesting that ends the process.
func TestSettingsOutOfRange(t *testing.T) {
	c := quicktest.New(t)
	for _, tc := range []struct{ old, new, path string }{
		{`"max_lease_ms":1000`, `"max_lease_ms":1e300`, "max_lease_ms"},
		{`"max_lease_ms":1000`, `"max_lease_ms":1e400`, "max_lease_ms"},
		{`"min_membership_ms":1000`, `"min_membership_ms":1e300`, "min_membership_ms"},
		{`"min_membership_ms":1000`, `"min_membership_ms":-1`, "min_membership_ms"},
		{`"keep_state_s":120`, `"keep_state_s":1e300`, "keep_state_s"},
		{`"keep_state_s":120`, `"keep_state_s":-1`, "keep_state_s"},
		{`"stop_grace_s":6`, `"stop_grace_s":1e300`, "stop_grace_s"},
		{`"store_partitions":24`, `"store_partitions":1000000000`, "store_partitions"},
		{`"store_partitions":24`, `"store_partitions":9223372036854775808`, "store_partitions"},
		{`10.1.0.13:8161`, `10.1.0.13:99999`, "callers_address"},
		{`10.1.0.13:8161`, `10.1.0.13:0`, "callers_address"},
		{`10.1.0.13:8161`, `10.1.0.13:-1`, "callers_address"},
		{`"far_factor":1.5`, `"far_factor":` + strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000), "depth"},
		{`"far_factor":1.5`, `"far_factor":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000), "depth"},
	} {
		changed := strings.Replace(entrySettings, tc.old, tc.new, 1)
		c.Assert(changed, quicktest.Not(quicktest.Equals), entrySettings)
		var s Settings
		err := settings.Parse([]byte(changed), &s)
		c.Check(err, quicktest.ErrorMatches, "(?s).*"+tc.path+".*", quicktest.Commentf("%.40s", tc.new))
	}
}

// Guards against optional mechanisms that run in a deployment whose settings do not ask for them.
func TestOptionalMechanismsAreOffByDefault(t *testing.T) {
	c := quicktest.New(t)
	for _, m := range policy.Optional() {
		for _, tc := range []struct {
			name string
			s    Settings
			want bool
		}{
			{"default", Settings{}, false},
			{"named", Settings{Policy: PolicySettings{On: []string{string(m)}}}, true},
			{"a data centre may be lost", Settings{ToleratedDataCentres: 1}, slices.Contains(policy.ForShortage(), m)},
			{"switched off", Settings{ToleratedDataCentres: 1, Policy: PolicySettings{Off: []string{string(m)}}}, false},
		} {
			p := tc.s.policy()
			c.Check(p.Uses(m), quicktest.Equals, tc.want, quicktest.Commentf("%s, %s", m, tc.name))
		}
		c.Check(policy.Policy{}.Uses(m), quicktest.IsFalse)
	}
}
