package parser

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/message"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../example/*/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, problems := Parse(file, text); len(problems) > 0 {
			t.Error(problems)
		}
	}
}

func TestServiceWithDefaults(t *testing.T) {
	got, problems := Parse("f", []byte("kind: service\nname: thumbs\nteam: judging\nneeds: {processors: 0.5, memory: 1.5GiB}\ndeadline: 800ms\nurgency: urgent\n"))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	want := &Spec{
		Kind: "service", Name: "thumbs", Team: "judging", Size: message.Size{Millicores: 500, Memory: 3 << 29}, Slots: 8, Connections: 64,
		Deadline: 800 * time.Millisecond, Urgent: true, Weight: 0.5,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("spec (-want +got):\n%s", diff)
	}
}

func TestProblemsNameTheirPosition(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "f:1:1: the file is empty",
		"kind: [":                       "f:1:",
		"kind: service\nnam: x\n":       "f:2:1: unknown field \"nam\"",
		"kind: shop\nname: x\n":         "f:1:7: kind \"shop\" is not known",
		"kind: job\nname: X\nteam: t\n": "f:2:7: name \"X\" is not a name",
		"kind: job\nname: x\n":          "f:1:1: team \"\" is not a name",
		"kind: team\nname: x\n":         "f:2:7: a team needs a quota",
		"kind: job\nname: x\nteam: t\nreplicas: 2\n":                                    "f:4:11: a job has no replicas",
		"kind: job\nname: x\nteam: t\ntasks: -1\n":                                      "f:4:8: tasks -1 is out of range",
		"kind: job\nname: x\nteam: t\nneeds:\n  memory: lots\n":                         "f:5:11: memory \"lots\" is not an amount",
		"kind: job\nname: x\nteam: t\nneeds:\n  processors: -2\n":                       "f:5:15: processors -2 is out of range",
		"kind: service\nname: x\nteam: t\ndeadline: soon\n":                             "f:4:11: \"soon\" is not a time",
		"kind: service\nname: x\nteam: t\nweight: 3\n":                                  "f:4:9: weight 3 is out of range",
		"kind: service\nname: x\nteam: t\nroutes:\n- path: score\n  idempotent: true\n": "f:5:9: path \"score\" is not a path",
		"kind: team\nname: x\nquota: {}\n---\nkind: team\n":                             "f:1:1: the file holds several documents",
		"# " + strings.Repeat("x", MaxBytes):                                            "f:1:1: the file has",
	} {
		_, problems := Parse("f", []byte(text))
		if len(problems) == 0 || !strings.HasPrefix(problems[0].String(), want) {
			t.Errorf("%.40q: got %v, want %s", text, problems, want)
		}
	}
}

func TestIdempotence(t *testing.T) {
	s := &Spec{Routes: []message.Route{
		{Path: "/score", Idempotent: false}, {Path: "/score/draft", Methods: []string{"POST"}, Idempotent: true},
	}}
	for request, want := range map[[2]string]bool{
		{"GET", "/check"}: true, {"POST", "/check"}: false, {"PATCH", "/check"}: false, {"GET", "/score"}: false,
		{"POST", "/score/draft/1"}: true, {"PUT", "/score/draft/1"}: false, {"DELETE", "/x"}: true,
	} {
		if got := s.Idempotent(request[0], request[1]); got != want {
			t.Errorf("%v: idempotent %v", request, got)
		}
	}
}

func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("../../../example/*/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add("kind: job\nname: x\nteam: t\nneeds: {memory: 9999999TiB, processors: .nan}\n")
	f.Add("a: &a [*a]")
	f.Fuzz(func(t *testing.T, text string) {
		spec, problems := Parse("f", []byte(text))
		if (spec == nil) == (len(problems) == 0) {
			t.Errorf("spec %v, problems %v", spec, problems)
		}
		if spec != nil && (spec.Size.Millicores < 0 || spec.Size.Memory < 0 || spec.Tasks < 0 || spec.Slots > spec.Connections) {
			t.Errorf("%+v", spec)
		}
	})
}
