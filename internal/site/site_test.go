package site

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lichenhitch/internal/choice/rollout"
	"lichenhitch/internal/choice/sendlease"
	"lichenhitch/internal/choice/sitesync"
	"lichenhitch/internal/choice/turns"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // makes the results reproducible
	m.Run()
}

const exampleFile = "../../deploy/site.example.txtpb"

func TestExampleFileHasTheDefaults(t *testing.T) {
	s, err := Load(exampleFile, "kelda-1")
	require.NoError(t, err)
	assert.Equal(t, Definition{Name: "kelda", Level: 1, Parent: "moorland",
		Nodes: []string{"kelda-1", "kelda-2", "kelda-3", "kelda-4"}, Voters: []string{"kelda-1", "kelda-2", "kelda-3"},
		Zones: map[string]string{"kelda-1": "north", "kelda-2": "north", "kelda-3": "south"}}, s.Own)
	assert.Equal(t, []string{"moorland"}, siteNames(s.Ancestors))
	assert.Equal(t, []string{"kelda-mill", "kelda-quay"}, siteNames(s.Descendants))
	assert.Equal(t, s.Own.Nodes, s.Members)
	assert.Equal(t, s.Own.Voters, s.Voters)
	assert.True(t, s.IsVoter)
	assert.Len(t, s.Peers, 5)
	assert.Equal(t, "10.4.0.12:7400", s.Peers["kelda-2"])

	bare, err := Parse([]byte(smallFile), "f", "a1")
	require.NoError(t, err)
	assert.Equal(t, s.SendLease, bare.SendLease, "the example has the defaults")
	assert.Equal(t, sendlease.Terms{Duration: 3 * time.Second, Drift: 0.01}, bare.SendLease)
	assert.Equal(t, s.Turns, bare.Turns)
	assert.Equal(t, turns.Limits{Site: 1, Lookahead: 2, AgeStep: 10 * time.Minute}, bare.Turns)
	assert.Equal(t, s.SiteSync, bare.SiteSync)
	assert.Equal(t, sitesync.Limits{Bytes: 16 << 20, Number: 50000, Age: time.Hour, Batch: 256}, bare.SiteSync)
	assert.Equal(t, s.Rollout, bare.Rollout)
	assert.Equal(t, rollout.Defaults(), bare.Rollout)
	assert.Empty(t, bare.Own.Zones)
	assert.Equal(t, 100*time.Millisecond, bare.Tick)
	assert.EqualValues(t, 4096, bare.SnapshotEvery)
}

func TestAncestorsReachTheProvince(t *testing.T) {
	raw, err := os.ReadFile(exampleFile)
	require.NoError(t, err)
	raw = append(raw, "peers { node: 'kelda-1' address: '10.4.0.1:7400' }"...)
	s, err := Parse(bytes.Replace(raw, []byte("10.4.0.11:"), []byte("10.9.0.1:"), 1), "f", "mill-1")
	require.NoError(t, err)
	assert.Equal(t, []string{"kelda", "moorland"}, siteNames(s.Ancestors))
	assert.Empty(t, s.Descendants)
	assert.Equal(t, 2, s.Own.Level)
}

// smallFile is a valid file; the tests below introduce faults by changing it.
const smallFile = `listen: "10.0.0.1:7"
store: "/var/a1"
sites {
  name: "p" level: PROVINCE
  nodes { name: "p1" seat: true }
}
sites {
  name: "a" level: BUILDING parent: "p"
  nodes { name: "a1" seat: true }
  nodes { name: "a2" seat: true }
  nodes { name: "a3" seat: true }
}
# ü  comment { "
peers { node: "a2" address: "10.0.0.2:7" } peers { node: "a3" address: "10.0.0.3:7" }
peers { node: "p1" address: "10.0.0.9:7" }
`

