//go:build review

// Package review plays the cases of the independent review (REPORT.md). The cases stay out of CI and of the default test
// run: their file needs the tag review, and in CI they are skipped.
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// playCase builds the programs and the stand-ins, plays a case, and fails if the rule was broken.
func playCase(t *testing.T, name string) {
	t.Helper()
	if os.Getenv("CI") != "" {
		t.Skip("the cases of the review are played by hand: review/REPORT.md")
	}
	for _, command := range []string{"mkdir -p bin && go build -ldflags=-linkmode=external -o bin/ ./cmd/...", "review/build.sh"} {
		build := exec.Command("/bin/sh", "-c", command)
		build.Dir = ".."
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", command, err, out)
		}
	}
	play := exec.Command("bin/review-standins", name, filepath.Join(t.TempDir(), "record.txt"))
	play.Dir = ".."
	out, err := play.CombinedOutput()
	t.Logf("%s", out)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Error("the rule was broken")
	case err != nil:
		t.Fatal("the case could not run: ", err)
	}
}

// Cases 1 to 3.

func TestReview_IngestIsCarriedOutOnceThroughKill(t *testing.T) { playCase(t, "twice") }

func TestReview_BadClientWithOpenIDIsNotServed(t *testing.T) { playCase(t, "foreign") }

func TestReview_RequestsBehindRejectionsGetAnswers(t *testing.T) { playCase(t, "limit") }

// What was seen besides.

func TestReview_LoadOfClientThatLeftIsNotSentAfterStop(t *testing.T) { playCase(t, "gone") }

func TestReview_OrderKeyIsKeptThroughStop(t *testing.T) { playCase(t, "order") }
