package test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedspur/internal/fault/verdict"
)

func TestAgentDiesUnderLoad(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		result := c.startLoad("score", "/thumbnails/score", 300, 10*time.Second, 0.5)
		time.Sleep(2 * time.Second)
		c.killAgent(0)
		time.Sleep(2 * time.Second)
		c.startAgent(0)
		c.loads.Wait()
		t.Logf("sent %d, answered %d, refused %v, cut %d, broken %d", result.Sent, result.Answered, result.Refused, result.Truncated, result.TransportErrors)
		if result.Answered < result.Sent*95/100 {
			t.Errorf("only %d of %d requests were answered, want at least 95 %%", result.Answered, result.Sent)
		}
	})
}

func TestUpstreamDiesUnderLoad(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		result := c.startLoad("score", "/thumbnails/score", 300, 10*time.Second, 0.5)
		time.Sleep(2 * time.Second)
		c.killUpstream(1)
		c.loads.Wait()
		t.Logf("sent %d, answered %d, refused %v, cut %d", result.Sent, result.Answered, result.Refused, result.Truncated)
	})
}

func TestPlannedStopOfAnAgentLosesNoRequest(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		longDeadline := maps.Clone(declarations)
		longDeadline["thumbnails"] = strings.Replace(longDeadline["thumbnails"], "2s", "20s", 1)
		c.publish(longDeadline)
		for _, v := range c.vms {
			v.upstream.SetSlowdown(600)
		}
		result := c.startLoad("score", "/thumbnails/score", 4, 10*time.Second, 0.5)
		time.Sleep(3 * time.Second)
		stopBegan := time.Now()
		if err := c.vms[0].agent.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		c.vms[0].host.kill()
		c.vms[0].gate.kill()
		c.vms[0].agent = nil
		c.loads.Wait()
		if result.Sent != result.Answered {
			t.Errorf("%d of %d requests were answered; refused %v, cut %d, broken %d", result.Answered, result.Sent, result.Refused, result.Truncated, result.TransportErrors)
		}
		if lastRequest := c.vms[0].upstream.LastRequest(); lastRequest.Sub(stopBegan) > newWorkLimit {
			t.Errorf("the upstream got a request %v after its agent began to stop", lastRequest.Sub(stopBegan))
		}
	})
}

func TestPlannedStopOfAnEntryLosesNoRequest(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		for _, v := range c.vms {
			v.upstream.SetSlowdown(100)
		}
		responses := make(chan string, 20)
		for i := range 20 {
			go func() { responses <- c.get(0, fmt.Sprintf("/thumbnails/check/%d", i)) }()
		}
		time.Sleep(100 * time.Millisecond)
		stopped := make(chan error, 1)
		go func() { stopped <- c.entries[0].Stop(context.Background()) }()
		time.Sleep(time.Second)
		if text := c.get(0, "/-/ready"); !strings.Contains(text, "stopping") {
			t.Errorf("readiness probe of a stopping entry returned %q", text)
		}
		for range 20 {
			if text := <-responses; !strings.HasPrefix(text, "GET /check/") {
				t.Errorf("request in flight during the stop returned %q", text)
			}
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		c.mu.Lock()
		delete(c.entries, 0)
		c.mu.Unlock()
	})
}

// get returns the body of the response to a GET request, or the error's text.
func (c *cluster) get(i int, path string) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+address(callersNet, i).String()+path, nil)
	if err != nil {
		return err.Error()
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func TestOverloadIsRefusedAsUnrun(t *testing.T) {
	runScenario(t, 3, []string{"thumbnails", "thumbnails"}, func(c *cluster) {
		c.publish(declarations)
		// Two upstreams with 8 slots each serve 3,200 requests/s at 5 ms a request;
		// slowed 20 times, to 100 ms, they serve 160. The load is twice that.
		c.vms[0].upstream.SetSlowdown(20)
		c.vms[1].upstream.SetSlowdown(20)
		result := c.startLoad("score", "/thumbnails/score", 320, 20*time.Second, 0.5)
		c.loads.Wait()
		t.Logf("answered %d of %d, refused %v, refusal p99 %v", result.Answered, result.Sent, result.Refused,
			time.Duration(result.RefusalLatency.ValueAtQuantile(99)))
		if result.Answered < 160*20*90/100 {
			t.Errorf("goodput fell to %d of the %d requests that the upstreams can serve", result.Answered, 160*20)
		}
		if result.Refused["unrun"] == 0 {
			t.Errorf("the load was twice the capacity, but no request was refused as unrun: %v", result.Refused)
		}
	})
}

// openLargeResponse requests a response of 16 MB and returns its body unread.
func (c *cluster) openLargeResponse() io.ReadCloser {
	c.t.Helper()
	resp, err := c.client.Get("http://" + address(callersNet, 0).String() + "/thumbnails/check?size=16000000")
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.Body
}

func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	runScenario(t, 1, []string{"thumbnails"}, func(c *cluster) {
		c.publish(declarations)
		body := c.openLargeResponse()
		defer body.Close()
		// The large response stays unread; other requests must still be answered.
		result := c.startLoad("check", "/thumbnails/check", 50, time.Second, 0)
		c.loads.Wait()
		if result.Answered != result.Sent {
			t.Errorf("%d of %d requests were answered while another caller did not read its response", result.Answered, result.Sent)
		}
	})
}

func TestLargeResponseIsComplete(t *testing.T) {
	runScenario(t, 1, []string{"thumbnails"}, func(c *cluster) {
		c.publish(declarations)
		for _, size := range []int{1, 32 << 10, 32<<10 + 1, 5 << 20} {
			if got := len(c.get(0, fmt.Sprintf("/thumbnails/check?size=%d", size))); got != size {
				t.Errorf("response of %d bytes arrived with %d", size, got)
			}
		}
	})
}

func TestTruncatedResponseIsReportedAsError(t *testing.T) {
	runScenario(t, 1, []string{"thumbnails"}, func(c *cluster) {
		c.publish(declarations)
		body := c.openLargeResponse()
		defer body.Close()
		c.killAgent(0)
		if data, err := io.ReadAll(body); err == nil {
			t.Errorf("response truncated after %d of 16000000 bytes was read without an error", len(data))
		}
		c.startAgent(0)
	})
}

func TestRefusalsCarryUnrunVerdict(t *testing.T) {
	runScenario(t, 1, []string{"thumbnails"}, func(c *cluster) {
		c.publish(declarations)
		for path, want := range map[string]int{
			"/nothing/here":  http.StatusNotFound,
			"/routes/check":  http.StatusServiceUnavailable,
			"/proofs/check":  http.StatusNotFound,
			"/judging/check": http.StatusNotFound,
		} {
			resp, err := c.client.Get("http://" + address(callersNet, 0).String() + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != want || resp.Header.Get(verdict.Header) != "unrun" {
				t.Errorf("%s: status %d, verdict %q", path, resp.StatusCode, resp.Header.Get(verdict.Header))
			}
		}
	})
}

// TestUpstreamDropsResponses guards against retrying a request that may have
// run: upstreams run requests and drop every third response.
func TestUpstreamDropsResponses(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		for _, v := range c.vms {
			v.upstream.LoseResponses(3)
		}
		result := c.startLoad("score", "/thumbnails/score", 100, 5*time.Second, 0.5)
		c.loads.Wait()
		t.Logf("answered %d of %d, refused %v", result.Answered, result.Sent, result.Refused)
		if result.Refused["unknown"] == 0 {
			t.Error("no request that must not run twice was refused as unknown")
		}
	})
}
