package control

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lichenhitch/internal/choice/rollout"
)

// Every error type of the settings and of the packages of the control plane must say what an operator can do. The test parses
// the sources and requires an Action method on each type with an Error method.
func TestEveryErrorHasAnAction(t *testing.T) {
	methods := map[string]map[string]bool{} // by package and type
	for _, dir := range []string{".", "../peer", "../site", "../consensus", "../choice", "../settings"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			for _, d := range file.Decls {
				f, ok := d.(*ast.FuncDecl)
				if !ok || f.Recv == nil || f.Type.Params.NumFields() > 0 {
					continue
				}
				recvType := f.Recv.List[0].Type
				if star, ok := recvType.(*ast.StarExpr); ok {
					recvType = star.X
				}
				if name, ok := recvType.(*ast.Ident); ok {
					typeName := file.Name.Name + "." + name.Name
					if methods[typeName] == nil {
						methods[typeName] = map[string]bool{}
					}
					methods[typeName][f.Name.Name] = true
				}
			}
			return nil
		}))
	}
	found := 0
	for name, methodSet := range methods {
		if methodSet["Error"] {
			found++
			assert.True(t, methodSet["Action"], "%s has no Action", name)
		}
	}
	assert.Greater(t, found, 20)
}

// The messages and actions of errors must name what they concern.
func TestActionsNameTheirSubject(t *testing.T) {
	for _, c := range []struct {
		err             Actioner
		message, action string
	}{
		{&NotRootSiteError{Site: "b", Root: "p"}, "b is not the root site", "a node of p"},
		{&NoTrialError{ID: "r1", Site: "b", Root: "p"}, `"r1"`, "halted at p"},
		{&ReservedKeyError{Key: rollout.HaltKey("r1")}, "rollout/r1", "HaltPolicy"},
		{&NotLeaderError{Leader: "n1"}, "n1", "call n1"},
		{&StoppedError{Cause: &NoReplicaError{Node: "n1"}}, "n1 has no seat", "compare the site files"},
		{&TooFewDescriptorsError{Missing: 7}, "7 too low", "by 7"},
		{&SupersededGroupError{Node: "n1", Site: "b"}, "n1 uses the consensus group of site b", "start it with an empty one"},
		{&ForeignGroupError{Node: "n1", Site: "b"}, "another consensus group", "which of the two"},
		{&NoAnswerError{Node: "n1"}, "n1 is to get a seat", "addresses"},
		{&SiteFileMismatchError{Node: "n1"}, "names other seats", "have it reload"},
		{&ReplicaRiskError{Node: "n1", Risk: "it may be lost", Confirmation: "i_know"}, "it may be lost", "with i_know true"},
		{&MissingReasonError{}, "the operator and a reason", "by and why"},
		{&TooEarlyError{Node: "n1"}, "n1 was started just now", "in some seconds"},
		{&NotNeededError{Node: "n1", Why: "n2 leads"}, "n2 leads", "log of n1"},
		{&LongerLogError{Node: "n4"}, "n4 has more", "node n4"},
		{&UnaccountedReplicasError{Nodes: []string{"n1", "n2"}}, "n1 n2", "name them in lost"},
		{&UnknownNameError{Kind: "stage", Name: "x", Expected: "one"}, `stage: "x"`, "give one"},
	} {
		assert.Contains(t, c.err.Error(), c.message)
		assert.Contains(t, c.err.Action(), c.action)
	}
}