func TestFaultsHaveAPositionAndARemedy(t *testing.T) {
	for _, tc := range []struct {
		name, was, is, place, what, do string
	}{
		// faults of the text
		{"no closing quote", `"p" level`, `"p level`, "4:9", "", "correct the text"},
		{"no closing brace", "seat: true }\n}\n#", "seat: true }\n\n#", "7:7", "is not closed", "close it"},
		{"unknown field", `store:`, `stores:`, "2:1", "no such field", "listen, store, sites"},
		{"unknown field inside", `parent: "p"`, `parrent: "p"`, "8:29", "no such field", "name, level, parent, nodes"},
		{"wrong enum", `BUILDING`, `HOUSE`, "8:13", "HOUSE is not one of", "PROVINCE, REGENCY, BUILDING"},
		{"number for a text", `store: "/var/a1"`, `store: 7`, "2:1", "7 is not a quoted string", "give a quoted string"},
		{"text for a bool", `"p1" seat: true`, `"p1" seat: 3`, "5:22", "3 is not true or false", "give true or false"},
		{"value for a message", "# ü", "rights: 3 # ü", "13:1", "expects a message", "write it in this form"},
		{"message for a value", `listen: "10.0.0.1:7"`, `listen {}`, "1:1", "expects a value", "write it in this form"},
		{"given twice", "# ü", "store: '/x' # ü", "13:1", "set twice", "set it once"},
		{"negative", "# ü", "turns { site: -1 } # ü", "13:9", "-1 is not an integer from 0", "give an integer"},
		// faults of the sites
		{"node in no site", `"a1" seat`, `"b1" seat`, "3:1", `no site has the node "a1"`, "GW_NAME"},
		{"no sites", smallFile[strings.Index(smallFile, "sites"):], "", "1:1", "missing", "list the sites"},
		{"site twice", `name: "a" level: BUILDING parent: "p"`, `name: "p" level: BUILDING parent: "p"`, "8:3",
			`"p" is in use already, at 4:3`, "a unique name"},
		{"node twice", `"a3" seat`, `"p1" seat`, "11:11", `"p1" is in use already, at 5:11`, "a unique name"},
		{"peer twice", `node: "a3"`, `node: "a2"`, "14:52", `"a2" is in use already, at 14:9`, "a unique name"},
		{"node without a name", `name: "a3" seat`, `seat`, "11:3", "missing", "give it a name"},
		{"blank in a name", `"a3" seat`, `"a 3" seat`, "11:11", `"a 3" is not a valid name`, "without blanks"},
		{"no seats", " seat: true }\n  nodes { name: \"a2\" seat: true }\n  nodes { name: \"a3\" seat: true }", "}", "7:1",
			"no node has a seat", "1, 3 or 5"},
		{"two seats", `"a3" seat: true`, `"a3"`, "7:1", "2 nodes have a seat", "1, 3 or 5"},
		{"four seats", "}\n# ü", "nodes {name:'a4' seat: true}}\npeers{node:'a4' address:'10.0.0.4:7'}# ü", "7:1", "4 nodes", "1, 3 or 5"},
		{"seven seats", `level: PROVINCE`, "level: PROVINCE" + strings.Repeat(" nodes { name: 'q' seat: true }", 6), "3:1", "7 nodes", "1, 3 or 5"},
		{"parent missing", ` parent: "p"`, ``, "7:1", "missing", "name the site above"},
		{"parent unknown", `parent: "p"`, `parent: "q"`, "8:29", `"q" is not a site`, "correct the name"},
		{"site is its own parent", `parent: "p"`, `parent: "a"`, "8:29", "a under a", "correct the parents"},
		{"parent level not higher", `level: PROVINCE`, `level: BUILDING parent: "r"}sites{name:"r" level:PROVINCE`, "8:29", "does not have a higher level", "PROVINCE, REGENCY"},
		{"two provinces", `level: BUILDING parent: "p"`, `level: PROVINCE`, "8:13", "a second province", "keep one"},
		{"province under one", `level: PROVINCE`, `level: PROVINCE parent: "a"`, "4:29", "a province has no parent", "remove the parent"},
		{"level missing", ` level: BUILDING`, ``, "7:1", "missing", "BUILDING"},
		// faults of the addresses
		{"peer without address", `peers { node: "a3" address: "10.0.0.3:7" }`, ``, "11:3", `"a3" has no address`, `peers { node: "a3"`},
		{"parent without address", `peers { node: "p1" address: "10.0.0.9:7" }`, ``, "5:3", `"p1" has no address`, `peers { node: "p1"`},
		{"parent without nodes", `  nodes { name: "p1" seat: true }`, ``, "3:1", "no nodes", "writes are forwarded"},
		{"listen is not an address", `"10.0.0.1:7"`, `"here:7"`, "1:1", "not an address and a port", "10.0.0.1:7400"},
		{"listen missing", `listen: "10.0.0.1:7"`, ``, "1:1", "missing", "give an address"},
		{"port 0", `"10.0.0.3:7"`, `"10.0.0.3:0"`, "14:63", "port 0", "give the port"},
		{"peer's address is invalid", `"10.0.0.3:7"`, `"10.0.0.3"`, "14:63", "not an address and a port", "10.0.0.1:7400"},
		{"peer at an unspecified address", `"10.0.0.3:7"`, `"0.0.0.0:7"`, "14:63", "is an unspecified address", "reaches the peer"},
		{"peer's address is listen", `"10.0.0.3:7"`, `"[::ffff:10.0.0.1]:7"`, "14:63", "listen address of this node", "peer's own"},
		{"one address for two peers", `"10.0.0.3:7"`, `"10.0.0.2:7"`, "14:63", `the address of "a2" as well`, "its own"},
		{"peer of no site", `node: "p1"`, `node: "p2"`, "15:9", `"p2" is not a node`, "correct the name"},
		{"no store", `store: "/var/a1"`, ``, "1:1", "missing", "/var/lib/lichenhitch/a1"},
		{"relative store", `"/var/a1"`, `"var/a1"`, "2:1", "not an absolute path", "start it with /"},
		{"store at the root", `"/var/a1"`, `"//"`, "2:1", "root directory", "a directory used only by this node"},
		{"relative witness", "# ü", "witness: 'run/a1'# ü", "13:1", "not an absolute path", "/dev/shm, or omit it"},
		{"witness empty", "# ü", "witness: ''# ü", "13:1", "not an absolute path", "name a file"},
		{"witness a folder", "# ü", "witness: '/run/'# ü", "13:1", "names a directory", "name a file in it"},
		{"witness in the store", "# ü", "witness: '/var/a1/w'# ü", "13:1", "in the store's directory", "/run"},
		// faults of the limits
		{"drift", "# ü", "rights { drift: 0.3 }# ü", "13:10", "0.3 is out of range", "give 0 or more and at most 0.2, or leave it out for 0.01"},
		{"drift no number", "# ü", "rights { drift: nan }# ü", "13:10", "NaN is out of range", "at most 0.2"},
		{"lasts", "# ü", "rights { drift: 0 lasts_ms: 299 }# ü", "13:19", "299 is out of range", "300 to 60000"},
		{"lasts zero", "# ü", "rights { lasts_ms: 0 }# ü", "13:10", "0 is out of range", "leave it out for 3000"},
		{"tick", "# ü", "council <tick_ms: 5001; >  # ü", "13:10", "5001", "10 to 5000"},
		{"snapshots", "# ü", "council {\n\tsnapshot_every: 1\n}  # ü", "14:2", "1 is out of range", "16 to"},
		{"zone", "# ü", "turns { site: 2 zone: 3 }# ü", "13:17", "3, but only 2 for the whole site", "raise turns.site"},
		{"kind", "# ü", "turns { kind: 2 }# ü", "13:9", "2, but only 1", "raise turns.site"},
		{"horizon", "# ü", "turns { horizon: 65 }# ü", "13:9", "65", "1 to 64"},
		{"alpha", "# ü", "rollout { alpha: 0.5 }# ü", "13:11", "0.5", "more than 0 and less than 0.5"},
		{"beta", "# ü", "rollout { beta: 0 }# ü", "13:11", "0 is out", "leave it out for 0.05"},
		{"margin", "# ü", "rollout { margin: -.1 }# ü", "13:11", "-0.1", "less than 0.5"},
		{"crashes", "# ü", "rollout { crashes: 101 }# ü", "13:11", "101", "1 to 100"},
		{"slow", "# ü", "rollout { slow: 0.5 }# ü", "13:11", "0.5 is", "more than 0 and less than 0.5, or leave it out for 0.05"},
		{"cover", "# ü", "rollout { cover: 1.1 }# ü", "13:11", "1.1 is", "more than 0 and at most 1, or leave it out for 0.9"},
		{"cover zero", "# ü", "rollout { cover: 0 }# ü", "13:11", "0 is", "more than 0"},
		{"spell", "# ü", "rollout { spell: 65 }# ü", "13:11", "65 is", "1 to 64, or leave it out for 6"},
		{"spell zero", "# ü", "rollout { spell: 0 }# ü", "13:11", "0 is", "1 to 64"},
		{"watch", "# ü", "rollout { watch: 1001 }# ü", "13:11", "1001 is", "1 to 1000"},
		{"slice", "# ü", "rollout { least: 9\n slice_s: 0 }# ü", "14:2", "0 is", "leave it out for 300"},
		{"settle", "# ü", "rollout { settle_s: 604801 }# ü", "13:11", "604801", "0 to 604800, or leave it out for 60"},
		{"longest", "# ü", "rollout { longest_s: 604801 }# ü", "13:11", "604801", "leave it out for 259200"},
		{"hold too short", "# ü", "rollout { slice_s: 1 spell: 2 hold_s: 64 }# ü", "13:31", "1m4s, but the first evidence of a stage may take 1m5s", "shorten slice_s"},
		{"slice too long", "# ü", "rollout { slice_s: 600 }# ü", "13:1", "2h0m0s, but the first evidence", "shorten slice_s"},
		{"blank in a zone", `"a3" seat`, `"a3" zone: "z 1" seat`, "11:22", `"z 1" is not a valid name`, "without blanks"},
		{"bytes", "# ü", "upstream { bytes: 1 }# ü", "13:12", "1 is", "65536 to"},
		{"batch", "# ü", "upstream { number: 16 batch: 17 }# ü", "13:23", "17 writes in one call, but the queue holds only 16", "to at most number"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Contains(t, smallFile, tc.was)
			s, err := Parse([]byte(strings.Replace(smallFile, tc.was, tc.is, 1)), "site.txtpb", "a1")
			require.Nil(t, s)
			var all Faults
			require.ErrorAs(t, err, &all)
			var reported []string
			for _, f := range all {
				place := fmt.Sprintf("%d:%d", f.Line, f.Column)
				if place == tc.place && strings.Contains(f.Message, tc.what) && strings.Contains(f.Action(), tc.do) {
					assert.Contains(t, err.Error(), "site.txtpb:"+place+": ")
					assert.Contains(t, err.Error(), "; what to do: "+f.Remedy)
					return
				}
				reported = append(reported, f.Error())
			}
			assert.Fail(t, "fault not reported", "%s %s\nreported: %s", tc.place, tc.what, strings.Join(reported, "\n      "))
		})
	}
}

