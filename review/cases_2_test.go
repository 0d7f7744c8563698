//go:build review2

package review

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// playCaseOf2 builds the programs and the stand-ins of the second review (REPORT-2.md), plays a case, and fails if the
// rule was broken. As with the cases of the first review, the file needs a tag, and in CI the cases are skipped.
func playCaseOf2(t *testing.T, name string) {
	t.Helper()
	if os.Getenv("CI") != "" {
		t.Skip("the cases of the review are played by hand: review/REPORT-2.md")
	}
	for _, command := range []string{"mkdir -p bin && go build -ldflags=-linkmode=external -o bin/ ./cmd/...", "review/build-2.sh"} {
		build := exec.Command("/bin/sh", "-c", command)
		build.Dir = ".."
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", command, err, out)
		}
	}
	folder := t.TempDir()
	play := exec.Command("bin/review-2-drive", name, folder)
	play.Dir = ".."
	out, err := play.CombinedOutput()
	record, _ := os.ReadFile(folder + "/record.txt")
	t.Logf("%s%s", out, record)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Error("the rule was broken")
	case err != nil:
		t.Fatal("the case could not run: ", err)
	}
}

// Cases 6 to 10.

func TestReview2_FoundersWithNewDisksFormNoSecondGroup(t *testing.T) { playCaseOf2(t, "founders") }

func TestReview2_KeysOnReplicasDisksOutliveLossOfAll(t *testing.T) { playCaseOf2(t, "restart") }

func TestReview2_KeySentToNewExecutorStaysInItsZone(t *testing.T) { playCaseOf2(t, "scope") }

func TestReview2_AnswerIsNotLostAtStopWithoutLease(t *testing.T) { playCaseOf2(t, "stop") }

func TestReview2_ReloadedRetentionReachesCopies(t *testing.T) { playCaseOf2(t, "remember") }

// What was seen besides.

func TestReview2_RefusedRequestIsNotSentBySuccessor(t *testing.T) { playCaseOf2(t, "refused") }

func TestReview2_OutcomeOfOpenKeyIsOpen(t *testing.T) { playCaseOf2(t, "outcome") }

func TestReview2_OrderKeyIsKeptThroughRegistration(t *testing.T) { playCaseOf2(t, "order") }
