package standinrunner

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParseSeeds(t *testing.T) {
	got, err := parseSeeds("3,7-9,1")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]uint64{3, 7, 8, 9, 1}, got); diff != "" {
		t.Errorf("seeds (-want +got):\n%s", diff)
	}
	for _, wrong := range []string{"x", "-3", "9-7", "1.5"} {
		if _, err := parseSeeds(wrong); err == nil || !strings.Contains(err.Error(), wrong) {
			t.Errorf("%s: error %v", wrong, err)
		}
	}
}

// compare runs the command and returns its exit code and errors.
func compare(args ...string) (int, string) {
	var out, errors bytes.Buffer
	code := Run(append([]string{"compare"}, args...), &out, &errors)
	return code, errors.String()
}

// What does not exist is named, and nothing is played.
func TestCompareRefusesWhatDoesNotExist(t *testing.T) {
	folder := t.TempDir()
	t.Chdir(newRepository(t))
	site, bench := filepath.Join(folder, "site.toml"), filepath.Join(folder, "bench")
	for path, text := range map[string]string{site: "classes = []\n[[day]]\nname = \"calm\"\n[[day]]\nname = \"rough\"\n", bench: "#!/bin/sh\ntouch \"$0.ran\"\nexit 1\n"} {
		if err := os.WriteFile(path, []byte(text), 0o700); err != nil { //nolint:gosec
			t.Fatal(err)
		}
	}
	common := []string{"bench", "--bench", bench, "--out", filepath.Join(folder, "out")}
	cases := []struct {
		name string
		args []string
		want string
	}{
		{"site", []string{"--site", filepath.Join(folder, "other.toml"), "--seeds", "1"}, "other.toml"},
		{"day", []string{"--site", site, "--day", "clam", "--seeds", "1"}, `no day "clam"; it has calm, rough`},
		{"seed", []string{"--site", site, "--seeds", "one"}, `"one"`},
		{"seed for both", []string{"--site", site, "--seeds", "1-4", "--confirm", "4"}, "seed 4"},
		{"mechanism", []string{"--site", site, "--seeds", "1", "--without", "move"}, `"moves"`},
		{"commit", []string{"--site", site, "--seeds", "1", "--with", "no-such-commit"}, "no-such-commit"},
	}
	for _, c := range cases {
		code, errors := compare(append(append([]string{}, common...), c.args...)...)
		if code == 0 || !strings.Contains(errors, c.want) {
			t.Errorf("%s: exit code %d, %q lacks %q", c.name, code, errors, c.want)
		}
	}
	if _, err := os.Stat(bench + ".ran"); err == nil {
		t.Error("the bench was started")
	}
}

// A play that fails ends the comparison with its name; the reports of others are kept and
// not played again.
func TestCompareKeepsWhatWasPlayed(t *testing.T) {
	folder := t.TempDir()
	site, bench := filepath.Join(folder, "site.toml"), filepath.Join(folder, "bench")
	report := `{"G":0.5,"breaks":{},"parts":[["whole day",1,0.6]],"all":{"worth":0.6},"classes":[{"name":"k","n":4,"worth":0.6}],"hints":[]}`
	script := "#!/bin/sh\necho \"$5\" >> " + folder + "/plays\n[ \"$5\" = 3 ] && exit 1\nwhile [ \"$1\" != --report ]; do shift; done\necho '" + report + "' > \"$2\"\n"
	for path, text := range map[string]string{site: "[[classes]]\nname = \"k\"\nworth = 1.0\n[[day]]\nname = \"calm\"\n", bench: script} {
		if err := os.WriteFile(path, []byte(text), 0o700); err != nil { //nolint:gosec
			t.Fatal(err)
		}
	}
	t.Chdir(newRepository(t))
	args := []string{"bench", "--bench", bench, "--out", filepath.Join(folder, "out"), "--site", site, "--jobs", "1"}
	code, errors := compare(append(args, "--seeds", "1-3")...)
	if code == 0 || !strings.Contains(errors, "site calm seed 3") {
		t.Errorf("exit code %d, errors %q", code, errors)
	}
	if code, errors := compare(append(args, "--seeds", "1-2")...); code != 0 {
		t.Errorf("exit code %d: %s", code, errors)
	}
	plays, err := os.ReadFile(filepath.Join(folder, "plays"))
	if err != nil {
		t.Fatal(err)
	}
	// Both sides are the same commit, so the second finds the report of the first.
	if diff := cmp.Diff("1\n2\n3\n", string(plays)); diff != "" {
		t.Errorf("plays by seed (-want +got):\n%s", diff)
	}
}

// Without a bench the lab compares; the page has both pictures.
func TestCompareLabWritesTablesAndPage(t *testing.T) {
	folder := t.TempDir()
	load := filepath.Join(folder, "small.yaml")
	text := "vms: 2\nmillis: 8000\nmemory: 16000\nlength: 2s\nkinds:\n- {name: check, rate: 2, steps: {mean: 1, max: 1}, width: {mean: 2, max: 2}, millis: {mean: 500, max: 500}, memory: {mean: 100, max: 100}, seconds: {mean: 0.3, max: 0.3}, worth: 1, stretch: 2, target: 1s}\n"
	if err := os.WriteFile(load, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out := filepath.Join(folder, "out")
	if code, errors := compare("lab", load, "--seeds", "1-3", "--confirm", "11-12", "--without", "moves", "--out", out); code != 0 {
		t.Fatalf("exit code %d: %s", code, errors)
	}
	for name, want := range map[string]string{"small-without-moves.md": "confirming: 2 pairs, seeds 11, 12", "small-without-moves.html": "<svg"} {
		data, err := os.ReadFile(filepath.Join(out, name))
		if err != nil || !strings.Contains(string(data), want) {
			t.Errorf("%s lacks %q (%v)", name, want, err)
		}
	}
}