// Load must report witness faults that only a check of the file system finds, with their position in the file.
func TestWitnessMustBeOnTmpfs(t *testing.T) {
	for witness, want := range map[string][2]string{
		t.TempDir() + "/none/w":   {"no such file", "create the directory"},
		"/proc/lichenhitch":       {"not on an in-memory file system", "/dev/shm"},
		"/dev/shm/lichenhitch-a1": {},
	} {
		path := filepath.Join(t.TempDir(), "site.txtpb")
		require.NoError(t, os.WriteFile(path, []byte(smallFile+"\n  witness: '"+witness+"'\n"), 0o600))
		s, err := Load(path, "a1")
		if want[0] == "" {
			require.NoError(t, err)
			assert.Equal(t, witness, s.Witness)
			assert.NoFileExists(t, witness, "Load must not create the file")
			continue
		}
		var fault *Fault
		require.ErrorAs(t, err, &fault)
		assert.Contains(t, err.Error(), fmt.Sprintf("%s:17:3: witness: ", path))
		assert.Contains(t, fault.Message, want[0])
		assert.Contains(t, fault.Action(), want[1])
	}
}

func TestAllFaultsAreReportedInOrder(t *testing.T) {
	for raw, want := range map[string][]string{
		"lisen: 'x'\nsites { level: HUT\n nodes { seat: 7 } }\nturns { site: 'one' }":                   {"1:1", "2:9", "3:10", "4:9"},
		"listen: 'x'\nstore: 'y'\nturns { zone: 9 }\nrights { drift: 1 }":                               {"1:1", "1:1", "1:1", "2:1", "3:9", "4:10"},
		smallFile + "sites{name:'x' level:REGENCY parent:'y'}sites{name:'y' level:BUILDING parent:'x'}": {"16:30"},
		"listen: 'x'\nmore: 1\nstore: }":                                                                {"2:1", "3:8"},
	} {
		_, err := Parse([]byte(raw), "f", "a1")
		var all Faults
		require.ErrorAs(t, err, &all)
		var got []string
		for _, f := range all {
			got = append(got, fmt.Sprintf("%d:%d", f.Line, f.Column))
		}
		assert.Equal(t, want, got, "%v", err)
		assert.Len(t, strings.Split(all.Action(), "\n"), len(want), all.Action())
		var one *Fault
		assert.True(t, errors.As(err, &one))
	}
}

