package standinrunner

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// newRepository returns a repository with one commit that holds a deploy file.
func newRepository(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.MkdirAll(filepath.Join(folder, "deploy"), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "deploy", "system.toml"), []byte("run = \"target/program site entry\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"init", "-q"}, {"add", "."}, {"-c", "user.name=t", "-c", "user.email=t@t", "commit", "-q", "-m", "one"}} {
		c := exec.Command("git", args...)
		c.Dir = folder
		if out, err := c.CombinedOutput(); err != nil {
			t.Fatalf("git %v: %v\n%s", args, err, out)
		}
	}
	return folder
}
