package chaostest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	oldCommit      = "394baa9" // the previous version, with which the current one must be compatible
	oldProgramsEnv = "LIFTSHIFT_OLD_PROGRAMS"
	buildTimeout   = 5 * time.Minute
)

// versionBuild holds the directories of the old and the current programs, built once per test process.
type versionBuild struct {
	tags             string // build tags, separated by commas
	once             sync.Once
	scratch          string // everything that was built is in it
	oldDirectory     string
	currentDirectory string
	err              error
}

var (
	versions          versionBuild
	faultsTagVersions = versionBuild{tags: "faults"} // these programs can simulate disk faults
)

// TestMain removes the programs that tests have built, after the last test.
func TestMain(m *testing.M) {
	code := m.Run()
	for _, directory := range []string{versions.scratch, faultsTagVersions.scratch, faultTagPrograms.directory} {
		if directory != "" {
			_ = os.RemoveAll(directory)
		}
	}
	os.Exit(code)
}

// programsOfBothVersions returns the paths of liftshift of oldCommit and of the current tree. It fails the test if the
// old one can't be built.
func programsOfBothVersions(t *testing.T) (oldProgram, currentProgram string) {
	t.Helper()
	return versions.programs(t)
}

// programs returns the paths of liftshift of oldCommit and of the current tree.
func (v *versionBuild) programs(t *testing.T) (oldProgram, currentProgram string) {
	t.Helper()
	v.once.Do(func() { v.err = v.build() })
	require.NoError(t, v.err,
		"programs of both versions are needed; %s may name a directory with liftshift and liftshift-full of %s",
		oldProgramsEnv, oldCommit)
	return filepath.Join(v.oldDirectory, "liftshift"), filepath.Join(v.currentDirectory, "liftshift")
}

// build builds the current programs, and the old ones unless the environment names their directory. That directory is
// not used for programs with build tags.
func (v *versionBuild) build() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	if v.scratch, err = os.MkdirTemp("", "versions"); err != nil {
		return err
	}
	root, err := runCommand(ctx, ".", "go", "list", "-m", "-f", "{{.Dir}}")
	if err != nil {
		return err
	}
	v.currentDirectory = filepath.Join(v.scratch, "current")
	if err := buildPrograms(ctx, strings.TrimSpace(root), v.currentDirectory, v.tags); err != nil {
		return fmt.Errorf("build the current tree: %w", err)
	}
	if given := os.Getenv(oldProgramsEnv); given != "" && v.tags == "" {
		if v.oldDirectory, err = filepath.Abs(given); err != nil {
			return err
		}
		_, errPlain := os.Stat(filepath.Join(v.oldDirectory, "liftshift"))
		_, errFull := os.Stat(filepath.Join(v.oldDirectory, "liftshift-full"))
		return errors.Join(errPlain, errFull)
	}
	source, archive := filepath.Join(v.scratch, "source"), filepath.Join(v.scratch, "source.tar")
	if _, err := runCommand(ctx, strings.TrimSpace(root), "git", "archive", "-o", archive, oldCommit); err != nil {
		return fmt.Errorf("commit %s is not in the history of this checkout, which may be a shallow clone: %w",
			oldCommit, err)
	}
	if err := os.Mkdir(source, 0o700); err != nil {
		return err
	}
	if _, err := runCommand(ctx, source, "tar", "-xf", archive); err != nil {
		return err
	}
	v.oldDirectory = filepath.Join(v.scratch, "old")
	return buildPrograms(ctx, source, v.oldDirectory, v.tags)
}

// buildPrograms builds liftshift and liftshift-full of a source tree with build tags. The tree's other commands are not
// needed, and their names differ between versions.
func buildPrograms(ctx context.Context, source, target, tags string) error {
	if err := os.Mkdir(target, 0o700); err != nil {
		return err
	}
	_, err := runCommand(ctx, source, "go", "build", "-buildvcs=false", "-tags", tags, "-o", target+"/",
		"./cmd/liftshift", "./cmd/liftshift-full")
	return err
}

// runCommand runs a program in a directory and returns its standard output.
func runCommand(ctx context.Context, directory, program string, arguments ...string) (string, error) {
	cmd := exec.CommandContext(ctx, program, arguments...)
	var stdout, stderr bytes.Buffer
	cmd.Dir, cmd.Stdout, cmd.Stderr = directory, &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("%s %s: %w: %s", program, strings.Join(arguments, " "), err, stderr.String())
	}
	return stdout.String(), nil
}
