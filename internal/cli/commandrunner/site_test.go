package commandrunner

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"knapweedspur/internal/site/statusreporter"
	"knapweedspur/internal/wire/admin"
	"knapweedspur/platform"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Wrong settings are refused with the nearest valid name before anything starts.
func TestWrongGatesAreRefused(t *testing.T) {
	t.Setenv(platform.SettingsEnvVar, "")
	cases := []struct {
		name string
		args []string
		want string
	}{
		{"unknown name", []string{"--without", "sequense"}, `did you mean "sequence"?`},
		{"guards a promise", []string{"--without", "moves,pacing"}, "also needs --unsafe"},
		{"misspelled in a file", []string{"--settings", writeSettings(t, "without: [copes]\n")}, `did you mean "copies"?`},
		{"misspelled key in a file", []string{"--settings", writeSettings(t, "wihtout: [copies]\n")}, "wihtout"},
		{"no such file", []string{"--settings", "missing.yaml"}, "missing.yaml"},
		{"valid, but for the platform's file", []string{"--without", "copies"}, platform.SettingsEnvVar},
		{"valid in a file", []string{"--settings", writeSettings(t, "without: [pacing]\nunsafe: true\nlines: 10\n")}, platform.SettingsEnvVar},
	}
	for _, c := range cases {
		for _, role := range []string{"entry", "agent"} {
			var out, errors bytes.Buffer
			if code := Run(append([]string{"site", role}, c.args...), &out, &errors); code != exitUsage {
				t.Errorf("%s, %s: exit code %d", c.name, role, code)
			}
			if !strings.Contains(errors.String(), c.want) {
				t.Errorf("%s, %s: %q lacks %q", c.name, role, errors.String(), c.want)
			}
		}
	}
}

func TestFlagsGoBeforeTheSettingsFileAndThatBeforeTheEnvironment(t *testing.T) {
	t.Setenv(platform.SettingsEnvVar, "")
	var out, errors bytes.Buffer
	Run([]string{"site", "entry", "--settings", writeSettings(t, "without: [nonsense]\n"), "--without", "moves"}, &out, &errors)
	if strings.Contains(errors.String(), "nonsense") {
		t.Errorf("the file goes before the flag: %s", errors.String())
	}
	t.Setenv("KNAPWEEDSPUR_WITHOUT", "drivel")
	errors.Reset()
	Run([]string{"site", "entry", "--settings", writeSettings(t, "without: [nonsense]\n")}, &out, &errors)
	if strings.Contains(errors.String(), "drivel") || !strings.Contains(errors.String(), "nonsense") {
		t.Errorf("the environment goes before the file: %s", errors.String())
	}
}

func TestStatusShowsWhatIsSwitchedOff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != statusreporter.Path {
			t.Errorf("path %s", r.URL.Path)
		}
		_ = json.NewEncoder(w).Encode(admin.Status{Entry: "front-1", Without: []string{"copies", "moves"}}) // a failed write fails the command
	}))
	defer server.Close()
	var out, errors bytes.Buffer
	if code := Run([]string{"status", "--entry", strings.TrimPrefix(server.URL, "http://")}, &out, &errors); code != exitOK {
		t.Fatalf("exit code %d: %s", code, errors.String())
	}
	if !strings.Contains(out.String(), "switched off: copies, moves") {
		t.Errorf("output:\n%s", out.String())
	}
}

func TestGatesListsAllMechanisms(t *testing.T) {
	var out, errors bytes.Buffer
	if code := Run([]string{"gates"}, &out, &errors); code != exitOK {
		t.Fatalf("exit code %d: %s", code, errors.String())
	}
	for _, want := range []string{"sequence", "pacing", "latency objectives"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the list lacks %q:\n%s", want, out.String())
		}
	}
}

// Wrong limits of requests are refused before anything starts, whichever program they are
// for and wherever they are written.
func TestWrongLimitsAreRefused(t *testing.T) {
	t.Setenv(platform.SettingsEnvVar, "")
	cases := []struct {
		name string
		args []string
		want string
	}{
		{"head too small", []string{"site", "entry", "--head-bytes", "10"}, "--head-bytes 10"},
		{"in a file", []string{"site", "agent", "--settings", writeSettings(t, "head-lines: 1\n")}, "--head-lines 1"},
		{"request shorter than its head", []string{"site", "entry", "--head-timeout", "9s", "--request-timeout", "8s"}, "--request-timeout 8s"},
		{"entry", []string{"entry", "--log", "127.0.0.1:1", "--domain", "a", "--insecure", "--memory", "1"}, "--memory 1"},
		{"agent", []string{"agent", "--entries", "127.0.0.1:1", "--vm", "v", "--domain", "a", "--worker", "127.0.0.1:1", "--insecure", "--descriptors", "9"}, "--descriptors 9"},
		{"valid, but for the platform's file", []string{"site", "entry", "--settings", writeSettings(t, "answer-timeout: 2s\nsocket-buffer: 8192\n")}, platform.SettingsEnvVar},
	}
	for _, c := range cases {
		var out, errs bytes.Buffer
		if code := Run(c.args, &out, &errs); code != exitUsage || !strings.Contains(errs.String(), c.want) {
			t.Errorf("%s: exit code %d, %q; want it to name %q", c.name, code, errs.String(), c.want)
		}
	}
}