func TestUnreadableFileIsReportedWithARemedy(t *testing.T) {
	long := filepath.Join(t.TempDir(), "long")
	require.NoError(t, os.WriteFile(long, bytes.Repeat([]byte("# long\n"), maxFile/7+1), 0o600))
	for _, path := range []string{filepath.Join(t.TempDir(), "none"), t.TempDir(), long} {
		s, err := Load(path, "a1")
		var typed *FileError
		require.ErrorAs(t, err, &typed)
		assert.Nil(t, s)
		assert.Contains(t, err.Error(), typed.Action())
	}
}

func TestCheckChangeAcceptsOrRejectsTheWholeFile(t *testing.T) {
	before, err := Parse([]byte(smallFile), "f", "a1")
	require.NoError(t, err)
	for _, tc := range []struct {
		name    string
		swap    []string
		restart []string
		steps   string
	}{
		{"no change", nil, nil, ""},
		{"a zone, and shorter stages", []string{`"a2" seat`, `"a2" zone: "z" seat`, "# ü",
			"rollout {slice_s: 1 spell: 1 watch: 3 settle_s: 0 longest_s: 0 slow: .1 cover: 1 hold_s: 3} # ü"}, nil, ""},
		{"allowances and addresses", []string{"# ü", "turns {site: 3} rollout {alpha: .1} upstream {batch: 9} # ü", "10.0.0.3", "10.0.0.4"}, nil, ""},
		{"a node without a seat", []string{"}\n# ü", "nodes { name: 'a4' } }\n# ü"}, nil, ""},
		{"listen and store", []string{"10.0.0.1", "10.0.0.8", "/var/a1", "/var/b", "# ü", "turns {site: 3} # ü"}, []string{"listen", "store"}, ""},
		{"rights and ticks", []string{"# ü", "rights {lasts_ms: 900} council {tick_ms: 20} # ü"}, []string{"rights", "council.tick_ms"}, ""},
		{"other ancestors", []string{`"p"`, `"q"`}, []string{"the sites above"}, ""},
		{"a witness", []string{"# ü", "witness: '/run/a1'# ü"}, []string{"witness"}, ""},
		{"one seat for another", []string{`"a3"`, `"a4"`}, nil, ""},
		{"fewer seats", []string{"\"a2\" seat: true", `"a2"`, "\"a3\" seat: true", `"a3"`}, nil, ""},
		{"most seats for others", []string{`"a3"`, `"a4"`, `"a2"`, `"a5"`}, nil, "add a4, then remove a2, then add a5, then remove a3"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			raw := smallFile
			for i := 0; i < len(tc.swap); i += 2 {
				raw = strings.ReplaceAll(raw, tc.swap[i], tc.swap[i+1])
			}
			next, err := Parse([]byte(raw), "f", "a1")
			require.NoError(t, err)
			err = before.CheckChange(next)
			if tc.restart == nil && tc.steps == "" {
				require.NoError(t, err)
				return
			}
			var typed *ChangeError
			require.ErrorAs(t, err, &typed)
			assert.Equal(t, tc.restart, typed.Restart)
			assert.Equal(t, tc.steps, typed.voterChangeList())
			assert.Contains(t, err.Error(), "what to do: "+typed.Action())
			for _, name := range append(tc.restart, tc.steps) {
				assert.Contains(t, typed.Action(), name)
			}
		})
	}
}

