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
	oldCommit      = "394baa9" // the version before: its programs must work beside those of the current tree
	oldProgramsEnv = "LIFTSHIFT_OLD_PROGRAMS"
	buildPatience  = 5 * time.Minute
)

// versions holds the folders of both versions' programs, built once per test process.
var versions struct {
	once        sync.Once
	scratch     string
	before, now string
	err         error
}

// TestMain removes the programs of both versions after the last test.
func TestMain(m *testing.M) {
	code := m.Run()
	if versions.scratch != "" {
		_ = os.RemoveAll(versions.scratch)
	}
	os.Exit(code)
}

// bothVersions gives the paths of liftshift as of oldCommit and of the current tree. It fails the test where the old one can't be had.
func bothVersions(t *testing.T) (before, now string) {
	t.Helper()
	versions.once.Do(func() { versions.err = buildVersions() })
	require.NoError(t, versions.err, "programs of both versions are needed; %s may name a folder with liftshift and liftshift-full of %s", oldProgramsEnv, oldCommit)
	return filepath.Join(versions.before, "liftshift"), filepath.Join(versions.now, "liftshift")
}

// buildVersions builds the current programs, and the old ones unless the environment names them.
func buildVersions() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), buildPatience)
	defer cancel()
	if versions.scratch, err = os.MkdirTemp("", "versions"); err != nil {
		return err
	}
	root, err := run(ctx, ".", "go", "list", "-m", "-cl", "{{.Dir}}")
	if err != nil {
		return err
	}
	versions.now = filepath.Join(versions.scratch, "now")
	if err := buildPrograms(ctx, strings.TrimSpace(root), versions.now); err != nil {
		return fmt.Errorf("build the current tree: %w", err)
	}
	if given := os.Getenv(oldProgramsEnv); given != "" {
		if versions.before, err = filepath.Abs(given); err != nil {
			return err
		}
		_, err1 := os.Stat(filepath.Join(versions.before, "liftshift"))
		_, err2 := os.Stat(filepath.Join(versions.before, "liftshift-full"))
		return errors.Join(err1, err2)
	}
	source, archive := filepath.Join(versions.scratch, "source"), filepath.Join(versions.scratch, "source.tar")
	if _, err := run(ctx, strings.TrimSpace(root), "git", "archive", "-o", archive, oldCommit); err != nil {
		return fmt.Errorf("commit %s is not in the history of this checkout (a shallow clone has none): %w", oldCommit, err)
	}
	if err := os.Mkdir(source, 0o700); err != nil {
		return err
	}
	if _, err := run(ctx, source, "tar", "-xf", archive); err != nil {
		return err
	}
	versions.before = filepath.Join(versions.scratch, "before")
	return buildPrograms(ctx, source, versions.before)
}

// buildPrograms builds the programs of a source tree. Other commands of a tree may change their names and aren't needed here.
func buildPrograms(ctx context.Context, source, target string) error {
	if err := os.Mkdir(target, 0o700); err != nil {
		return err
	}
	_, err := run(ctx, source, "go", "build", "-buildvcs=false", "-o", target+"/", "./cmd/liftshift", "./cmd/liftshift-full")
	return err
}

// run runs a program in a folder and gives what it prints.
func run(ctx context.Context, folder, program string, arguments ...string) (string, error) {
	cmd := exec.CommandContext(ctx, program, arguments...)
	var out, problems bytes.Buffer
	cmd.Dir, cmd.Stdout, cmd.Stderr = folder, &out, &problems
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("%s %s: %w: %s", program, strings.Join(arguments, " "), err, problems.String())
	}
	return out.String(), nil
}