// mutatedFile removes, repeats and replaces parts of a valid file.
func mutatedFile(t *rapid.T) []byte {
	raw := []byte(smallFile)
	for range rapid.IntRange(0, 6).Draw(t, "changes") {
		from := rapid.IntRange(0, len(raw)).Draw(t, "from")
		to := min(len(raw), from+rapid.IntRange(0, 12).Draw(t, "length"))
		with := rapid.SampledFrom([]string{"", "{", "}", "<", ">", "[", "]", "\"", "'", "\\", ":", ",", "#", "\n", "\x00", "\xff", "-",
			"sites", "nodes { name: 'z' }", "0x1f", "1e+3", "rights", "level: 2", "parent: 'a'", "[x.y]: 1", string(raw[from:to]) + string(raw[from:to])}).
			Draw(t, "with")
		raw = append(append(append([]byte(nil), raw[:from]...), with...), raw[to:]...)
	}
	return raw
}

func TestMutatedFilesParseOrReportFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkParseResult(t, mutatedFile(t)) })
}

func TestDeeplyNestedFilesAreRejected(t *testing.T) {
	for _, part := range []string{"sites{", "rights{", "turns<", "sites[{nodes[{"} {
		for _, times := range []int{30, 50_000} {
			checkParseResult(t, []byte(strings.Repeat(part, times)))
		}
	}
}

func TestNestingDepthIsLimited(t *testing.T) {
	deep := func(n int) []byte { return []byte(strings.Repeat("a{", n) + strings.Repeat("}", n)) }
	assert.NoError(t, scan(deep(maxDepth)).err)
	assert.Error(t, scan(deep(maxDepth+1)).err)
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{smallFile, "", "{", "sites [{nodes [{}]}]", "a: [", "a: \"\\"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) { checkParseResult(t, raw) })
}

func checkParseResult(t require.TestingT, raw []byte) {
	s, err := Parse(raw, "f", "a1")
	if err == nil {
		require.NotNil(t, s)
		require.Contains(t, s.Members, "a1")
		require.NotEmpty(t, s.Voters)
		require.NoError(t, scan(raw).err, "the scanner must accept what prototext accepts")
		require.NoError(t, s.CheckChange(s))
		require.NoError(t, s.Rollout.Check())
		return
	}
	require.Nil(t, s)
	var all Faults
	require.ErrorAs(t, err, &all)
	require.NotEmpty(t, all)
	lines := bytes.Count(raw, []byte("\n")) + 1
	for _, f := range all {
		require.True(t, f.Line >= 1 && f.Line <= lines && f.Column >= 1, "%v", f)
		require.NotEmpty(t, f.Action())
		require.NotEmpty(t, f.Message)
	}
}
